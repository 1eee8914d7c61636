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
  it("resumes at the next event when the connection breaks", async () => {
    const { text, offsets } = await read([events[0] + "data: b", "cut"]);
    expect(text).toBe(events.join(""));
    expect(offsets).toEqual([1]);
  });

  it("never yields an incomplete event before a break", async () => {
    for (let cut = 1; cut < events.join("").length; cut++) {
      const { text } = await read([events.join("").slice(0, cut), "cut"]);
      expect(text).toBe(events.join(""));
    }
  });

  it("joins events that arrive byte by byte", async () => {
    const { text, offsets } = await read([...events.join("")]);
    expect(text).toBe(events.join(""));
    expect(offsets).toEqual([]);
  });

  it("throws the error when the target has crashed", async () => {
    await expect(read([events[0] ?? "", "cut"], { crashed: true }))
      .rejects.toThrow("socket closed");
  });

  it("gives up on a stream that yields no new event", async () => {
    await expect(read(["cut"], { resumed: ["cut"] }))
      .rejects.toThrow("socket closed");
  });

  it("does not resume a stream without an id", async () => {
    await expect(read([events[0] ?? "", "cut"], { id: "" }))
      .rejects.toThrow("socket closed");
  });
});

/** Reads a stream whose chunks arrive in this order; `cut` breaks it. */
async function read(
  chunks: readonly string[],
  options: {
    readonly id?: string;
    readonly crashed?: boolean;
    /** Chunks of a resumed stream, in place of the remaining events. */
    readonly resumed?: readonly string[];
  } = {},
): Promise<{ readonly text: string; readonly offsets: readonly number[] }> {
  const { id = "s1", crashed = false } = options;
  const offsets: number[] = [];
  const response: TargetResponse = {
    status: 200,
    headers: id === "" ? [] : [{ name: "x-stream-id", value: id }],
    body: createBody(chunks),
  };
  const stream = readTargetStream(
    {
      checkCrash: () => Promise.resolve(crashed),
      target: {
        resume: ({ offset }) =>
          EitherAsync<TargetError, TargetResponse>(() => {
            offsets.push(offset);
            const rest = options.resumed ?? events.slice(offset);
            return Promise.resolve({ ...response, body: createBody(rest) });
          }),
      },
    },
    response,
    new AbortController().signal,
  );
  let text = "";
  for await (const data of stream) text += Buffer.from(data).toString();
  return { text, offsets };
}

async function* createBody(
  chunks: readonly string[],
): AsyncGenerator<Uint8Array, void> {
  for (const chunk of chunks) {
    if (chunk === "cut") throw new Error("socket closed");
    yield Buffer.from(chunk);
  }
}
