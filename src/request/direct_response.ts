/**
 * Forwards the responses of targets to the caller as one response. An event
 * stream is forwarded event by event and can be continued by another target.
 * Any other body is buffered until it is complete, up to a limit, so that a
 * truncated response does not reach the caller.
 */

import type { DirectHead, ResponseBody } from "../types/direct_calls.ts";
import type { MemoryShare } from "../types/held_memory.ts";
import { hasBody, type Reply } from "../types/reply.ts";
import { createByteCollector } from "./byte_collector.ts";
import { createEventCursor } from "./event_cursor.ts";
import type { ReadPace } from "../process/admission/read_pace.ts";
import { sleepUntilAborted, waitUntilWritable } from "./reply_wait.ts";

/** End of a body whose attempt has ended; what was read of it is dropped. */
const abortedEnd: BodyEnd = { kind: "broken", reason: "The attempt has ended" };

/** Bytes of a body that are buffered before forwarding starts. */
const maxBufferedBytes = 256 * 1024;

/** Events that are read without a turn for others. */
const maxEventsAtOnce = 256;

/** Blank line that ends an event. */
const eventTerminator = Buffer.from("\n\n");

/** How the body of one target's response ended. */
export type BodyEnd =
  | { readonly kind: "complete" }
  | { readonly kind: "broken"; readonly reason: string };

/** The attempt whose response is forwarded. */
export interface ForwardedAttempt {
  /** Aborted when the attempt ends; its data is then no longer waited for. */
  readonly signal: AbortSignal;
  /**
   * Called when data of an event stream has arrived. The promise, if there is one,
   * resolves when it may be forwarded, or when the attempt is aborted.
   */
  handleData?(): Promise<void> | undefined;
  /** Records that the target has sent an event. */
  recordProgress(): void;
  /** Records that the target has sent what is no progress, such as a comment. */
  recordComment(): void;
  /** Records that the caller has taken the data and more is expected. */
  expectProgress(): void;
}

/** The response to one request, from one target or from several in turn. */
export interface DirectResponse {
  /**
   * Returns true when a response with this head can still reach the caller: as
   * the whole response, or as the next part of the stream that has begun.
   */
  accepts(head: DirectHead): boolean;
  /** Returns true when the response of another target can be accepted. */
  canContinue(): boolean;
  /**
   * Forwards the body of one target, whose head is accepted, until it ends or
   * breaks off.
   */
  forward(
    head: DirectHead,
    body: ResponseBody,
    attempt: ForwardedAttempt,
  ): Promise<BodyEnd>;
  /** Sends a complete body that is buffered, if any. */
  finish(): void;
  /** Releases the memory of what is buffered; the response has ended. */
  release(): void;
  /** Returns what was sent to the caller so far. */
  getSent(): {
    readonly sentBytes: number;
    readonly lastEventId: string | undefined;
  };
  /** Returns the number of bytes of the body that were sent to the caller. */
  getSentBytes(): number;
  /** Returns the id of the last event that was sent to the caller. */
  getLastEventId(): string | undefined;
}

/**
 * What the caller has received.
 * - `nothing`: any response can follow.
 * - `whole_body`: nothing yet, but the complete body of one target is buffered.
 * - `events`: complete events; only a stream that goes on there can follow.
 * - `part_of_body`: bytes of one target that no other target can continue.
 */
type Progress =
  | { readonly kind: "nothing" }
  | {
    readonly kind: "whole_body";
    readonly head: DirectHead;
    readonly body: Uint8Array;
  }
  | { readonly kind: "events" }
  | { readonly kind: "part_of_body" };

/** Creates the response to one request. */
export function createDirectResponse(
  reply: Reply,
  { lastEventId, isResumable, method, memory, readPace }: {
    /** Event after which the caller wants the stream to resume. */
    readonly lastEventId: string | undefined;
    /** True when targets resume a stream after a given event. */
    readonly isResumable: boolean;
    readonly method: string;
    /** Memory for what is buffered. */
    readonly memory: Pick<MemoryShare, "follow" | "trySet">;
    readonly readPace: ReadPace;
  },
): DirectResponse {
  const cursor = createEventCursor(isResumable ? lastEventId : undefined);
  let progress: Progress = { kind: "nothing" };
  let sentBytes = 0;

  return {
    accepts,
    canContinue,
    forward,
    finish,
    release: releaseBuffered,
    getSent: () => ({ sentBytes, lastEventId: cursor.getLastId() }),
    getSentBytes: () => sentBytes,
    getLastEventId: cursor.getLastId,
  };

  function accepts(head: DirectHead): boolean {
    return canContinue() &&
      (progress.kind === "nothing" || head.isEventStream);
  }

  function canContinue(): boolean {
    switch (progress.kind) {
      case "nothing":
        return true;
      case "events":
        // A comment is no part of what another target would have to continue.
        return isResumable && (cursor.canResume() || !cursor.hasEvents());
      case "whole_body":
      case "part_of_body":
        return false;
    }
  }

  async function forward(
    head: DirectHead,
    body: ResponseBody,
    attempt: ForwardedAttempt,
  ): Promise<BodyEnd> {
    const unfollow = memory.follow({
      getHeldBytes: () => body.readableLength ?? 0,
    });
    try {
      if (head.isEventStream) return await forwardEvents(head, body, attempt);
      return await forwardBytes(head, body, attempt);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return { kind: "broken", reason };
    } finally {
      unfollow();
    }
  }

  async function forwardEvents(
    head: DirectHead,
    body: ResponseBody,
    attempt: ForwardedAttempt,
  ): Promise<BodyEnd> {
    const isContinuation = progress.kind === "events";
    const pace = readPace.begin();
    cursor.beginRun();
    for await (const data of splitEvents(body)) {
      const decision = attempt.handleData?.();
      if (decision !== undefined) await decision;
      if (attempt.signal.aborted) return abortedEnd;
      const step = cursor.push(data);
      if (step.data.length > 0) {
        if (step.hasEvents) attempt.recordProgress();
        else attempt.recordComment();
        startEvents(head);
        await send(step.data, attempt.signal);
        // The wait for more comments is part of the target's silence.
        if (!step.hasEvents) attempt.expectProgress();
      }
      // Repeated events cost as much to read as those that are forwarded.
      await sleepUntilAborted(pace.take(step.pieces), attempt.signal);
      if (attempt.signal.aborted) return abortedEnd;
      if (step.hasEvents) attempt.expectProgress();
      if (step.kind === "broken") return step;
      if (!memory.trySet(cursor.getBufferedBytes())) {
        return {
          kind: "broken",
          reason: "There is no memory left for a long event",
        };
      }
    }
    if (cursor.isInsideEvent()) {
      return { kind: "broken", reason: "The stream ended inside an event" };
    }
    // An empty stream doesn't show that the event before was the last one.
    if (isContinuation && cursor.isAtResumption()) {
      return {
        kind: "broken",
        reason: "The stream ended before its next event",
      };
    }
    startEvents(head);
    return { kind: "complete" };
  }

  function startEvents(head: DirectHead): void {
    if (progress.kind === "events") return;
    // No other target may follow a head that cannot be sent.
    progress = { kind: "part_of_body" };
    start(head, undefined);
    progress = { kind: "events" };
  }

  async function forwardBytes(
    head: DirectHead,
    body: ResponseBody,
    { signal }: ForwardedAttempt,
  ): Promise<BodyEnd> {
    const buffered = createByteCollector();
    for await (const data of body) {
      if (progress.kind === "part_of_body") {
        await send(data, signal);
        continue;
      }
      buffered.add(data);
      if (canBuffer(buffered.getLength())) continue;
      progress = { kind: "part_of_body" };
      start(head, head.length);
      await send(buffered.take(), signal);
      releaseBuffered();
    }
    if (progress.kind === "nothing") {
      progress = { kind: "whole_body", head, body: buffered.take() };
    }
    return { kind: "complete" };
  }

  function releaseBuffered(): void {
    memory.trySet(0);
  }

  function canBuffer(bytes: number): boolean {
    return bytes <= maxBufferedBytes && memory.trySet(bytes);
  }

  function finish(): void {
    if (progress.kind !== "whole_body") return;
    const { head, body } = progress;
    start(head, hasBody(method, head.status) ? body.length : head.length);
    // The size of the buffer is bounded, so the write need not be awaited.
    if (body.length > 0) void write(body);
  }

  /** Writes data and waits until the caller can take more. */
  async function send(data: Uint8Array, signal: AbortSignal): Promise<void> {
    const writable = write(data);
    if (writable !== undefined) await waitUntilWritable(writable, signal);
  }

  function write(data: Uint8Array): Promise<void> | undefined {
    sentBytes += data.length;
    return reply.write(data);
  }

  function start({ status, headers }: DirectHead, length?: number): void {
    reply.start({ status, headers, targetId: "", length });
  }
}

/** Splits the pieces of a body that hold many events. */
async function* splitEvents(body: ResponseBody): AsyncGenerator<Uint8Array> {
  for await (const data of body) {
    const bytes = Buffer.from(data.buffer, data.byteOffset, data.length);
    for (let start = 0; start < bytes.length;) {
      const end = findEnd(bytes, start);
      yield bytes.subarray(start, end);
      start = end;
    }
  }
}

/** Returns the position behind the last event that may be read at once. */
function findEnd(bytes: Buffer, start: number): number {
  let end = start;
  for (let events = 0; events < maxEventsAtOnce; events++) {
    const at = bytes.indexOf(eventTerminator, end);
    if (at < 0) return bytes.length;
    end = at + eventTerminator.length;
  }
  return end;
}
