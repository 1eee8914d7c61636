/**
 * Encodes and decodes the datagrams between routers: their loads, the prompt
 * parts that they have just sent to targets, their directory positions, and the
 * directory changes that they have just read from the store.
 */

import {
  type HeldPart as PartMessage,
  PeerDigest,
  type PushFragment as FragmentMessage,
} from "../../../generated/mimosatray/v1/peer_digest.ts";
import type { CrashRecordUpdate } from "../../attempts/crash_records.ts";
import type { CrashEvidence } from "../crashes/crash_evidence.ts";
import type { ServiceDemand } from "../queue/peer_demand.ts";
import type { PlacedPart } from "../placement/cached_parts.ts";
import {
  toDemandMessages,
  toDemands,
  toLeaveReport,
  toLimitRecord,
  toLimitReport,
  toLoad,
  toLoadReport,
  toPaceReport,
  toRateMessage,
} from "./digest_reports.ts";
import { type ListMessage, toListMessage } from "./list_fragments.ts";
import type { PartRate } from "../placement/part_demand.ts";
import type { PushFragment } from "./push_fragments.ts";
import type { LimitRecord } from "../limits/limit_records.ts";
import type { StorePosition } from "../../../types/store_position.ts";
import { tryGetPartTokens } from "../../../types/stated_numbers.ts";
import { encodeTolerantly } from "../../telemetry/tolerant_encoding.ts";
import type { StreamMessage } from "../streams/stream_origins.ts";
import type { TargetLoad } from "../targets/load_view.ts";
import type { PaceRecord } from "../targets/pace_steps.ts";
import type { TargetLeave } from "../targets/target_table.ts";

/** Maximum size of a datagram, in bytes; avoids fragmentation on any path. */
export const maxDigestBytes = 1_300;

/** Maximum number of parts in one digest; the rest follows in the next. */
const maxPartsPerDigest = 14;

/** Number of parts that one record of crash evidence takes the place of. */
const partsPerEvidence = 2;

/** Number of parts that one record of a pace takes the place of. */
const partsPerPace = 1 / 2;
/** Number of demands that take the place of one part. */
const demandsPerPart = 2;
/** Number of rates of parts that take the place of one part. */
const partRatesPerPart = 3;

/** Maximum number of crash records in one digest. */
const maxCrashesPerDigest = 4;

/** Maximum number of queued parts; the oldest is dropped first. */
const maxQueuedParts = 8_000;

/** Maximum number of queued crash records; the oldest is dropped first. */
const maxQueuedCrashes = 1_000;

/** Number of digests that carry the same item, as some datagrams are lost. */
const sendsPerItem = 2;

/** A decoded digest of a peer. */
export interface ReceivedDigest {
  readonly sender: string;
  /** Position up to which the sender knows all changes of the directory. */
  readonly position: StorePosition;
  /** False while the sender recovers the cached parts of engines. */
  readonly isSettled: boolean;
  /** True while the sender reads directory changes from the store itself. */
  readonly isWatching: boolean;
  /**
   * Time for which the sender has watched the store without an outage, in
   * milliseconds; 0 without contact.
   */
  readonly storeContactMs: number;
  /**
   * As `PeerStoreContact.ageMs`; undefined without contact, and when the sender
   * does not tell.
   */
  readonly storeAgeMs: number | undefined;
  /**
   * Time for which the store has owed the sender a response, in milliseconds; 0
   * when it owes none.
   */
  readonly storeSilentMs: number;
  /** Number of entries of which the sender knows more than the store has. */
  readonly lostEntries: number;
  /** Processes that have lately told the sender that they leave. */
  readonly leaves: readonly TargetLeave[];
  readonly loads: ReadonlyMap<string, TargetLoad>;
  /** What the sender's requests run and wait for. */
  readonly demands: readonly ServiceDemand[];
  /** Parts that requests at the sender ask for most often. */
  readonly partRates: readonly PartRate[];
  readonly parts: readonly PlacedPart[];
  readonly crashes: readonly CrashRecordUpdate[];
  /** What was in flight at crashes of targets. */
  readonly crashEvidence: readonly CrashEvidence[];
  /** Limits that targets name or have ended. */
  readonly limits: readonly LimitRecord[];
  /** Bounds of targets that have lately started or recovered. */
  readonly paces: readonly PaceRecord[];
  /** Message about streams; a digest that has one carries nothing else. */
  readonly streams: StreamMessage | undefined;
  /** Message about lists; a digest that has one carries nothing else. */
  readonly lists: ListMessage | undefined;
  /** Part of a push; a digest that has one carries no loads or parts. */
  readonly pushFragment: PushFragment | undefined;
}

/** Encodes a datagram with a message about streams alone. */
export function encodeStreamMessage(
  sender: string,
  message: StreamMessage,
): Uint8Array {
  const streams = {
    origins: message.origins.map((origin) => ({ ...origin })),
    lookups: [...message.lookups],
  };
  const empty = PeerDigest.decode(new Uint8Array());
  return encodeTolerantly(PeerDigest, { ...empty, sender, streams }).bytes;
}

/** State that a process reports of itself. */
export type DigestState = Pick<
  ReceivedDigest,
  | "position"
  | "isSettled"
  | "isWatching"
  | "storeContactMs"
  | "storeAgeMs"
  | "storeSilentMs"
  | "lostEntries"
  | "leaves"
  | "limits"
  | "paces"
  | "loads"
  | "demands"
  | "partRates"
>;

/** Writes the digests that one process sends. */
export interface DigestWriter {
  /** Queues a part for the next digests. */
  queuePart(placed: PlacedPart): void;
  /** Queues a crash record for the next digests. */
  queueCrash(record: CrashRecordUpdate): void;
  /** Returns the number of queued items that are still to be sent. */
  getQueueLength(): number;
  /** Encodes the next digest to all peers. */
  write(
    state: DigestState,
    crashEvidence?: readonly CrashEvidence[],
  ): Uint8Array;
  /** Encodes a response to one peer; parts wait for the next digest to all. */
  writeResponse(state: DigestState): Uint8Array;
  /** Encodes a digest that carries a part of a push in place of loads. */
  writePush(state: DigestState, pushFragment: PushFragment): Uint8Array;
}

/**
 * Creates the digest writer of a process. What cannot be encoded is left out of
 * its digest and reported, so that the rest is sent.
 */
export function createDigestWriter(
  sender: string,
  { reportLeftOut = () => undefined }: {
    /** Reports the fields of which something was left out. */
    readonly reportLeftOut?: (fields: readonly string[]) => void;
  } = {},
): DigestWriter {
  const partQueue = createSendQueue<PlacedPart>({
    maxItems: maxQueuedParts,
  });
  const crashQueue = createSendQueue<CrashRecordUpdate>({
    maxItems: maxQueuedCrashes,
  });

  return {
    queuePart: partQueue.add,
    queueCrash: crashQueue.add,
    getQueueLength: () => partQueue.getLength() + crashQueue.getLength(),
    write: (state, crashEvidence = []) => {
      const room = Math.max(
        0,
        maxPartsPerDigest - state.limits.length -
          crashEvidence.length * partsPerEvidence -
          Math.ceil(state.demands.length / demandsPerPart),
      );
      // Those that are left out are repeated after a second.
      const paces = state.paces.slice(0, Math.floor(room / partsPerPace));
      const left = Math.floor(room - paces.length * partsPerPace);
      const partRates = state.partRates.slice(0, left * partRatesPerPart);
      const parts = partQueue.takeBatch(
        left - Math.ceil(partRates.length / partRatesPerPart),
      );
      const crashes = crashQueue.takeBatch(maxCrashesPerDigest);
      return encode({ ...state, paces, partRates }, {
        parts,
        crashes,
        crashEvidence,
      });
    },
    writeResponse: (state) => encode(state, { parts: [] }),
    writePush: (state, pushFragment) =>
      encode(
        {
          ...{ ...state, loads: new Map(), demands: [], partRates: [] },
          ...{ leaves: [], limits: [], paces: [] },
        },
        { parts: [], pushFragment },
      ),
  };

  function encode(
    { loads, demands, position, leaves, limits, paces, partRates, ...state }:
      DigestState,
    { parts, crashes = [], crashEvidence = [], pushFragment }: {
      readonly parts: readonly PlacedPart[];
      readonly crashes?: readonly CrashRecordUpdate[];
      readonly crashEvidence?: readonly CrashEvidence[];
      readonly pushFragment?: PushFragment;
    },
  ): Uint8Array {
    const { bytes, leftOut } = encodeTolerantly(PeerDigest, {
      ...state,
      directoryRevision: position.revision,
      directoryEra: position.era,
      sender,
      loads: [...loads].map(toLoadReport),
      demands: toDemandMessages(demands),
      partRates: partRates.map(toRateMessage),
      leaves: leaves.flatMap(toLeaveReport),
      limits: limits.map(toLimitReport),
      paces: paces.map(toPaceReport),
      heldParts: parts.map(({ target, part, isBeingRead }) => ({
        target,
        part: part.id,
        tokens: part.tokens,
        isBeingRead,
      })),
      crashReports: [...crashes],
      crashEvidence: crashEvidence.map(({ lives, ...record }) => ({
        ...record,
        lives: [...lives],
      })),
      ...{ streams: undefined, lists: undefined },
      pushFragment: pushFragment && {
        ...pushFragment.position,
        index: pushFragment.index,
        count: pushFragment.count,
        data: Buffer.from(pushFragment.data),
      },
    });
    if (leftOut.length > 0) reportLeftOut(leftOut);
    return bytes;
  }
}

/** Creates a queue whose items are each sent in several batches. */
function createSendQueue<Item>(
  { maxItems }: { readonly maxItems: number },
) {
  let queue: { readonly item: Item; readonly sendsLeft: number }[] = [];

  return { add, getLength: () => queue.length, takeBatch };

  function add(item: Item): void {
    queue.push({ item, sendsLeft: sendsPerItem });
    if (queue.length > maxItems) queue.shift();
  }

  function takeBatch(batchSize: number): readonly Item[] {
    const batch = queue.slice(0, batchSize);
    queue = [
      ...queue.slice(batchSize),
      ...batch.flatMap(({ item, sendsLeft }) =>
        sendsLeft > 1 ? [{ item, sendsLeft: sendsLeft - 1 }] : []
      ),
    ];
    return batch.map(({ item }) => item);
  }
}

function toPushFragment(
  { era, revision, index, count, data }: FragmentMessage,
): PushFragment {
  return { position: { era, revision }, index, count, data };
}

/** A part that no engine can hold, which no router sends, is left out. */
function toPlacedPart(
  { target, part, tokens: stated, isBeingRead }: PartMessage,
): readonly PlacedPart[] {
  const tokens = tryGetPartTokens(stated);
  return tokens === undefined
    ? []
    : [{ target, part: { id: part, tokens }, isBeingRead }];
}

/** Decodes a datagram; returns undefined when it is not a digest. */
export function tryDecodeDigest(bytes: Uint8Array): ReceivedDigest | undefined {
  if (bytes.length === 0) return undefined;
  try {
    const digest = PeerDigest.decode(bytes);
    if (digest.sender === "") return undefined;
    return {
      sender: digest.sender,
      position: {
        era: digest.directoryEra,
        revision: digest.directoryRevision,
      },
      isSettled: digest.isSettled,
      isWatching: digest.isWatching,
      storeContactMs: digest.storeContactMs,
      storeAgeMs: digest.storeAgeMs,
      storeSilentMs: digest.storeSilentMs,
      lostEntries: digest.lostEntries,
      leaves: digest.leaves.map(({ target: id, startedAtMs }) => ({
        ...{ id, startedAtMs },
      })),
      limits: digest.limits.flatMap(toLimitRecord),
      paces: digest.paces,
      streams: digest.streams,
      lists: digest.lists && toListMessage(digest.lists),
      pushFragment: digest.pushFragment && toPushFragment(digest.pushFragment),
      loads: new Map(
        digest.loads.map((report) => [report.target, toLoad(report)]),
      ),
      demands: digest.demands.flatMap(toDemands),
      partRates: digest.partRates
        .map(({ hash, per10s }) => ({ hash, perS: per10s / 10 })),
      parts: digest.heldParts.flatMap(toPlacedPart),
      crashes: digest.crashReports,
      crashEvidence: digest.crashEvidence,
    };
  } catch {
    // Any process may send to the port, so other datagrams are ignored.
    return undefined;
  }
}
