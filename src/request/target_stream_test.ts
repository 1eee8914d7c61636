import { EitherAsync } from "purify-ts";
import { countCopiedBytes } from "../../test/support/copied_bytes.ts";
import type {
  TargetError,
  TargetResponse,
} from "../connection/target_client.ts";
import { createLimitError } from "../connection/response_limits.ts";
import type { Header } from "../types/work.ts";
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

  // The engine still generated, and was only too busy to take a connection.
  it("resumes although one connection could not be opened", async () => {
    const { text, offsets } = await read([events[0] ?? "", "cut"], {
      unsent: 1,
    });
    expect(text).toBe(events.join(""));
    expect(offsets).toEqual([1, 1]);
  });

  it("gives up when no connection can be opened", async () => {
    await expect(read([events[0] ?? "", "cut"], { unsent: 100 }))
      .rejects.toThrow("socket closed");
  });

  it("gives up on a stream that yields no new event", async () => {
    await expect(read(["cut"], { resumed: ["cut"] }))
      .rejects.toThrow("socket closed");
  });

  describe("a resumed stream", () => {
    const cut = [events[0] ?? "", "cut"];

    it("is never taken from a response of another type", async () => {
      for (const type of ["application/json", "text/plain", ""]) {
        await expect(read(cut, { resumedHeaders: createHeaders("s1", type) }))
          .rejects.toThrow("socket closed");
      }
    });

    it("is never taken from another stream", async () => {
      await expect(read(cut, { resumedHeaders: createHeaders("s2") }))
        .rejects.toThrow("socket closed");
    });

    it("may come without its id", async () => {
      const { text } = await read(cut, { resumedHeaders: createHeaders("") });
      expect(text).toBe(events.join(""));
    });

    it("may spell its type in another way", async () => {
      const resumedHeaders = createHeaders("s1", "Text/Event-Stream;a=b");
      const { text } = await read(cut, { resumedHeaders });
      expect(text).toBe(events.join(""));
    });

    it("ends the call that it doesn't take", async () => {
      const { aborted } = await read(cut, {
        resumedHeaders: createHeaders("s2"),
      }).catch((error: Error) => error.cause as { aborted: boolean });
      expect(aborted).toBe(true);
    });

    it("never starts inside an event", async () => {
      for (const start of ["ta: b\n\n", "b\n\n", "\n", '"}]}\n\n']) {
        await expect(read(cut, { resumed: [start, ...events.slice(2)] }))
          .rejects.toThrow();
      }
    });
  });

  it("yields empty lines after the last event", async () => {
    const { text } = await read([...events, "\n\r\n"]);
    expect(text).toBe(`${events.join("")}\n\r\n`);
  });

  describe("an end inside an event", () => {
    it("is taken for a break, from which the stream resumes", async () => {
      for (let end = 1; end < events.join("").length; end++) {
        const start = events.join("").slice(0, end);
        if (start.endsWith("\n\n")) continue;
        const { text } = await read([start]);
        expect(text).toBe(events.join(""));
      }
    });

    it("is never passed on as an end", async () => {
      await expect(read(["data: a\n\ndata: b"], { resumed: ["data: b"] }))
        .rejects.toThrow("ended inside an event");
    });
  });

  describe("a stream without end", () => {
    it("is not resumed once an event is too long", async () => {
      const piece = "x".repeat(256 * 1024);
      const { offsets, message } = await readBroken([
        "data: ",
        ...Array.from({ length: 8 }, () => piece),
        "\n\n",
      ]);
      expect(message).toContain("event_bytes");
      expect(offsets).toEqual([]);
    });

    it("is not resumed once its response exceeds a limit", async () => {
      const { offsets, message } = await readBroken([events[0] ?? "", "limit"]);
      expect(message).toContain("response_bytes");
      expect(offsets).toEqual([]);
    });

    it("is cut although it is resumed after each part", async () => {
      const part = `data: ${"x".repeat(512 * 1024)}\n\n`;
      const resumed = [...Array.from({ length: 16 }, () => part), "cut"];
      const { offsets, message } = await readBroken(["cut"], resumed);
      expect(message).toContain("response_bytes");
      expect(offsets.length).toBeLessThan(10);
    });

    it("copies each byte of an event a few times only", async () => {
      const bytes = 20_000;
      const copied = await countCopiedBytes(async () => {
        await read([..."x".repeat(bytes), "\n\n"]);
      });
      expect(copied).toBeLessThan(16 * bytes);
    });

    async function readBroken(
      chunks: readonly string[],
      resumed?: readonly string[],
    ) {
      const offsets: number[] = [];
      const error: unknown = await read(chunks, {
        offsets,
        ...(resumed === undefined ? {} : { resumed }),
      }).catch((cause: unknown) => cause);
      return { offsets, message: (error as Error).message };
    }
  });

  it("splits events with carriage returns", async () => {
    const chunks = ["data: a\r\n\r\nda", "ta: b", "cut"];
    const { text, offsets } = await read(chunks, {
      resumed: ["data: b\r\n\r\n"],
    });
    expect(text).toBe("data: a\r\n\r\ndata: b\r\n\r\n");
    expect(offsets).toEqual([1]);
  });

  it("does not resume a response that is no event stream", async () => {
    const headers = createHeaders("s1", "application/json");
    await expect(read([events[0] ?? "", "cut"], { headers }))
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
    readonly headers?: readonly Header[];
    readonly crashed?: boolean;
    /** Chunks of a resumed stream, in place of the remaining events. */
    readonly resumed?: readonly string[];
    readonly resumedHeaders?: readonly Header[];
    /** Number of calls that resume the stream which find no connection. */
    readonly unsent?: number;
    /** Receives the offsets of the calls that resume the stream. */
    readonly offsets?: number[];
  } = {},
): Promise<{
  readonly text: string;
  readonly offsets: readonly number[];
  /** True when the last call that resumed the stream was aborted. */
  readonly aborted: boolean;
}> {
  const { id = "s1", crashed = false, offsets = [] } = options;
  let resumeSignal: AbortSignal | undefined;
  const response: TargetResponse = {
    status: 200,
    headers: options.headers ?? createHeaders(id),
    body: createBody(chunks),
  };
  const stream = readTargetStream(
    {
      checkCrash: () => Promise.resolve(crashed),
      target: {
        resume: ({ offset, signal }) =>
          EitherAsync<TargetError, TargetResponse>(({ throwE }) => {
            offsets.push(offset);
            if (offsets.length <= (options.unsent ?? 0)) {
              return throwE({ kind: "not_sent", message: "No connection" });
            }
            resumeSignal = signal;
            const rest = options.resumed ?? events.slice(offset);
            return Promise.resolve({
              status: 200,
              headers: options.resumedHeaders ?? response.headers,
              body: createBody(rest),
            });
          }),
      },
    },
    response,
    new AbortController().signal,
  );
  let text = "";
  try {
    for await (const data of stream) text += Buffer.from(data).toString();
  } catch (error) {
    const aborted = resumeSignal?.aborted ?? false;
    throw new Error((error as Error).message, { cause: { aborted } });
  }
  return { text, offsets, aborted: resumeSignal?.aborted ?? false };
}

function createHeaders(
  id: string,
  type = "text/event-stream",
): readonly Header[] {
  return [
    { name: "content-type", value: type },
    ...(id === "" ? [] : [{ name: "x-stream-id", value: id }]),
  ];
}

async function* createBody(
  chunks: readonly string[],
): AsyncGenerator<Uint8Array, void> {
  for (const chunk of chunks) {
    if (chunk === "cut") throw new Error("socket closed");
    if (chunk === "limit") throw createLimitError("response_bytes");
    yield Buffer.from(chunk);
  }
}
