/**
 * Reads the events of one gRPC stream at the pace of its consumer. A stream
 * that has ended is never reset: servers close a connection on which many
 * streams are reset.
 */

import type { ClientReadableStream } from "@grpc/grpc-js";
import type { RunEvent } from "../generated/mimosatray/v1/agent.ts";
import type { AgentEvent } from "../types/agent_calls.ts";
import { tryParseRunEvent } from "./agent_client_codec.ts";

/** Events that are held before the stream is paused. */
const maxBufferedEvents = 16;

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
  const buffered: AgentEvent[] = [];
  let pendingRead: ((event: AgentEvent) => void) | undefined;
  let isFinished = false;
  let isPaused = false;
  stream.on("data", handleMessage);
  stream.on("end", () => finish(lost));
  // What the library says of the error proves nothing about the attempt.
  stream.on("error", () => finish(lost));

  return { read, close };

  function handleMessage(message: RunEvent): void {
    const event = tryParseRunEvent(message);
    if (event === undefined || isFinished) return;
    if (event.kind !== "head" && event.kind !== "chunk") return finish(event);
    deliver(event);
    if (buffered.length < maxBufferedEvents) return;
    isPaused = true;
    stream.pause();
  }

  /** Takes the last event; what the stream still says is not read. */
  function finish(event: AgentEvent): void {
    if (isFinished) return;
    isFinished = true;
    deliver(event);
  }

  function deliver(event: AgentEvent): void {
    const resolve = pendingRead;
    pendingRead = undefined;
    if (resolve === undefined) buffered.push(event);
    else resolve(event);
  }

  function read(): Promise<AgentEvent> {
    const event = buffered.shift();
    if (event !== undefined) return Promise.resolve(event);
    if (isFinished) return Promise.resolve(lost);
    if (isPaused) {
      isPaused = false;
      stream.resume();
    }
    return new Promise((resolve) => {
      pendingRead = resolve;
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
