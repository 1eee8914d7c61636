/**
 * Reads the events of one gRPC stream at the pace of its consumer. A stream
 * that has ended is never reset: servers close a connection on which many
 * streams are reset.
 */

import type { ClientReadableStream } from "@grpc/grpc-js";
import type { RunEvent } from "../generated/mimosatray/v1/agent.ts";
import type { AgentEvent } from "../types/agent_calls.ts";
import { tryParseRunEvent } from "./agent_client_codec.ts";

/** Number of buffered events at which the stream is paused. */
const maxBufferedEvents = 16;

/** A reader of one stream. */
export interface EventReader {
  /** Returns the next event; after the last one, a connection loss. */
  read(): Promise<AgentEvent>;
  /** Cancels the stream unless it has ended. */
  close(): void;
}

const lost: AgentEvent = { kind: "lost", sent: true };

/** Starts reading a stream. */
export function createEventReader(
  stream: ClientReadableStream<RunEvent>,
): EventReader {
  const buffered: AgentEvent[] = [];
  let pendingRead: ((event: AgentEvent) => void) | undefined;
  let isFinished = false;
  let isPaused = false;
  stream.on("data", handleMessage);
  stream.on("end", () => finish(lost));
  // The library's error does not prove whether the attempt has run.
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

  /** Records the last event; later messages of the stream are ignored. */
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
