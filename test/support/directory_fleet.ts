/**
 * Replays the directories of a fleet of routers against a store in memory, with
 * paused time. Digests and pushes take some milliseconds; pulls return a peer's
 * copy.
 */

import { isDeepStrictEqual } from "node:util";
import { createCachedParts } from "../../src/process/direct/placement/cached_parts.ts";
import { createCatchUp } from "../../src/process/direct/directory/catch_up.ts";
import {
  createDirectoryReplica,
  type DirectoryReplica,
} from "../../src/process/direct/directory/directory_replica.ts";
import {
  createDirectorySync,
  type DirectorySync,
} from "../../src/process/direct/directory/directory_sync.ts";
import {
  createDirectoryTables,
  type DirectoryTables,
} from "../../src/process/direct/directory/directory_tables.ts";
import {
  type ChangePushes,
  createChangePushes,
} from "../../src/process/direct/peers/change_pushes.ts";
import type { PushFragment } from "../../src/process/direct/peers/push_fragments.ts";
import type { ReceivedDigest } from "../../src/process/direct/peers/peer_digests.ts";
import { createDirectoryDigests } from "../../src/roles/directory_digests.ts";
import { createPeerPulls } from "../../src/process/direct/peers/peer_pulls.ts";
import { createRouterRegistration } from "../../src/process/direct/peers/router_registration.ts";
import {
  createTargetTable,
  type TargetTable,
} from "../../src/process/direct/targets/target_table.ts";
import {
  createZoneEvacuations,
  type ZoneEvacuations,
} from "../../src/process/direct/targets/zone_evacuations.ts";
import {
  createWatcherChoice,
  type WatcherChoice,
} from "../../src/process/direct/peers/watcher_choice.ts";
import type { Placement } from "../../src/process/placement/placement.ts";
import { createSilentLog } from "../../src/process/telemetry/log.ts";
import type { RouterPeer } from "../../src/types/direct_target.ts";
import type { DirectoryRecord } from "../../src/types/directory.ts";
import type { Entry } from "../../src/types/platform.ts";
import {
  comparePositions,
  type StorePosition,
} from "../../src/types/store_position.ts";
import type {
  ReturningStore,
  StoreAccess,
  StoreLink,
} from "../fakes/returning_store.ts";
import { createTable, createTarget, createTestLimits } from "./direct.ts";

/** A router of the replayed fleet. */
export interface ReplayedRouter {
  readonly id: string;
  readonly replica: DirectoryReplica;
  readonly sync: DirectorySync;
  readonly tables: DirectoryTables;
  readonly targets: TargetTable;
  readonly evacuations: ZoneEvacuations;
  /** Versions of the configuration that were in force, in order. */
  readonly versions: readonly number[];
  access: StoreAccess;
  /** False while the router neither sends nor receives. */
  isReached: boolean;
  /** False for a build whose messages name no era. */
  namesEra: boolean;
}

/** Inner parts of a router. */
interface RouterParts extends ReplayedRouter {
  readonly watchers: WatcherChoice;
  readonly pushes: ChangePushes;
  receive(message: Message): void;
}

/** What a digest tells of the directory. */
type Message = Pick<
  ReceivedDigest,
  | "isWatching"
  | "lostEntries"
  | "position"
  | "pushFragment"
  | "sender"
  | "storeAgeMs"
  | "storeContactMs"
  | "storeSilentMs"
>;

/** Time of a datagram between two routers, in milliseconds. */
const datagramMs = 5;

/** Interval of the digests of a router that watches the store, in ms. */
const watcherDigestMs = 250;

/** Digests that a router sends per second to all of its peers together. */
const datagramsPerSecond = 240;

/** Service of all targets. */
export const replayedService = "desk";

/** Encodes the entry of a target. */
export function encodeTarget(
  state: "ready" | "draining",
  startedAtMs = 1,
): string {
  return `${state} ${startedAtMs}`;
}

/** Decodes the entries of targets, routers and the configuration. */
function decode(
  { key, value }: Entry,
  decodeVersion: (value: string) => number,
): DirectoryRecord {
  const [kind, id = "", zone = ""] = key.split("/");
  if (id === "evacuate") return { kind: "evacuation", zone };
  if (kind === "servers") {
    const [state, startedAtMs] = value.split(" ");
    const target = createTarget(id, {
      service: replayedService,
      state: state === "draining" ? "draining" : "ready",
      softwareVersion: "v1",
      startedAtMs: Number(startedAtMs),
    });
    return { kind: "target", target };
  }
  return kind === "routers"
    ? { kind: "router", router: JSON.parse(value) as RouterPeer }
    : {
      kind: "route_table",
      table: createTable({ version: decodeVersion(value) }),
    };
}

function resolveKey(key: string) {
  const [kind, id = "", zone = ""] = key.split("/");
  if (id === "evacuate") return { kind: "evacuation", id: zone } as const;
  if (kind === "servers") return { kind: "target", id } as const;
  return kind === "routers" ? { kind: "router", id } as const : undefined;
}

/** Creates a fleet without routers. */
export function createDirectoryFleet(
  store: ReturningStore,
  placement: Placement,
  { decodeVersion = Number }: {
    /** Returns the version of a configuration. */
    decodeVersion?(value: string): number;
  } = {},
) {
  const routers: RouterParts[] = [];

  return {
    routers: routers as readonly ReplayedRouter[],
    startRouter,
    killRouter,
    restartRouter,
    /** Returns the routers that watch the store. */
    getWatching: (): readonly ReplayedRouter[] =>
      routers.filter(({ sync }) => sync.isWatching()),
  };

  function startRouter(link?: StoreLink): ReplayedRouter {
    const router = createRouter(`router-${routers.length}`, link);
    routers.push(router);
    router.sync.start();
    sendDigests(router);
    return router;
  }

  /** Ends a router, whose entry stays; nothing of it is sent any more. */
  function killRouter({ id }: ReplayedRouter): void {
    const router = routers.find((other) => other.id === id);
    if (router === undefined) return;
    router.sync.stop();
    Object.assign(router, { access: "refuse", isReached: false });
  }

  /** Starts a killed router again, which then knows nothing. */
  function restartRouter({ id }: ReplayedRouter): void {
    const router = createRouter(id);
    routers[routers.findIndex((other) => other.id === id)] = router;
    router.sync.start();
    sendDigests(router);
  }

  function createRouter(id: string, link?: StoreLink): RouterParts {
    const self = { id, address: id, digestPort: 6, pullPort: 7 };
    const versions: number[] = [];
    const replica = createDirectoryReplica();
    const evacuations = createZoneEvacuations({ log: createSilentLog() });
    const targets = createTargetTable({ evacuations });
    const client = store.createClient(() => router.access, link);
    const watchers = createWatcherChoice({
      selfId: id,
      placement,
      getRouterIds: () => tables.routers.keys(),
    });
    const sync = createDirectorySync({
      selfId: id,
      store: client,
      replica,
      watchers,
      log: createSilentLog(),
      handleChanges: (changes, source) => {
        const before = caughtUp;
        tables.apply(changes, source);
        registration.registerOnce();
        caughtUp = replica.getPosition();
        if (comparePositions(caughtUp, before) > 0) pulls.reportCaughtUp();
      },
      handleReturn: () => registration.handleReturn(),
      handleOutageRevised: () => tables.handleOutageRevised(),
      pushChanges: (changes, { position, entries }) =>
        pushes.push(changes, {
          position: router.namesEra ? position : { ...position, era: 0 },
          entries,
        }),
      pushUrgent: (changes, era) =>
        pushes.pushUrgent(changes, router.namesEra ? era : 0),
      tellSilent: () => send(router, undefined),
      countCall: () => undefined,
    });
    const tables = createDirectoryTables({
      store: { decode: (entry) => decode(entry, decodeVersion), resolveKey },
      ...{ targets, evacuations, limits: createTestLimits() },
      health: { forget: () => undefined },
      cachedParts: createCachedParts(),
      log: createSilentLog(),
      expiryGraceMs: 2_200,
      getEra: () => replica.getPosition().era,
      getOutageEndedAt: sync.getOutageEndedAt,
      describeContact: sync.describeContact,
      getReturnedAt: sync.getReturnedAt,
      handleRouteTable: ({ version }) => versions.push(version),
    });
    const registration = createRouterRegistration({
      log: createSilentLog(),
      announce: () => client.put(`routers/${id}`, JSON.stringify(self)),
      isRegistered: () => isDeepStrictEqual(tables.tryGetRegistered(id), self),
      random: Math.random,
    });
    const pulls = createPeerPulls({
      settings: { pull: { address: id, port: 7 }, seeds: [] },
      log: createSilentLog(),
      needsPeers: sync.needsPeers,
      hasConfiguration: () => versions.length > 0,
      getPosition: replica.getPosition,
      applyCopy: sync.applyPeerCopy,
      pullDirectory: async ({ address }, after) => {
        const peer = routers.find((other) => other.id === address);
        await sleep(2 * datagramMs);
        if (!router.isReached || peer?.isReached !== true) {
          throw new Error("silent");
        }
        return peer.replica.getCopyAfter(after);
      },
      pullCachedParts: () => Promise.reject(new Error("not replayed")),
    });
    const catchUp = createCatchUp({
      getPosition: replica.getPosition,
      isWatching: sync.isWatching,
      catchUp: sync.catchUp,
      random: Math.random,
    });
    const digests = createDirectoryDigests({
      settings: { pull: { address: id, port: 7 } },
      ...{ routers: tables.routers, sync, pulls, catchUp },
      getPosition: replica.getPosition,
      countLostEntries: replica.countLostEntries,
    });
    const pushes = createChangePushes({
      log: createSilentLog(),
      countWatchersAhead: watchers.countWatchersAhead,
      getPushPosition: digests.getPushPosition,
      getUrgentPosition: digests.getUrgentPosition,
      sendFragment: (fragment) => send(router, fragment),
      sendDigest: () => send(router, undefined),
    });
    let caughtUp = replica.getPosition();
    const router: RouterParts = {
      ...{ id, replica, sync, tables, targets, evacuations, versions },
      ...{ watchers, pushes, receive },
      access: "serve",
      isReached: true,
      namesEra: true,
    };
    return router;

    function receive(message: Message): void {
      const { sender, isWatching, storeAgeMs = 0 } = message;
      watchers.recordPeer(sender, { isWatching, storeAgeMs });
      digests.handle(message, { address: sender });
    }
  }

  function sendDigests(router: RouterParts): void {
    const peers = router.tables.routers.size - 1;
    const idleMs = Math.max(
      watcherDigestMs,
      peers * 1_000 / datagramsPerSecond,
    );
    const intervalMs = router.sync.hasTurn() ? watcherDigestMs : idleMs;
    setTimeout(() => {
      if (!routers.includes(router)) return;
      send(router, undefined);
      sendDigests(router);
    }, intervalMs);
  }

  function send(
    router: RouterParts,
    pushFragment: PushFragment | undefined,
  ): void {
    if (!router.isReached) return;
    const { id, sync, replica, namesEra } = router;
    const { contactMs, ageMs, silentMs } = sync.getOwnContact();
    const message: Message = {
      sender: id,
      position: toSent(replica.getPosition()),
      isWatching: sync.isWatching(),
      storeContactMs: contactMs,
      storeAgeMs: ageMs,
      storeSilentMs: silentMs,
      lostEntries: replica.countLostEntries(),
      pushFragment: pushFragment && {
        ...pushFragment,
        position: toSent(pushFragment.position),
      },
    };
    const known = router.tables.routers;
    setTimeout(() => {
      for (const peer of routers) {
        if (peer !== router && peer.isReached && known.has(peer.id)) {
          peer.receive(message);
        }
      }
    }, datagramMs);

    function toSent({ era, revision }: StorePosition): StorePosition {
      return { era: namesEra ? era : 0, revision };
    }
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
