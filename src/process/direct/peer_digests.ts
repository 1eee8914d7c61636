/**
 * What routers tell each other by datagram: their loads, the parts of prompts
 * that they have just sent to targets, and how far they know the directory.
 */

import {
  PeerDigest,
  type TargetLoadReport,
} from "../../generated/mimosatray/v1/peer_digest.ts";
import type { GivenPart } from "./held_parts.ts";
import type { TargetLoad } from "./load_view.ts";

/** Largest datagram, so that no path breaks it into fragments. */
export const maxDigestBytes = 1_300;

/** Parts told in one datagram; the rest follows in the next. */
const maxPartsTold = 14;

/** Parts that wait to be told; the oldest goes first. */
const maxPartsWaiting = 8_000;

/** Digests that tell the same part, as some datagrams are lost. */
const tellings = 2;

/** What a peer has told. */
export interface DigestNews {
  readonly sender: string;
  readonly directoryRevision: number;
  /** False while the sender recovers what engines hold. */
  readonly isSettled: boolean;
  readonly loads: ReadonlyMap<string, TargetLoad>;
  readonly parts: readonly GivenPart[];
}

/** What a process tells of itself. */
export type DigestState = Pick<
  DigestNews,
  "directoryRevision" | "isSettled" | "loads"
>;

/** The digests that one process sends. */
export interface DigestWriter {
  /** The parts are told with the next digests. */
  notePart(news: GivenPart): void;
  /** Parts that peers have not been told yet. */
  getWaiting(): number;
  /** Builds the next datagram to all peers. */
  write(state: DigestState): Uint8Array;
  /** Builds an answer to one peer; parts wait for the next datagram to all. */
  writeAnswer(state: DigestState): Uint8Array;
}

/** Creates the writer of a process. */
export function createDigestWriter(sender: string): DigestWriter {
  let waiting: { readonly news: GivenPart; readonly timesLeft: number }[] = [];

  return {
    notePart,
    getWaiting: () => waiting.length,
    write,
    writeAnswer: (state) => encode(state, []),
  };

  function notePart(news: GivenPart): void {
    waiting.push({ news, timesLeft: tellings });
    if (waiting.length > maxPartsWaiting) waiting.shift();
  }

  function write(state: DigestState): Uint8Array {
    const told = waiting.slice(0, maxPartsTold);
    waiting = [
      ...waiting.slice(maxPartsTold),
      ...told.flatMap(({ news, timesLeft }) =>
        timesLeft > 1 ? [{ news, timesLeft: timesLeft - 1 }] : []
      ),
    ];
    return encode(state, told.map(({ news }) => news));
  }

  function encode(
    { directoryRevision, isSettled, loads }: DigestState,
    parts: readonly GivenPart[],
  ): Uint8Array {
    return PeerDigest.encode({
      sender,
      directoryRevision,
      isSettled,
      loads: [...loads].map(toReport),
      heldParts: parts.map(({ target, part, isBeingRead }) => ({
        target,
        part: part.id,
        tokens: part.tokens,
        isBeingRead,
      })),
    }).finish();
  }
}

function toReport(
  [target, load]: readonly [string, TargetLoad],
): TargetLoadReport {
  return {
    target,
    requests: load.requests,
    unreadTokens: Math.max(0, Math.round(load.unreadTokens)),
  };
}

/** Reads a datagram; undefined for what is not a digest. */
export function tryReadDigest(bytes: Uint8Array): DigestNews | undefined {
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
