/**
 * Assembles one response from the events of its attempts and checks that it is
 * complete. Bytes that were released to the caller never change: the response
 * of another attempt continues only when it begins with the released bytes.
 */

import type {
  BodyDigest,
  BodyDigests,
} from "../process/attempts/body_digest.ts";
import { maxResponseBytes } from "../connection/response_limits.ts";
import type { Chunk, End, Head } from "../types/response.ts";

/** What the assembly needs from the process. */
export interface ResponseAssemblyHost {
  readonly digests: BodyDigests;
}

/**
 * Reason why a response cannot continue or end:
 *
 * - `gap`: bytes before this event are missing.
 * - `other_draft`: the response of another attempt differs from the released
 *   bytes, or in its status, type or encoding.
 * - `corrupted`: the length or digest in the end event does not match the
 *   bytes.
 * - `too_long`: the response exceeds the maximum size of a response.
 */
export type ResponseFault = "gap" | "other_draft" | "corrupted" | "too_long";

/** Result of accepting one event. */
export type AssemblyStep =
  | { readonly kind: "head"; readonly head: Head }
  | { readonly kind: "data"; readonly data: Uint8Array }
  | { readonly kind: "nothing" }
  | { readonly kind: "done" }
  | { readonly kind: "broken"; readonly fault: ResponseFault };

/** A response that is being assembled. */
export interface ResponseAssembly {
  /** Starts to accept the events of another attempt, from its first byte. */
  beginAttempt(): void;
  /** Discards all state; call it only while nothing has reached the caller. */
  reset(): void;
  /**
   * Returns the offset of the next byte that the current attempt has to send.
   */
  getOffset(): number;
  /** Returns the number of bytes released so far. */
  getReleasedBytes(): number;
  /** Accepts the next event of the current attempt. */
  accept(event: Head | Chunk | End): AssemblyStep;
}

/** Headers that say how the bytes of a body are to be read. */
const formHeaders = ["content-type", "content-encoding"];

const nothing: AssemblyStep = { kind: "nothing" };

/** Creates an empty response. */
export function createResponseAssembly(
  host: ResponseAssemblyHost,
): ResponseAssembly {
  let head: Head | undefined;
  let hasAttemptHead = false;
  let released = 0;
  /** Digest of the released bytes that the current attempt must reproduce. */
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
    // An attempt that was still reproducing the released bytes has a digest of
    // a part of them only, so the earlier digest stays in force.
    if (required === undefined && released > 0) required = digest.getHex();
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
    return isSameForm(head, event) ? nothing : createFault("other_draft");
  }

  function acceptChunk(chunk: Chunk): AssemblyStep {
    if (!hasAttemptHead || chunk.offset > offset) return createFault("gap");
    const unseen = chunk.data.subarray(offset - chunk.offset);
    if (unseen.length === 0) return nothing;
    if (offset + unseen.length > maxResponseBytes) {
      return createFault("too_long");
    }
    if (required === undefined) return release(unseen);
    return verifyReplay(unseen, required);
  }

  /**
   * Compares the data with the released bytes and releases what follows them.
   */
  function verifyReplay(
    data: Uint8Array,
    releasedDigest: string,
  ): AssemblyStep {
    const replayed = data.subarray(0, released - offset);
    digest.update(replayed);
    offset += replayed.length;
    if (offset < released) return nothing;
    if (digest.getHex() !== releasedDigest) return createFault("other_draft");
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
    const isComplete = end.length === offset && end.digest === digest.getHex();
    return isComplete ? { kind: "done" } : createFault("corrupted");
  }

  function createFault(fault: ResponseFault): AssemblyStep {
    return { kind: "broken", fault };
  }
}

/** Returns true when bodies with these heads may continue each other. */
function isSameForm(left: Head, right: Head): boolean {
  return left.status === right.status &&
    formHeaders.every((name) =>
      getHeader(left, name) === getHeader(right, name)
    );
}

function getHeader(head: Head, name: string): string | undefined {
  return head.headers.find((header) => header.name.toLowerCase() === name)
    ?.value.trim().toLowerCase();
}
