/**
 * Reads the events of one gRPC stream at the pace of its consumer, and at most at
 * that of the process. A stream that has ended is not reset, because servers close
 * a connection on which many streams are reset, unless messages go on behind it.
 */

import type { ClientReadableStream } from "@grpc/grpc-js";
import type { RunEvent } from "../generated/mimosatray/v1/agent.ts";
import type { ResponsePace } from "../process/admission/read_pace.ts";
import type { AgentEvent } from "../types/agent_calls.ts";
import { tryParseRunEvent } from "./agent_client_codec.ts";

/** Number of buffered events at which the stream is paused. */
const maxBufferedEvents = 16;

/** Number of messages behind the last event that are ignored. */
const maxLateMessages = 16;

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
  pace: ResponsePace,
): EventReader {
  const buffered: AgentEvent[] = [];
  let pendingRead: ((event: AgentEvent) => void) | undefined;
  let isFinished = false;
  let lateMessages = 0;
  /** True while the buffer is full. */
  let isFull = false;
  /** True while the next message has to wait. */
  let isWaiting = false;
  stream.on("data", handleMessage);
  stream.on("end", () => finish(lost));
  // The library's error does not prove whether the attempt has run.
  stream.on("error", () => finish(lost));

  return { read, close };

  function handleMessage(message: RunEvent): void {
    const event = tryParseRunEvent(message);
    // Messages that are ignored cost as much to read as others.
    waitFor(pace.take(1, { bytes: getDataBytes(event) }));
    if (isFinished) {
      if (lateMessages++ === maxLateMessages) stream.cancel();
      return;
    }
    if (event === undefined) return;
    if (event.kind !== "head" && event.kind !== "chunk") return finish(event);
    deliver(event);
    if (buffered.length < maxBufferedEvents) return;
    isFull = true;
    stream.pause();
  }

  function waitFor(ms: number): void {
    if (ms === 0 || isWaiting) return;
    isWaiting = true;
    stream.pause();
    setTimeout(() => {
      isWaiting = false;
      resumeIfDue();
    }, ms);
  }

  function resumeIfDue(): void {
    if (!isFull && !isWaiting) stream.resume();
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
    if (isFull) {
      isFull = false;
      resumeIfDue();
    }
    return new Promise((resolve) => {
      pendingRead = resolve;
    });
  }

  function close(): void {
    if (isFinished) {
      if (!isFull) return;
      isFull = false;
      return resumeIfDue();
    }
    finish(lost);
    stream.cancel();
  }
}

function getDataBytes(event: AgentEvent | undefined): number {
  return event?.kind === "chunk" ? event.data.length : 0;
}
