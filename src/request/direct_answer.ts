/**
 * Brings the answer of a target to the caller. An answer of known kind is held
 * until it is whole; a stream of events passes event by event, and may go on
 * at another target.
 */

import type { DirectHead } from "../types/direct_calls.ts";
import type { Reply } from "../types/reply.ts";
import { createEventCursor } from "./event_cursor.ts";

/** Bytes of an answer that are held until its end. */
const maxHeldBytes = 256 * 1024;

/** How reading the body of one target ended. */
export type BodyEnd =
  | { readonly kind: "whole" }
  | { readonly kind: "broken"; readonly reason: string };

/** The answer to one request, from one target or from several. */
export interface DirectAnswer {
  /** Follows the body of one target until it ends or breaks. */
  follow(
    head: DirectHead,
    body: AsyncIterable<Uint8Array>,
    options: { noteProgress(): void },
  ): Promise<BodyEnd>;
  /** Sends what is held; the answer is whole. */
  finish(): void;
  /** True while nothing has reached the caller. */
  isPending(): boolean;
  /** Id of the last event that reached the caller. */
  getLastEventId(): string | undefined;
}

/** Creates the answer to one request. */
export function createDirectAnswer(
  reply: Reply,
  options: { readonly lastEventId: string | undefined },
): DirectAnswer {
  const cursor = createEventCursor(options.lastEventId);
  let isStarted = false;
  let held:
    | { readonly head: DirectHead; readonly parts: Uint8Array[] }
    | undefined;

  return {
    follow,
    finish,
    isPending: () => !isStarted,
    getLastEventId: cursor.getLastId,
  };

  async function follow(
    head: DirectHead,
    body: AsyncIterable<Uint8Array>,
    { noteProgress }: { noteProgress(): void },
  ): Promise<BodyEnd> {
    try {
      if (head.isEventStream) {
        return await followEvents(head, body, noteProgress);
      }
      return await followBytes(head, body);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return { kind: "broken", reason };
    }
  }

  async function followEvents(
    head: DirectHead,
    body: AsyncIterable<Uint8Array>,
    noteProgress: () => void,
  ): Promise<BodyEnd> {
    cursor.resume();
    for await (const data of body) {
      const step = cursor.push(data);
      if (step.kind === "broken") return step;
      if (step.data.length === 0) continue;
      noteProgress();
      start(head);
      await reply.write(step.data);
    }
    if (cursor.isInsideEvent()) {
      return { kind: "broken", reason: "The stream ended inside an event" };
    }
    start(head);
    return { kind: "whole" };
  }

  async function followBytes(
    head: DirectHead,
    body: AsyncIterable<Uint8Array>,
  ): Promise<BodyEnd> {
    held = { head, parts: [] };
    let heldBytes = 0;
    for await (const data of body) {
      if (held === undefined) {
        await reply.write(data);
        continue;
      }
      held.parts.push(data);
      heldBytes += data.length;
      if (heldBytes > maxHeldBytes) await release(head.length);
    }
    return { kind: "whole" };
  }

  /** Sends what is held; what follows is no longer held. */
  async function release(length: number | undefined): Promise<void> {
    if (held === undefined) return;
    const { head, parts } = held;
    held = undefined;
    start(head, length);
    await reply.write(Buffer.concat(parts));
  }

  function start(head: DirectHead, length?: number): void {
    if (isStarted) return;
    isStarted = true;
    const { status, headers } = head;
    reply.start({ status, headers, targetId: "", length });
  }

  function finish(): void {
    const length = held?.parts.reduce((sum, part) => sum + part.length, 0);
    // What is held is bounded, so its room need not be awaited.
    void release(length);
  }
}
