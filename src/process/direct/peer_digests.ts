/**
 * What routers tell each other by datagram: their loads, the parts of prompts
 * that they have just sent to targets, and how far they know the directory.
 */

import {
  PeerDigest,
  type TargetLoadReport,
} from "../../generated/mimosatray/v1/peer_digest.ts";
import type { PlacedPart } from "./cached_parts.ts";
import type { TargetLoad } from "./load_view.ts";

/** Largest datagram, so that no path breaks it into fragments. */
export const maxDigestBytes = 1_300;

/** Parts told in one datagram; the rest follows in the next. */
const maxPartsPerDigest = 14;

/** Parts that wait to be told; the oldest goes first. */
const maxQueuedParts = 8_000;

/** Digests that tell the same part, as some datagrams are lost. */
const sendsPerPart = 2;

/** What a peer has told. */
export interface ReceivedDigest {
  readonly sender: string;
  readonly directoryRevision: number;
  /** False while the sender recovers what engines hold. */
  readonly isSettled: boolean;
  readonly loads: ReadonlyMap<string, TargetLoad>;
  readonly parts: readonly PlacedPart[];
}

/** What a process tells of itself. */
export type DigestState = Pick<
  ReceivedDigest,
  "directoryRevision" | "isSettled" | "loads"
>;

/** The digests that one process sends. */
export interface DigestWriter {
  /** The parts are told with the next digests. */
  queuePart(placed: PlacedPart): void;
  /** Parts that peers have not been told yet. */
  getQueueLength(): number;
  /** Builds the next datagram to all peers. */
  write(state: DigestState): Uint8Array;
  /** Builds an answer to one peer; parts wait for the next datagram to all. */
  writeResponse(state: DigestState): Uint8Array;
}

/** Creates the writer of a process. */
export function createDigestWriter(sender: string): DigestWriter {
  let queue: { readonly placed: PlacedPart; readonly sendsLeft: number }[] = [];

  return {
    queuePart,
    getQueueLength: () => queue.length,
    write,
    writeResponse: (state) => encode(state, []),
  };

  function queuePart(placed: PlacedPart): void {
    queue.push({ placed, sendsLeft: sendsPerPart });
    if (queue.length > maxQueuedParts) queue.shift();
  }

  function write(state: DigestState): Uint8Array {
    const batch = queue.slice(0, maxPartsPerDigest);
    queue = [
      ...queue.slice(maxPartsPerDigest),
      ...batch.flatMap(({ placed, sendsLeft }) =>
        sendsLeft > 1 ? [{ placed, sendsLeft: sendsLeft - 1 }] : []
      ),
    ];
    return encode(state, batch.map(({ placed }) => placed));
  }

  function encode(
    { directoryRevision, isSettled, loads }: DigestState,
    parts: readonly PlacedPart[],
  ): Uint8Array {
    return PeerDigest.encode({
      sender,
      directoryRevision,
      isSettled,
      loads: [...loads].map(toLoadReport),
      heldParts: parts.map(({ target, part, isBeingRead }) => ({
        target,
        part: part.id,
        tokens: part.tokens,
        isBeingRead,
      })),
    }).finish();
  }
}

function toLoadReport(
  [target, load]: readonly [string, TargetLoad],
): TargetLoadReport {
  return {
    target,
    requests: load.requests,
    unreadTokens: Math.max(0, Math.round(load.unreadTokens)),
  };
}

/** Reads a datagram; undefined for what is not a digest. */
export function tryDecodeDigest(bytes: Uint8Array): ReceivedDigest | undefined {
  if (bytes.length === 0) return undefined;
  try {
    const digest = PeerDigest.decode(bytes);
    if (digest.sender === "") return undefined;
    return {
      sender: digest.sender,
      directoryRevision: digest.directoryRevision,
      isSettled: digest.isSettled,
      loads: new Map(
        digest.loads.map(({ target, requests, unreadTokens }) => [
          target,
          { requests, unreadTokens },
        ]),
      ),
      parts: digest.heldParts.map(
        ({ target, part, tokens, isBeingRead }) => ({
          target,
          part: { id: part, tokens },
          isBeingRead,
        }),
      ),
    };
  } catch {
    // Any process may send to the port; what is no digest is ignored.
    return undefined;
  }
}
