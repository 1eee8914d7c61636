/**
 * Puts one answer together from the events of its attempts and checks that it
 * is whole. What has been released to the caller never changes: a restarted
 * answer continues only when its first bytes equal the released ones.
 */

import type {
  BodyDigest,
  BodyDigests,
} from "../process/attempts/body_digest.ts";
import type { Chunk, End, Head } from "../types/response.ts";

/** What assembly needs from outside. */
export interface AnswerHost {
  readonly digests: BodyDigests;
}

/**
 * - `gap`: bytes are missing before this event.
 * - `other_draft`: a restarted answer differs from the released bytes.
 * - `damaged`: length or digest at the end do not fit the bytes.
 */
export type AnswerFault = "gap" | "other_draft" | "damaged";

/** What follows from one event. */
export type AnswerStep =
  | { readonly kind: "head"; readonly head: Head }
  | { readonly kind: "data"; readonly data: Uint8Array }
  | { readonly kind: "nothing" }
  | { readonly kind: "done" }
  | { readonly kind: "broken"; readonly fault: AnswerFault };

/** One answer that grows. */
export interface Answer {
  /** Begins to take the events of another attempt, from its first byte. */
  beginAttempt(): void;
  /** Forgets all; only while nothing has reached the caller. */
  reset(): void;
  /** First byte that the current attempt still has to send. */
  getOffset(): number;
  /** Bytes released so far. */
  getReleased(): number;
  take(event: Head | Chunk | End): AnswerStep;
}

const nothing: AnswerStep = { kind: "nothing" };

/** Creates an empty answer. */
export function createAnswer(host: AnswerHost): Answer {
  let head: Head | undefined;
  let headOfAttempt = false;
  let released = 0;
  /** Digest of the released bytes that the current attempt must repeat. */
  let required: string | undefined;
  let offset = 0;
  let digest: BodyDigest = host.digests.create();

  return {
    beginAttempt,
    reset,
    getOffset: () => offset,
    getReleased: () => released,
    take,
  };

  function beginAttempt(): void {
    // While an attempt still repeats, the older requirement holds on.
    if (required === undefined && released > 0) required = digest.getHex();
    offset = 0;
    digest = host.digests.create();
    headOfAttempt = false;
  }

  function reset(): void {
    head = undefined;
    headOfAttempt = false;
    released = 0;
    required = undefined;
    offset = 0;
    digest = host.digests.create();
  }

  function take(event: Head | Chunk | End): AnswerStep {
    switch (event.kind) {
      case "head":
        return takeHead(event);
      case "chunk":
        return takeChunk(event);
      case "end":
        return takeEnd(event);
    }
  }

  function takeHead(event: Head): AnswerStep {
    headOfAttempt = true;
    if (head === undefined) {
      head = event;
      return { kind: "head", head };
    }
    return head.status === event.status ? nothing : broken("other_draft");
  }

  function takeChunk(chunk: Chunk): AnswerStep {
    if (!headOfAttempt || chunk.offset > offset) return broken("gap");
    const fresh = chunk.data.subarray(offset - chunk.offset);
    if (fresh.length === 0) return nothing;
    if (required === undefined) return release(fresh);
    return repeat(fresh, required);
  }

  /** Compares with the released bytes and releases what comes after them. */
  function repeat(data: Uint8Array, digestOfReleased: string): AnswerStep {
    const repeated = data.subarray(0, released - offset);
    digest.update(repeated);
    offset += repeated.length;
    if (offset < released) return nothing;
    if (digest.getHex() !== digestOfReleased) return broken("other_draft");
    required = undefined;
    const rest = data.subarray(repeated.length);
    return rest.length === 0 ? nothing : release(rest);
  }

  function release(data: Uint8Array): AnswerStep {
    digest.update(data);
    offset += data.length;
    released = offset;
    return { kind: "data", data };
  }

  function takeEnd(end: End): AnswerStep {
    if (!headOfAttempt || end.length > offset) return broken("gap");
    if (required !== undefined) return broken("other_draft");
    const whole = end.length === offset && end.digest === digest.getHex();
    return whole ? { kind: "done" } : broken("damaged");
  }

  function broken(fault: AnswerFault): AnswerStep {
    return { kind: "broken", fault };
  }
}
