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

  describe("that says that the request has not run", () => {
    const own = { [headerNames.requestId]: "request-1" };

    it.each([400, 429, 503])("is a refusal, status %i", (status) => {
      expect(decode(status, { ...own, [headerNames.notRun]: "full" }))
        .toBe("refused");
    });

    it("is that of a wrong target, status 421", () => {
      expect(decode(421, { ...own, [headerNames.notRun]: "other" }))
        .toBe("wrong_target");
    });

    // Such a target may have run the request, which was sent to another one.
    it("proves nothing with a 421 that does not state it", () => {
      expect(decode(421, own)).toBe("spoiled");
      expect(decode(421, { ...own, "X-Instance": "another" })).toBe("spoiled");
      const signed = { ...own, [headerNames.signature]: "target" };
      expect(decode(421, signed)).toBe("head");
    });

    it("proves nothing without the request's id", () => {
      expect(decode(503, { [headerNames.notRun]: "full" })).toBe("spoiled");
      expect(decode(421, { [headerNames.notRun]: "full" })).toBe("spoiled");
      expect(decode(421, {})).toBe("spoiled");
    });

    it.each([200, 204, 302, 404, 408, 500, 502, 504])(
      "proves nothing with the status %i",
      (status) => {
        const signed = { ...own, [headerNames.signature]: "target" };
        expect(decode(status, { ...signed, [headerNames.notRun]: "full" }))
          .toBe("spoiled");
      },
    );
  });

  it.each(["text/event-stream", "Text/Event-Stream; charset=utf-8"])(
    "announces a stream of events as %s",
    (type) => {
      const result = targetCodec.decodeHead(200, [
        { name: headerNames.requestId, value: "request-1" },
        { name: headerNames.signature, value: "target" },
        { name: "Content-Type", value: type },
      ], call);
      expect(result).toMatchObject({ head: { isEventStream: true } });
    },
  );
});

describe("the notice of a response", () => {
  const target = createTarget("i-1");

  function decodeNotice(
    status: number,
    headers: Readonly<Record<string, string>>,
  ) {
    return targetCodec.decodeNotice(
      status,
      Object.entries(headers).map(([name, value]) => ({ name, value })),
      target,
    );
  }

  describe("of a target that leaves", () => {
    for (const status of [200, 404, 429, 500, 503]) {
      it(`is read at status ${status}`, () => {
        expect(decodeNotice(status, { "Server-Leaving": "1" }).isLeaving)
          .toBe(true);
      });
    }

    for (const value of ["0", "", "yes", "2"]) {
      it(`is not read from the value "${value}"`, () => {
        expect(decodeNotice(200, { "Server-Leaving": value }).isLeaving)
          .toBe(false);
      });
    }

    it("is not read from another target at the address", () => {
      const headers = { "Server-Leaving": "1" };
      expect(decodeNotice(421, headers).isLeaving).toBe(false);
      expect(decodeNotice(200, { ...headers, "X-Instance": "i-2" }).isLeaving)
        .toBe(false);
      expect(decodeNotice(200, { ...headers, "X-Instance": "i-1" }).isLeaving)
        .toBe(true);
    });
  });

  describe("of a target that asks for a pause", () => {
    for (
      const [value, ms] of Object.entries({
        "2": 2_000,
        "0.5": 500,
        "0": 0,
        "120.25": 120_250,
      })
    ) {
      it(`is read from the seconds "${value}"`, () => {
        const headers = { "X-Not-Run": "full", "Retry-After": value };
        expect(decodeNotice(503, headers).pause).toEqual({ kind: "asked", ms });
      });
    }

    for (
      const value of [
        ...["", "soon", "-1", "+1", "1e3", "0x10", "1.", ".5", "1,5", "2 s"],
        ...["NaN", "Infinity", "Wed, 21 Oct 2026 07:28:00 GMT"],
        "9".repeat(400),
      ]
    ) {
      it(`is not read from "${value}"`, () => {
        expect(decodeNotice(503, { "Retry-After": value }).pause)
          .toEqual({ kind: "unreadable", text: value });
      });
    }

    it("is read at no other status", () => {
      for (const status of [200, 421, 429, 500, 504]) {
        expect(decodeNotice(status, { "Retry-After": "2" }).pause)
          .toEqual({ kind: "none" });
      }
      expect(decodeNotice(503, {}).pause).toEqual({ kind: "none" });
    });
  });

  describe("of a target that is cold", () => {
    function decodeColdMs(status: number, value: string, id = "i-1") {
      const headers = { "X-Cold-Ms": value, "X-Instance": id };
      return decodeNotice(status, headers).warmUp;
    }

    it("is read in any response, also of another target there", () => {
      for (const status of [200, 421, 500, 503]) {
        expect(decodeColdMs(status, "4000"))
          .toEqual({ kind: "told", leftMs: 4_000 });
      }
      expect(decodeColdMs(200, "0.5", "i-2"))
        .toEqual({ kind: "told", leftMs: 0.5 });
      expect(decodeNotice(200, {}).warmUp).toEqual({ kind: "untold" });
    });

    it.each(["", "soon", "-1", "1e3", "NaN", "9".repeat(400)])(
      "is not read from %j",
      (text) => {
        expect(decodeColdMs(200, text)).toEqual({ kind: "unreadable", text });
      },
    );
  });

  describe("of a target that limits its requests", () => {
    for (
      const [value, perS] of Object.entries({
        "4.2": 4.2,
        "0": 0,
        "0.05": 0.05,
        "12": 12,
        "900000000": 900_000_000,
      })
    ) {
      it(`is read from the rate "${value}"`, () => {
        for (const status of [200, 404, 429, 500, 503]) {
          expect(decodeNotice(status, { "Server-Limit": value }).limit)
            .toEqual({ kind: "named", perS });
        }
      });
    }

    for (
      const value of [
        ...["", "many", "-1", "+1", "1e3", "0x10", "1.", ".5", "1,5", "2/s"],
        ...["NaN", "Infinity", "9".repeat(400)],
      ]
    ) {
      it(`is not read from "${value}"`, () => {
        expect(decodeNotice(200, { "Server-Limit": value }).limit)
          .toEqual({ kind: "unreadable", text: value });
      });
    }

    it("says that there is none where the header is absent", () => {
      expect(decodeNotice(200, {}).limit).toEqual({ kind: "none" });
    });

    it("is also read from another target at the address", () => {
      const headers = { "Server-Limit": "2" };
      const limit = { kind: "named", perS: 2 };
      expect(decodeNotice(421, headers).limit).toEqual(limit);
      expect(decodeNotice(200, { ...headers, "X-Instance": "i-2" }).limit)
        .toEqual(limit);
    });

    it("does not end with a response of another target", () => {
      expect(decodeNotice(421, {}).limit).toEqual({ kind: "untold" });
      expect(decodeNotice(200, { "X-Instance": "i-2" }).limit)
        .toEqual({ kind: "untold" });
    });
  });
});
