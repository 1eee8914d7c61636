/**
 * Splits pushed directory changes into datagrams and joins them again.
 *
 * Load pattern: a changed configuration is larger than a datagram, and every
 * router needs it at the same moment. Compressed, it usually takes a few
 * datagrams, which saves a store call of every router. One that takes too many
 * is not pushed, and neither is one joined that lacks a fragment; the receivers
 * then read the changes from the store.
 */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import {
  DirectoryPush as PushMessage,
  type ValueEdit as EditMessage,
} from "../../../generated/mimosatray/v1/peer_digest.ts";
import {
  comparePositions,
  type StorePosition,
} from "../../../types/store_position.ts";
import type { DirectoryPush } from "../directory/directory_replica.ts";
import type { ValueEdit } from "../directory/value_edit.ts";

/** Maximum size of the data in one fragment, in bytes. */
const maxFragmentBytes = 1_150;

/** Maximum number of fragments; bounds the time that one push takes a link. */
const maxFragments = 16;

/**
 * Maximum size of the encoded changes, in bytes. Larger ones would take too
 * many fragments, and compressing them delays requests.
 */
const maxPushBytes = 128 * 1024;

/** Maximum number of senders whose incomplete pushes are kept. */
const maxOpenPushes = 1_024;

/** One datagram's part of a push. */
export interface PushFragment {
  /** Position of the push, which identifies it among those of its sender. */
  readonly position: StorePosition;
  readonly index: number;
  readonly count: number;
  readonly data: Uint8Array;
}

/**
 * Returns the fragments of a push; none when it takes too many, or cannot be
 * encoded.
 */
export function splitPush(push: DirectoryPush): readonly PushFragment[] {
  const message = tryEncode(push);
  if (message === undefined || message.length > maxPushBytes) return [];
  const bytes = deflateRawSync(message);
  const count = Math.ceil(bytes.length / maxFragmentBytes);
  if (count > maxFragments) return [];
  return Array.from({ length: count }, (_, index) => ({
    position: push.position,
    index,
    count,
    data: bytes.subarray(
      index * maxFragmentBytes,
      (index + 1) * maxFragmentBytes,
    ),
  }));
}

/**
 * Encodes a push as a whole, as receivers take it for all that has changed;
 * undefined when a part of it cannot be encoded.
 */
function tryEncode(push: DirectoryPush): Uint8Array | undefined {
  try {
    return PushMessage.encode(toMessage(push)).finish();
  } catch {
    // The receivers read the changes from the store.
    return undefined;
  }
}

/** Joins the fragments that peers send. */
export interface PushAssembly {
  /** Adds a fragment; returns the push once it is complete and valid. */
  add(sender: string, fragment: PushFragment): DirectoryPush | undefined;
}

/** The fragments of a peer's latest push. */
interface OpenPush {
  readonly position: StorePosition;
  readonly fragments: Map<number, Uint8Array>;
}

/** Creates an assembly that keeps one incomplete push of each recent sender. */
export function createPushAssembly(): PushAssembly {
  const openPushes = new Map<string, OpenPush>();

  return { add };

  function add(
    sender: string,
    { position, index, count, data }: PushFragment,
  ): DirectoryPush | undefined {
    if (count > maxFragments || index >= count) return undefined;
    if (data.length > maxFragmentBytes) return undefined;
    const known = openPushes.get(sender);
    const isKnown = known !== undefined &&
      comparePositions(known.position, position) === 0;
    const open = isKnown
      ? known
      : { position, fragments: new Map<number, Uint8Array>() };
    openPushes.delete(sender);
    openPushes.set(sender, open);
    if (openPushes.size > maxOpenPushes) dropOldest();
    open.fragments.set(index, data);
    if (open.fragments.size < count) return undefined;
    openPushes.delete(sender);
    return tryJoin(open.fragments);
  }

  function dropOldest(): void {
    const [oldest] = openPushes.keys();
    if (oldest !== undefined) openPushes.delete(oldest);
  }
}

function tryJoin(
  fragments: ReadonlyMap<number, Uint8Array>,
): DirectoryPush | undefined {
  const ordered = [...fragments]
    .sort(([left], [right]) => left - right)
    .map(([, data]) => data);
  try {
    const bytes = inflateRawSync(Buffer.concat(ordered), {
      maxOutputLength: maxPushBytes,
    });
    return fromMessage(PushMessage.decode(bytes));
  } catch {
    // Any process may send to the port, so other bytes are ignored.
    return undefined;
  }
}

function toMessage(
  { afterRevision, position, changes, edits = [] }: DirectoryPush,
): PushMessage {
  const hasEdits = edits.length > 0;
  return {
    ...position,
    changes: [...changes],
    edits: edits.map(({ pieces, ...edit }) => ({
      ...edit,
      pieces: pieces.map((piece) => ({
        ...{ from: 0, length: 0, text: "" },
        ...piece,
      })),
    })),
    // A build that does not know edits must expect the changes that they are.
    afterRevision: hasEdits ? position.revision : afterRevision,
    editedAfterRevision: hasEdits ? afterRevision : undefined,
  };
}

function fromMessage(
  { afterRevision, editedAfterRevision, era, revision, changes, edits }:
    PushMessage,
): DirectoryPush {
  return {
    afterRevision: editedAfterRevision ?? afterRevision,
    position: { era, revision },
    changes: changes.map((change) => ({
      key: change.key,
      value: change.value,
      revision: change.revision,
    })),
    ...(edits.length > 0 && { edits: edits.map(fromMessageEdit) }),
  };
}

function fromMessageEdit({ pieces, ...edit }: EditMessage): ValueEdit {
  return {
    ...edit,
    pieces: pieces.map(({ from, length, text }) =>
      length > 0
        ? { kind: "range", from, length } as const
        : { kind: "text", text } as const
    ),
  };
}
