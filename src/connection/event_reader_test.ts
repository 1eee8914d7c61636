import { EventEmitter } from "node:events";
import type { ClientReadableStream } from "@grpc/grpc-js";
import type { RunEvent } from "../generated/mimosatray/v1/agent.ts";
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
    const reader = createEventReader(stream);
    emit("data", createChunk(0));
    emit("data", end);
    expect((await reader.read()).kind).toBe("chunk");
    expect((await reader.read()).kind).toBe("end");
    reader.close();
    expect(calls).toEqual([]);
  });

  it("resets a stream that is closed before its end", async () => {
    const { stream, calls } = createStream();
    const reader = createEventReader(stream);
    const pending = reader.read();
    reader.close();
    expect(await pending).toEqual({ kind: "lost", sent: true });
    expect(calls).toEqual(["cancel"]);
  });

  it("pauses the stream for a slow consumer and resumes it later", async () => {
    const { stream, calls, emit } = createStream();
    const reader = createEventReader(stream);
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
    const reader = createEventReader(stream);
    emit(name, new Error("gone"));
    expect(await reader.read()).toEqual({ kind: "lost", sent: true });
  });
});
