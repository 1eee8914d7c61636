import { createMemoryBudget } from "../process/direct/limits/memory_budget.ts";
import type { Reply } from "../types/reply.ts";
import { createReadPace } from "../process/admission/read_pace.ts";
import { createDirectResponse } from "./direct_response.ts";

const head = {
  status: 200,
  headers: [{ name: "content-type", value: "text/event-stream" }],
  isEventStream: true,
  length: undefined,
  load: undefined,
};

async function* createBody(
  ...parts: readonly string[]
): AsyncGenerator<Uint8Array> {
  for (const part of parts) yield Buffer.from(part);
}

describe("the response to one request", () => {
  // The next target went on behind events that the caller had not received.
  it("is not continued after a head that cannot be sent", async () => {
    const reply: Reply = {
      disconnectSignal: new AbortController().signal,
      start: () => {
        throw new Error("Invalid character in header content");
      },
      write: () => undefined,
      end: () => undefined,
    };
    const response = createDirectResponse(reply, {
      readPace: createReadPace(),
      lastEventId: undefined,
      isResumable: true,
      method: "GET",
      memory: createMemoryBudget().begin(),
    });
    const end = await response.forward(
      head,
      createBody("id: 1\ndata: a\n\n"),
      {
        signal: new AbortController().signal,
        recordProgress: () => undefined,
        recordComment: () => undefined,
        expectProgress: () => undefined,
      },
    );
    expect(end.kind).toBe("broken");
    expect(response.canContinue()).toBe(false);
    expect(response.accepts(head)).toBe(false);
  });

  describe("without memory for what is buffered", () => {
    const attempt = {
      signal: new AbortController().signal,
      recordProgress: () => undefined,
      recordComment: () => undefined,
      expectProgress: () => undefined,
    };

    function createUnbuffered(text: string[]) {
      const reply: Reply = {
        disconnectSignal: new AbortController().signal,
        start: () => undefined,
        write: (data) => void text.push(Buffer.from(data).toString()),
        end: () => undefined,
      };
      return createDirectResponse(reply, {
        readPace: createReadPace(),
        lastEventId: undefined,
        isResumable: true,
        method: "GET",
        memory: {
          trySet: (bytes) => bytes === 0,
          follow: () => () => undefined,
        },
      });
    }

    it("is forwarded while a body comes", async () => {
      const text: string[] = [];
      const response = createUnbuffered(text);
      const end = await response.forward(
        { ...head, headers: [], isEventStream: false },
        createBody("first ", "second"),
        attempt,
      );
      expect(end.kind).toBe("complete");
      expect(text).toEqual(["first ", "second"]);
    });

    it("is broken by an event that does not come at once", async () => {
      const text: string[] = [];
      const response = createUnbuffered(text);
      const end = await response.forward(
        head,
        createBody("id: 1\ndata: a\n\nid: 2\n", "data: b\n\n"),
        attempt,
      );
      expect(end.kind).toBe("broken");
      expect(text).toEqual(["id: 1\ndata: a\n\n"]);
    });
  });

  describe("from a target that sends without end", () => {
    /** Forwards a body; returns what happened and the pieces that were taken. */
    async function trace(...parts: readonly string[]) {
      const calls: string[] = [];
      let pieces = 0;
      const response = createDirectResponse({
        disconnectSignal: new AbortController().signal,
        start: () => undefined,
        write: () => undefined,
        end: () => undefined,
      }, {
        readPace: {
          begin: () => ({
            take: (taken) => {
              pieces += taken;
              calls.push("wait");
              return 1;
            },
          }),
        },
        lastEventId: undefined,
        isResumable: true,
        method: "GET",
        memory: createMemoryBudget().begin(),
      });
      await response.forward(head, createBody(...parts), {
        signal: new AbortController().signal,
        recordProgress: () => void calls.push("progress"),
        recordComment: () => void calls.push("comment"),
        expectProgress: () => void calls.push("expect"),
      });
      return { calls, pieces };
    }

    // They were dropped at full speed, and took the time of all other callers.
    it("reads repeated events at its pace, as no progress", async () => {
      const event = "id: 1\ndata: a\n\n";
      const { calls, pieces } = await trace(event, event.repeat(1_000));
      expect(pieces).toBe(1_001);
      expect(calls.filter((call) => call !== "wait"))
        .toEqual(["progress", "expect"]);
    });

    // A target that sent comments alone was hardly ever taken for silent.
    it("counts the wait for more comments as silence", async () => {
      expect((await trace(": wait\n\n")).calls)
        .toEqual(["comment", "expect", "wait"]);
      expect((await trace("data: a\n\n")).calls)
        .toEqual(["progress", "wait", "expect"]);
    });
  });
});
