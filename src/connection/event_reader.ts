/**
 * Reads the events of one gRPC stream at the pace of its consumer. A stream
 * that has ended is never reset: servers close a connection on which many
 * streams are reset.
 */

import type { ClientReadableStream } from "@grpc/grpc-js";
import type { RunEvent } from "../generated/mimosatray/v1/agent.ts";
import type { AgentEvent } from "../types/agent_calls.ts";
import { fromRunEvent } from "./agent_wire.ts";

/** Events that are held before the stream is paused. */
const maxHeldEvents = 16;

/** Reads one stream. */
export interface EventReader {
  /** The next event; after the last one, a loss. */
  read(): Promise<AgentEvent>;
  /** Ends the stream if it has not ended by itself. */
  close(): void;
}

const lost: AgentEvent = { kind: "lost", sent: true };

/** Starts to read a stream. */
export function createEventReader(
  stream: ClientReadableStream<RunEvent>,
): EventReader {
  const held: AgentEvent[] = [];
  let waiting: ((event: AgentEvent) => void) | undefined;
  let isFinished = false;
  let isPaused = false;
  stream.on("data", take);
  stream.on("end", () => finish(lost));
  // What the library says of the error proves nothing about the attempt.
  stream.on("error", () => finish(lost));

  return { read, close };

  function take(message: RunEvent): void {
    const event = fromRunEvent(message);
    if (event === undefined || isFinished) return;
    if (event.kind !== "head" && event.kind !== "chunk") return finish(event);
    push(event);
    if (held.length < maxHeldEvents) return;
    isPaused = true;
    stream.pause();
  }

  /** Takes the last event; what the stream still says is not read. */
  function finish(event: AgentEvent): void {
    if (isFinished) return;
    isFinished = true;
    push(event);
  }

  function push(event: AgentEvent): void {
    const resolve = waiting;
    waiting = undefined;
    if (resolve === undefined) held.push(event);
    else resolve(event);
  }

  function read(): Promise<AgentEvent> {
    const event = held.shift();
    if (event !== undefined) return Promise.resolve(event);
    if (isFinished) return Promise.resolve(lost);
    if (isPaused) {
      isPaused = false;
      stream.resume();
    }
    return new Promise((resolve) => {
      waiting = resolve;
    });
  }

  function close(): void {
    if (isFinished) {
      if (isPaused) stream.resume();
      return;
    }
    finish(lost);
    stream.cancel();
  }
}
