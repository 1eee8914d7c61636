import { EitherAsync } from "purify-ts";
import type {
  TargetError,
  TargetResponse,
} from "../connection/target_client.ts";
import { readTargetStream } from "./target_stream.ts";

const events = [
  "data: a\n\n",
  "data: b\n\n",
  "data: c\n\n",
  "data: [DONE]\n\n",
];

describe("target stream", () => {
  it("goes on at the next event when the connection broke", async () => {
    const { text, offsets } = await read([events[0] + "data: b", "cut"]);
    expect(text).toBe(events.join(""));
    expect(offsets).toEqual([1]);
  });

  it("never passes on the torn part of an event", async () => {
    for (let cut = 1; cut < events.join("").length; cut++) {
      const { text } = await read([events.join("").slice(0, cut), "cut"]);
      expect(text).toBe(events.join(""));
    }
  });

  it("keeps events whole that come byte by byte", async () => {
    const { text, offsets } = await read([...events.join("")]);
    expect(text).toBe(events.join(""));
    expect(offsets).toEqual([]);
  });

  it("ends with the error when the target has crashed", async () => {
    await expect(read([events[0] ?? "", "cut"], { crashed: true }))
      .rejects.toThrow("socket closed");
  });

  it("gives up on a stream that brings nothing new", async () => {
    await expect(read(["cut"], { resumed: ["cut"] }))
      .rejects.toThrow("socket closed");
  });

  it("does not resume what has no id", async () => {
    await expect(read([events[0] ?? "", "cut"], { id: "" }))
      .rejects.toThrow("socket closed");
  });
});

/** Reads a stream whose parts come in this order; `cut` breaks it. */
async function read(
  parts: readonly string[],
  options: {
    readonly id?: string;
    readonly crashed?: boolean;
    /** What a resumed stream gives in place of the events left. */
    readonly resumed?: readonly string[];
  } = {},
): Promise<{ readonly text: string; readonly offsets: readonly number[] }> {
  const { id = "s1", crashed = false } = options;
  const offsets: number[] = [];
  const answer: TargetResponse = {
    status: 200,
    headers: id === "" ? [] : [{ name: "x-stream-id", value: id }],
    body: createBody(parts),
  };
  const stream = readTargetStream(
    {
      checkCrash: () => Promise.resolve(crashed),
      target: {
        resume: ({ offset }) =>
          EitherAsync<TargetError, TargetResponse>(() => {
            offsets.push(offset);
            const rest = options.resumed ?? events.slice(offset);
            return Promise.resolve({ ...answer, body: createBody(rest) });
          }),
      },
    },
    answer,
    new AbortController().signal,
  );
  let text = "";
  for await (const data of stream) text += Buffer.from(data).toString();
  return { text, offsets };
}

async function* createBody(
  parts: readonly string[],
): AsyncGenerator<Uint8Array, void> {
  for (const part of parts) {
    if (part === "cut") throw new Error("socket closed");
    yield Buffer.from(part);
  }
}
