import { EventEmitter } from "node:events";
import type { ClientReadableStream } from "@grpc/grpc-js";
import type { RunEvent } from "../generated/mimosatray/v1/agent.ts";
import { createReadPace } from "../process/admission/read_pace.ts";
import { createEventReader } from "./event_reader.ts";

/** Creates a stream that records which of its methods are called. */
function createStream() {
  const calls: string[] = [];
  const emitter = new EventEmitter();
  const stream = Object.assign(emitter, {
    cancel: () => calls.push("cancel"),
    pause: () => calls.push("pause"),
    resume: () => calls.push("resume"),
  }) as unknown as ClientReadableStream<RunEvent>;
  return { stream, calls, emit: emitter.emit.bind(emitter) };
}

function createChunk(offset: number): RunEvent {
  const data = Buffer.from("x");
  return { event: { $case: "chunk", value: { offset, data } }, load: 0 };
}

const end: RunEvent = {
  event: {
    $case: "end",
    value: {
      length: 1,
      digest: "",
      cachedTokens: 0,
      promptTokens: 0,
      outputTokens: 0,
    },
  },
  load: 0,
};

describe("event reader", () => {
  it("does not reset a stream whose last event has arrived", async () => {
    const { stream, calls, emit } = createStream();
    const reader = createEventReader(stream, createReadPace().begin());
    emit("data", createChunk(0));
    emit("data", end);
    expect((await reader.read()).kind).toBe("chunk");
    expect((await reader.read()).kind).toBe("end");
    reader.close();
    expect(calls).toEqual([]);
  });

  it("resets a stream that is closed before its end", async () => {
    const { stream, calls } = createStream();
    const reader = createEventReader(stream, createReadPace().begin());
    const pending = reader.read();
    reader.close();
    expect(await pending).toEqual({ kind: "lost", sent: true });
    expect(calls).toEqual(["cancel"]);
  });

  it("pauses the stream for a slow consumer and resumes it later", async () => {
    const { stream, calls, emit } = createStream();
    const reader = createEventReader(stream, createReadPace().begin());
    for (let offset = 0; offset < 16; offset++) {
      emit("data", createChunk(offset));
    }
    expect(calls).toEqual(["pause"]);
    for (let offset = 0; offset < 16; offset++) await reader.read();
    void reader.read();
    expect(calls).toEqual(["pause", "resume"]);
  });

  it.each(["end", "error"])("reports a loss on %s without a last event", async (
    name,
  ) => {
    const { stream, emit } = createStream();
    const reader = createEventReader(stream, createReadPace().begin());
    emit(name, new Error("gone"));
    expect(await reader.read()).toEqual({ kind: "lost", sent: true });
  });

  describe("of an agent that sends without end", () => {
    beforeEach(() => void jest.useFakeTimers());
    afterEach(() => void jest.useRealTimers());

    // Such streams were read as fast as they came, also by no one.
    it.each<[string, RunEvent]>([
      ["chunks", createChunk(0)],
      ["events of a later version", { event: undefined, load: 0 }],
    ])("waits when its pace says so: %s", async (_name, message) => {
      const { stream, calls, emit } = createStream();
      let taken = 0;
      const reader = createEventReader(stream, {
        take: (pieces) => (taken += pieces) === 3 ? 10 : 0,
      });
      for (let count = 0; count < 3; count++) {
        void reader.read();
        emit("data", message);
      }
      expect(calls).toEqual(["pause"]);
      await jest.advanceTimersByTimeAsync(10);
      expect(calls).toEqual(["pause", "resume"]);
    });

    it("stays paused for a slow consumer when its wait is over", async () => {
      const { stream, calls, emit } = createStream();
      const reader = createEventReader(stream, { take: () => 10 });
      for (let offset = 0; offset < 16; offset++) {
        emit("data", createChunk(offset));
      }
      await jest.advanceTimersByTimeAsync(10);
      expect(calls).toEqual(["pause", "pause"]);
      for (let offset = 0; offset < 16; offset++) await reader.read();
      void reader.read();
      expect(calls.at(-1)).toBe("resume");
    });

    it("resets the stream when messages go on behind its end", () => {
      const { stream, calls, emit } = createStream();
      createEventReader(stream, { take: () => 0 });
      for (let count = 0; count < 100; count++) emit("data", end);
      expect(calls).toEqual(["cancel"]);
    });
  });
});
