/**
 * Puts one answer together from the events of its attempts and checks that it
 * is whole. What has been released to the caller never changes: a restarted
 * answer continues only when its first bytes equal the released ones.
 */

import type {
  BodyDigest,
  BodyDigests,
} from "../process/attempts/body_digest.ts";
import type { Chunk, End, Head } from "../types/answer.ts";

/** What assembly needs from outside. */
export interface ResponseAssemblyHost {
  readonly digests: BodyDigests;
}

/**
 * - `gap`: bytes are missing before this event.
 * - `other_draft`: a restarted answer differs from the released bytes.
 * - `damaged`: length or digest at the end do not fit the bytes.
 */
export type ResponseFault = "gap" | "other_draft" | "damaged";

/** What follows from one event. */
export type AssemblyStep =
  | { readonly kind: "head"; readonly head: Head }
  | { readonly kind: "data"; readonly data: Uint8Array }
  | { readonly kind: "nothing" }
  | { readonly kind: "done" }
  | { readonly kind: "broken"; readonly fault: ResponseFault };

/** One answer that grows. */
export interface ResponseAssembly {
  /** Begins to take the events of another attempt, from its first byte. */
  beginAttempt(): void;
  /** Forgets all; only while nothing has reached the caller. */
  reset(): void;
  /** First byte that the current attempt still has to send. */
  getOffset(): number;
  /** Bytes released so far. */
  getReleasedBytes(): number;
  accept(event: Head | Chunk | End): AssemblyStep;
}

const nothing: AssemblyStep = { kind: "nothing" };

/** Creates an empty answer. */
export function createResponseAssembly(
  host: ResponseAssemblyHost,
): ResponseAssembly {
  let head: Head | undefined;
  let hasAttemptHead = false;
  let released = 0;
  /** Digest of the released bytes that the current attempt must repeat. */
  let required: string | undefined;
  let offset = 0;
  let digest: BodyDigest = host.digests.create();

  return {
    beginAttempt,
    reset,
    getOffset: () => offset,
    getReleasedBytes: () => released,
    accept,
  };

  function beginAttempt(): void {
    // While an attempt still repeats, the older requirement holds on.
    if (required === undefined && released > 0) required = digest.getText();
    offset = 0;
    digest = host.digests.create();
    hasAttemptHead = false;
  }

  function reset(): void {
    head = undefined;
    hasAttemptHead = false;
    released = 0;
    required = undefined;
    offset = 0;
    digest = host.digests.create();
  }

  function accept(event: Head | Chunk | End): AssemblyStep {
    switch (event.kind) {
      case "head":
        return acceptHead(event);
      case "chunk":
        return acceptChunk(event);
      case "end":
        return acceptEnd(event);
    }
  }

  function acceptHead(event: Head): AssemblyStep {
    hasAttemptHead = true;
    if (head === undefined) {
      head = event;
      return { kind: "head", head };
    }
    return head.status === event.status ? nothing : createFault("other_draft");
  }

  function acceptChunk(chunk: Chunk): AssemblyStep {
    if (!hasAttemptHead || chunk.offset > offset) return createFault("gap");
    const unseen = chunk.data.subarray(offset - chunk.offset);
    if (unseen.length === 0) return nothing;
    if (required === undefined) return release(unseen);
    return verifyReplay(unseen, required);
  }

  /** Compares with the released bytes and releases what comes after them. */
  function verifyReplay(
    data: Uint8Array,
    releasedDigest: string,
  ): AssemblyStep {
    const replayed = data.subarray(0, released - offset);
    digest.update(replayed);
    offset += replayed.length;
    if (offset < released) return nothing;
    if (digest.getText() !== releasedDigest) return createFault("other_draft");
    required = undefined;
    const rest = data.subarray(replayed.length);
    return rest.length === 0 ? nothing : release(rest);
  }

  function release(data: Uint8Array): AssemblyStep {
    digest.update(data);
    offset += data.length;
    released = offset;
    return { kind: "data", data };
  }

  function acceptEnd(end: End): AssemblyStep {
    if (!hasAttemptHead || end.length > offset) return createFault("gap");
    if (required !== undefined) return createFault("other_draft");
    const isComplete = end.length === offset && end.digest === digest.getText();
    return isComplete ? { kind: "done" } : createFault("damaged");
  }

  function createFault(fault: ResponseFault): AssemblyStep {
    return { kind: "broken", fault };
  }
}
