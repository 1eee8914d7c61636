/**
 * Splits engines' lists of cached parts into datagrams and decodes them.
 *
 * Load pattern: after a loss of all routers, some hundred parts of each engine
 * are to reach every router within a fraction of a latency goal. Among the items
 * of ordinary digests, 14 of which fit into one, that takes seconds. Here the
 * engine is named once per datagram and the ids are compressed. Each fragment is
 * usable alone, so that a lost one costs only its own parts.
 */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import {
  ListedParts,
  type ListFragment as FragmentMessage,
  type ListMessage as WireMessage,
  PeerDigest,
} from "../../../generated/mimosatray/v1/peer_digest.ts";
import type { PromptPart } from "../../../types/prompt.ts";
import {
  tryGetEpochMs,
  tryGetPartTokens,
} from "../../../types/stated_numbers.ts";
import { encodeTolerantly } from "../../telemetry/tolerant_encoding.ts";

/** Maximum size of the data in one fragment, in bytes. */
const maxFragmentBytes = 1_150;

/** Maximum number of fragments of one list; what is beyond is left out. */
const maxFragments = 200;

/** Number of parts that are tried to fit into the first fragment. */
const initialParts = 64;

/** Share of the expected parts per fragment, as ids compress unequally. */
const fillShare = 0.95;

/** Maximum size of the decompressed data, in bytes. */
const maxDataBytes = 64 * 1024;

/** Some of the parts in the list of one engine. */
export interface ListFragment {
  readonly target: string;
  /** Start of the engine's process, in epoch milliseconds. */
  readonly startedAtMs: number;
  readonly index: number;
  /** Number of fragments of the list; 0 when the engine gave no list. */
  readonly count: number;
  readonly parts: readonly PromptPart[];
  /**
   * True when the process has told its start, or is registered with it; false
   * for one that may have started again since it was saved.
   */
  readonly isConfirmed: boolean;
}

/** The engine of a list, and whether its process is certain. */
export type ListedEngine = Pick<
  ListFragment,
  "isConfirmed" | "startedAtMs" | "target"
>;

/** What routers tell each other of engines' lists. */
export interface ListMessage {
  /** Random number of a request for lists; 0 when the message is none. */
  readonly request: number;
  /** Engine whose list is requested; all when empty. */
  readonly wanted: string;
  /** Indexes of the requested fragments; all when empty. */
  readonly missing: readonly number[];
  /** Engines that the sender asks for their lists. */
  readonly asked: readonly string[];
  readonly fragment: ListFragment | undefined;
}

/** Creates a message that says nothing but what is given. */
export function createListMessage(
  changes: Partial<ListMessage>,
): ListMessage {
  return {
    ...{ request: 0, wanted: "", missing: [], asked: [] },
    fragment: undefined,
    ...changes,
  };
}

/** Splits a list; one without parts has one fragment. */
export function splitList(
  { target, startedAtMs, isConfirmed }: ListedEngine,
  parts: readonly PromptPart[],
): readonly ListFragment[] {
  const chunks: (readonly PromptPart[])[] = [];
  let size = initialParts;
  for (let at = 0; at < parts.length && chunks.length < maxFragments;) {
    const chunk = parts.slice(at, at + size);
    const { length: bytes } = encodeParts(chunk);
    size = Math.max(
      1,
      Math.floor(chunk.length * fillShare * maxFragmentBytes / bytes),
    );
    if (bytes > maxFragmentBytes && chunk.length > 1) continue;
    at += chunk.length;
    // A single id that exceeds a datagram is in no list.
    if (bytes <= maxFragmentBytes) chunks.push(chunk);
  }
  if (chunks.length === 0) chunks.push([]);
  return chunks.map((chunk, index) => ({
    ...{ target, startedAtMs, isConfirmed, index },
    ...{ count: chunks.length, parts: chunk },
  }));
}

/** Encodes a datagram with a message about lists alone. */
export function encodeListMessage(
  sender: string,
  { fragment, missing, asked, ...message }: ListMessage,
): Uint8Array {
  const lists: WireMessage = {
    ...message,
    ...{ missing: [...missing], asked: [...asked] },
    fragment: fragment && toMessage(fragment),
  };
  const empty = PeerDigest.decode(new Uint8Array());
  return encodeTolerantly(PeerDigest, { ...empty, sender, lists }).bytes;
}

function toMessage(
  { target, startedAtMs, isConfirmed, index, count, parts }: ListFragment,
): FragmentMessage {
  const data = Buffer.from(encodeParts(parts));
  return {
    ...{ target, isConfirmed, index, count, data },
    startedAtMs: tryGetEpochMs(startedAtMs) ?? 0,
  };
}

/** Decodes a message; a fragment that is not valid is left out. */
export function toListMessage(
  { fragment, ...message }: WireMessage,
): ListMessage {
  return { ...message, fragment: fragment && tryToFragment(fragment) };
}

function tryToFragment(
  { data, ...fragment }: FragmentMessage,
): ListFragment | undefined {
  const { target, index, count } = fragment;
  const isInRange = count <= maxFragments && (count === 0 || index < count);
  if (target === "" || !isInRange) return undefined;
  try {
    return { ...fragment, parts: decodeParts(data) };
  } catch {
    // Any process may send to the port, so other bytes are ignored.
    return undefined;
  }
}

/** Encodes parts; one whose tokens no part can have is left out. */
function encodeParts(parts: readonly PromptPart[]): Uint8Array {
  const sound = parts.flatMap(({ id, tokens: stated }) => {
    const tokens = tryGetPartTokens(stated);
    return tokens === undefined ? [] : [{ id, tokens }];
  });
  return deflateRawSync(
    ListedParts.encode({
      ids: sound.map(({ id }) => id),
      tokens: sound.map(({ tokens }) => tokens),
    }).finish(),
  );
}

function decodeParts(data: Uint8Array): readonly PromptPart[] {
  const bytes = inflateRawSync(data, { maxOutputLength: maxDataBytes });
  const { ids, tokens } = ListedParts.decode(bytes);
  return ids.flatMap((id, index) => {
    const count = tryGetPartTokens(tokens[index]);
    return count === undefined ? [] : [{ id, tokens: count }];
  });
}
