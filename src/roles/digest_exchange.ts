/** Sends digests to the other routers and applies theirs. */

import { createGossipSocket } from "../connection/gossip_socket.ts";
import type { CrashRecordUpdate } from "../process/attempts/crash_records.ts";
import type { Quarantine } from "../process/direct/crashes/quarantine.ts";
import type { CachedParts } from "../process/direct/placement/cached_parts.ts";
import { isLargePrefill } from "../process/direct/placement/prefill_turns.ts";
import { createCatchUp } from "../process/direct/directory/catch_up.ts";
import { createDigestFaults } from "../process/direct/peers/digest_faults.ts";
import { createDigestPace } from "../process/direct/peers/digest_pace.ts";
import type { DirectorySync } from "../process/direct/directory/directory_sync.ts";
import type { WatcherChoice } from "../process/direct/peers/watcher_choice.ts";
import type { RouterRoster } from "../process/direct/peers/router_roster.ts";
import type { TargetLimits } from "../process/direct/limits/target_limits.ts";
import type { PartDemand } from "../process/direct/placement/part_demand.ts";
import type { RequestQueue } from "../process/direct/queue/request_queue.ts";
import type { LoadView } from "../process/direct/targets/load_view.ts";
import type { TargetPace } from "../process/direct/targets/target_pace.ts";
import type { PartPrefills } from "../process/direct/placement/part_prefills.ts";
import {
  createDigestWriter,
  type DigestState,
  type ReceivedDigest,
  tryDecodeDigest,
} from "../process/direct/peers/peer_digests.ts";
import type { ListMessage } from "../process/direct/peers/list_fragments.ts";
import type { PeerPulls } from "../process/direct/peers/peer_pulls.ts";
import {
  type ChangePushes,
  createChangePushes,
} from "../process/direct/peers/change_pushes.ts";
import type { StreamMessage } from "../process/direct/streams/stream_origins.ts";
import type { TargetTable } from "../process/direct/targets/target_table.ts";
import type { Endpoint } from "../process/membership/exchange.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { LoopTurns } from "../process/telemetry/loop_turns.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { DirectSettings } from "../types/direct_settings.ts";
import type { RouterPeer } from "../types/direct_target.ts";
import type { PromptPart } from "../types/prompt.ts";
import type { StorePosition } from "../types/store_position.ts";
import { createDirectoryDigests } from "./directory_digests.ts";
import { createPeerContact } from "./peer_contact.ts";

/** Interval at which it is decided whether to send a digest, in ms. */
const tickIntervalMs = 60;

/** Maximum time of contact with the store that is reported, in milliseconds. */
const maxReportedContactMs = 16_000;

/**
 * Time since the last read of a peer that reads the store and doesn't tell it, in
 * milliseconds: the longest for which a router reports that it does.
 */
const unknownStoreAgeMs = 2_000;

/**
 * Time for which a leave is reported to all peers, in milliseconds; some digests,
 * as a datagram may be lost.
 */
const leaveReportMs = 1_500;

/** Time for which a leave is reported to a router that starts, in ms. */
const leaveResponseMs = 10_000;

/** What the exchange needs from the process. */
export interface DigestExchangeHost {
  readonly settings: DirectSettings;
  readonly log: Log;
  readonly metrics: Pick<Metrics, "count">;
  readonly turns: Pick<LoopTurns, "measure">;
  /** Registered routers by id. */
  readonly routers: ReadonlyMap<string, RouterPeer>;
  readonly watchers: WatcherChoice;
  readonly sync: Pick<
    DirectorySync,
    | "applyPush"
    | "catchUp"
    | "getOwnContact"
    | "hasTurn"
    | "isCatchingUp"
    | "isWatching"
    | "recordPeerEra"
    | "recordPeerContact"
    | "recordPeerPosition"
    | "recordPeerRead"
  >;
  readonly pulls: Pick<
    PeerPulls,
    "reportLostEntries" | "reportPeerAhead" | "tick" | "tryPullCachedParts"
  >;
  readonly targets: Pick<TargetTable, "getOwnLeaves" | "recordPeerLeave">;
  readonly cachedParts: CachedParts;
  readonly prefills: Pick<PartPrefills, "recordPeerPrefill">;
  readonly loads: Pick<LoadView, "recordReport" | "getOwnLoads">;
  readonly queue: Pick<RequestQueue, "getOwnDemand" | "recordPeerDemand">;
  readonly partDemand: Pick<PartDemand, "getOwnRates" | "recordReport">;
  readonly limits: Pick<TargetLimits, "merge" | "reports">;
  readonly pace: Pick<TargetPace, "merge" | "reports">;
  readonly roster: Pick<RouterRoster, "recordHeard">;
  /** Applies the crash record of a peer. */
  mergeCrash(record: CrashRecordUpdate): void;
  readonly quarantine: Pick<Quarantine, "hasChanges" | "merge" | "takeRecords">;
  /** Handle what a peer tells or asks of streams, or of engines' lists. */
  handleStreamMessage(peer: string, message: StreamMessage): void;
  handleListMessage(peer: string, message: ListMessage): void;
  /** Returns the position up to which all changes are known. */
  getPosition(): StorePosition;
  /** Returns the number of entries of which more is known than the store has. */
  countLostEntries(): number;
  /** Returns true once the cached parts of engines are known. */
  isSettled(): boolean;
}

/** The digests of one router. */
export interface DigestExchange {
  /** Binds the socket and starts to send; rejects when it cannot bind. */
  start(): Promise<void>;
  stop(): void;
  /** Sends a digest to all peers now. */
  sendDigest(): void;
  /** Pushes directory changes that were read from the store to all peers. */
  pushChanges: ChangePushes["push"];
  /** Pushes changes although others before them are not known here. */
  pushUrgent: ChangePushes["pushUrgent"];
  /**
   * Records that a target gets the parts of a prompt and has to prefill
   * `prefillParts`, and reports it to peers.
   */
  recordParts(
    target: string,
    parts: readonly PromptPart[],
    prefillParts: readonly PromptPart[],
  ): void;
  /** Reports a crash record to peers. */
  reportCrash(record: CrashRecordUpdate): void;
  /** Returns true when the peer's latest digest reports it as settled. */
  isPeerSettled(id: string): boolean;
  /** Returns true without peers, or when one was heard of lately. */
  isInContact(): boolean;
  /** Returns true when the peer was heard of since this router started. */
  isPeerHeard(id: string): boolean;
  /** Sends a datagram to one peer, if its address is known, or to all. */
  send(bytes: Uint8Array, peer?: string): void;
}

/** Creates the exchange of a router that has no peers yet. */
export function createDigestExchange(
  host: DigestExchangeHost,
): DigestExchange {
  const { settings, routers, sync, pulls } = host;
  const contact = createPeerContact({
    ...{ routers, roster: host.roster, cachedParts: host.cachedParts },
    tryPullCachedParts: pulls.tryPullCachedParts,
  });
  const pace = createDigestPace();
  const faults = createDigestFaults(host);
  const digestWriter = createDigestWriter(settings.id, {
    reportLeftOut: faults.recordLeftOut,
  });
  const catchUp = createCatchUp({
    getPosition: host.getPosition,
    isWatching: sync.isWatching,
    catchUp: sync.catchUp,
    random: Math.random,
  });
  const directoryDigests = createDirectoryDigests({
    ...{ settings, routers, sync, pulls, catchUp },
    getPosition: host.getPosition,
    countLostEntries: host.countLostEntries,
  });
  const pushes = createChangePushes({
    log: host.log,
    countWatchersAhead: () => host.watchers.countWatchersAhead(),
    getPushPosition: directoryDigests.getPushPosition,
    getUrgentPosition: directoryDigests.getUrgentPosition,
    sendFragment: (fragment) =>
      sendToAll(digestWriter.writePush(getDigestState(), fragment)),
    sendDigest,
  });
  let tickTimer: NodeJS.Timeout | undefined;
  const socket = createGossipSocket({
    receive: (bytes, from) =>
      host.turns.measure("digest", () => {
        const digest = tryDecodeDigest(bytes);
        if (digest !== undefined) {
          faults.guard(digest.sender, () => handleDigest(digest, from));
        }
      }),
    onError: (error) =>
      host.log.warn("Digest socket failed", {
        reason: error.message,
      }),
  }, settings.digest);

  return {
    start,
    stop,
    sendDigest,
    pushChanges: pushes.push,
    pushUrgent: pushes.pushUrgent,
    recordParts,
    reportCrash: digestWriter.queueCrash,
    isPeerSettled: contact.isSettled,
    isInContact: contact.isInContact,
    isPeerHeard: contact.isHeard,
    send,
  };

  async function start(): Promise<void> {
    await socket.bind();
    tickTimer = setInterval(
      () => faults.guard(settings.id, tick),
      tickIntervalMs,
    );
  }

  function stop(): void {
    clearInterval(tickTimer);
    catchUp.stop();
    void socket.close();
  }

  function tick(): void {
    sendWhenDue();
    pulls.tick();
  }

  function sendWhenDue(): void {
    const state = {
      peers: routers.size - 1,
      hasUpdates: digestWriter.getQueueLength() > 0 ||
        host.quarantine.hasChanges() || host.limits.reports.hasChanges() ||
        host.pace.reports.hasChanges(),
      isWatcher: sync.hasTurn(),
    };
    if (pace.trySend(state)) host.turns.measure("digest", writeDigest);
  }

  function sendDigest(): void {
    pace.recordSent();
    writeDigest();
  }

  function writeDigest(): void {
    sendToAll(
      digestWriter.write(
        {
          ...getDigestState(),
          limits: host.limits.reports.take(),
          paces: host.pace.reports.take(),
        },
        host.quarantine.takeRecords(),
      ),
    );
  }

  function sendToAll(bytes: Uint8Array): void {
    [...routers.keys()].filter((id) => id !== settings.id)
      .forEach((id) => send(bytes, id));
  }

  function send(bytes: Uint8Array, peer?: string): void {
    if (peer === undefined) return sendToAll(bytes);
    const router = routers.get(peer);
    if (router === undefined) return;
    const { address, digestPort } = router;
    socket.send(bytes, { address, port: digestPort });
  }

  function getDigestState(leaveMs = leaveReportMs): DigestState {
    const { contactMs, ageMs, silentMs } = sync.getOwnContact();
    return {
      position: host.getPosition(),
      isSettled: host.isSettled(),
      isWatching: sync.isWatching(),
      storeContactMs: Math.min(maxReportedContactMs, contactMs),
      storeAgeMs: ageMs,
      storeSilentMs: silentMs,
      lostEntries: host.countLostEntries(),
      leaves: host.targets.getOwnLeaves(leaveMs),
      ...{ limits: [], paces: [] },
      loads: host.loads.getOwnLoads(),
      demands: host.queue.getOwnDemand(),
      partRates: host.partDemand.getOwnRates(),
    };
  }

  function recordParts(
    target: string,
    parts: readonly PromptPart[],
    prefillParts: readonly PromptPart[],
  ): void {
    for (const part of parts) {
      if (!host.cachedParts.isCached(target, part.id)) {
        digestWriter.queuePart({
          target,
          part,
          isBeingRead: prefillParts.includes(part),
        });
      }
    }
    host.cachedParts.recordParts(target, parts);
    if (!isLargePrefill(prefillParts)) return;
    // Twice, as a datagram may be lost.
    for (const delayMs of [0, 2]) {
      setTimeout(() => faults.guard(settings.id, sendWhenDue), delayMs).unref();
    }
  }

  function handleDigest(digest: ReceivedDigest, from: Endpoint): void {
    const { sender, isWatching, storeAgeMs = unknownStoreAgeMs } = digest;
    if (sender === settings.id) return;
    contact.record(sender);
    if (digest.streams !== undefined) {
      return host.handleStreamMessage(sender, digest.streams);
    }
    if (digest.lists !== undefined) {
      return host.handleListMessage(sender, digest.lists);
    }
    host.watchers.recordPeer(sender, { isWatching, storeAgeMs });
    directoryDigests.handle(digest, from);
    if (digest.pushFragment !== undefined) return;
    host.loads.recordReport(sender, digest.loads);
    host.queue.recordPeerDemand(sender, digest.demands);
    host.partDemand.recordReport(sender, digest.partRates);
    digest.limits.forEach(host.limits.merge);
    digest.paces.forEach(host.pace.merge);
    recordPeerLeaves(host, digest);
    handleSettled(digest, from);
    digest.crashes.forEach(host.mergeCrash);
    digest.crashEvidence.forEach(host.quarantine.merge);
    for (const { target, part, isBeingRead } of digest.parts) {
      if (isBeingRead && !host.cachedParts.isCached(target, part.id)) {
        host.prefills.recordPeerPrefill(target, part);
      }
      host.cachedParts.recordPart(target, part);
    }
  }

  function handleSettled(
    { sender, isSettled }: ReceivedDigest,
    from: Endpoint,
  ): void {
    contact.recordSettled(sender, isSettled);
    if (!isSettled && host.isSettled()) {
      const state = {
        ...getDigestState(leaveResponseMs),
        limits: host.limits.reports.getForStart(),
      };
      socket.send(digestWriter.writeResponse(state), from);
    }
  }
}

/** Records the leaves that a peer tells, and logs those that are new. */
function recordPeerLeaves(
  { targets, log }: Pick<DigestExchangeHost, "log" | "targets">,
  { sender, leaves }: ReceivedDigest,
): void {
  for (const leave of leaves) {
    const entryState = targets.recordPeerLeave(leave);
    if (entryState === undefined) continue;
    log.info("Peer tells that a target leaves", {
      ...{ target: leave.id, peer: sender, entryState },
    });
  }
}
