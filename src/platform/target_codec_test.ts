import type { DirectCall } from "../types/direct_calls.ts";
import { createTarget } from "../../test/support/direct.ts";
import { targetCodec } from "./target_codec.ts";
import { headerNames } from "./wire_names.ts";

const call: DirectCall = {
  target: createTarget("target-1"),
  requestId: "request-1",
  method: "GET",
  path: "/",
  headers: [],
  body: new Uint8Array(),
  workspace: undefined,
  deadlineMs: 1_000,
  priorityClass: 5,
  fetchFrom: undefined,
  lastEventId: undefined,
  needsFreshConnection: false,
  signal: new AbortController().signal,
};

function decode(status: number, headers: Readonly<Record<string, string>>) {
  const list = Object.entries(headers)
    .map(([name, value]) => ({ name, value }));
  return targetCodec.decodeHead(status, list, call).kind;
}

describe("the head of a target's response", () => {
  describe("that another request's response precedes on its connection", () => {
    const other = { [headerNames.requestId]: "request-0" };

    it.each([429, 503])("is not taken for a refusal, status %i", (status) => {
      expect(decode(status, { ...other, [headerNames.notRun]: "full" }))
        .toBe("spoiled");
    });

    it("is not taken for that of a wrong target", () => {
      expect(decode(421, other)).toBe("spoiled");
    });
  });

  it.each([
    ["with the request's id", { [headerNames.requestId]: "request-1" }],
    ["without an id", {}],
  ])("is a refusal %s", (_name, headers) => {
    expect(decode(503, { ...headers, [headerNames.notRun]: "full" }))
      .toBe("refused");
    expect(decode(421, headers)).toBe("wrong_target");
  });
});
