/**
 * Catches up from other members when one of them announces a later version:
 * one pull at a time, from the announcers first and from the platform last.
 */

import type { EitherAsync } from "purify-ts";
import { getBackOffMs, getJitteredMs } from "../process/membership/jitter.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Member } from "../types/member.ts";
import type { Dump } from "../types/role.ts";
import type { Codec } from "./codec.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import { decodeSnapshot, type Snapshot } from "./snapshot.ts";

/** Reason why a member returned no configuration. */
export interface PullError {
  readonly kind: "unreachable" | "not_loaded";
  readonly message: string;
}

/** Configuration that a member returned. */
export type PulledConfiguration =
  | { readonly kind: "patches"; readonly texts: readonly string[] }
  | { readonly kind: "snapshot"; readonly snapshot: Snapshot };

/** Pulls what follows a version from a member. */
export type PullFromMember = (
  member: Member,
  afterVersion: number,
) => EitherAsync<PullError, PulledConfiguration>;

/** Dependencies of the peer pull. */
export interface PeerPullHost {
  readonly log: Log;
  readonly metrics: Metrics;
  readonly codec: Codec;
  readonly pull: PullFromMember;
  getPeers(): readonly Member[];
  getVersion(): number;
  applyPatchTexts(texts: readonly string[]): void;
  adopt(state: ConfigurationState): boolean;
  /** Reads from the platform; returns false when that fails. */
  refresh(): Promise<boolean>;
}

/** Pulls the configuration from other members. */
export interface PeerPull {
  /** Handles a version that a member announced; a later one starts a pull. */
  handleVersion(version: number, sender: Member): void;
  /** Asks a few members in random order; true when one sent a configuration. */
  pullFromAny(): Promise<boolean>;
  stop(): void;
  dump(): Dump;
}

/**
 * Maximum delay before a pull, in milliseconds. Propagated patches that arrive
 * within it make the pull unnecessary.
 */
const pullDelayMs = 250;

/** Maximum number of announcers that are kept. */
const maxAnnouncers = 8;

/** Maximum number of members that a starting process asks in one round. */
const maxPullsPerRound = 3;

const backOff = { firstMs: 250, maxMs: 2_000 };

/** Creates the pulls of one process. */
export function createPeerPull(host: PeerPullHost): PeerPull {
  const announcers = new Map<string, Member>();
  let wantedVersion = 0;
  let timer: NodeJS.Timeout | undefined;
  let isPulling = false;
  let isStopped = false;
  let failures = 0;
  let pulls = 0;

  return { handleVersion, pullFromAny, stop, dump };

  function handleVersion(version: number, sender: Member): void {
    if (version <= host.getVersion()) return;
    wantedVersion = Math.max(wantedVersion, version);
    announcers.delete(sender.id);
    announcers.set(sender.id, sender);
    const [oldest] = announcers.keys();
    if (announcers.size > maxAnnouncers && oldest !== undefined) {
      announcers.delete(oldest);
    }
    schedule(getJitteredMs(pullDelayMs));
  }

  function schedule(delayMs: number): void {
    if (timer !== undefined || isPulling || isStopped) return;
    timer = setTimeout(() => {
      timer = undefined;
      void catchUp();
    }, delayMs);
    timer.unref();
  }

  async function catchUp(): Promise<void> {
    if (isBehind()) {
      isPulling = true;
      const succeeded = await pullOnce();
      isPulling = false;
      failures = succeeded ? 0 : failures + 1;
    }
    if (!isBehind()) {
      announcers.clear();
      return;
    }
    schedule(getBackOffMs(failures, backOff));
  }

  function isBehind(): boolean {
    return wantedVersion > host.getVersion();
  }

  async function pullOnce(): Promise<boolean> {
    const previousVersion = host.getVersion();
    const newestFirst = [...announcers.values()].reverse();
    for (const member of newestFirst) {
      await pullFrom(member);
      if (host.getVersion() > previousVersion) return true;
      announcers.delete(member.id);
    }
    return await host.refresh() && host.getVersion() > previousVersion;
  }

  async function pullFrom(member: Member): Promise<boolean> {
    pulls++;
    host.metrics.count("configuration_pulls");
    const pulled = await host.pull(member, host.getVersion()).run();
    return await pulled.caseOf<Promise<boolean>>({
      Left: (error) => {
        host.log.debug("Member returned no configuration", {
          member: member.id,
          reason: error.message,
        });
        return Promise.resolve(false);
      },
      Right: applyPulled,
    });
  }

  async function applyPulled(pulled: PulledConfiguration): Promise<boolean> {
    if (pulled.kind === "patches") {
      host.applyPatchTexts(pulled.texts);
      return true;
    }
    const { codec } = host;
    const state = await decodeSnapshot(pulled.snapshot, { codec });
    if (state === undefined) return false;
    host.adopt(state);
    return true;
  }

  async function pullFromAny(): Promise<boolean> {
    const peers = [...host.getPeers()].filter((peer) => peer.state === "live");
    for (let pullCount = 0; pullCount < maxPullsPerRound; pullCount++) {
      const index = Math.floor(Math.random() * peers.length);
      const [peer] = peers.splice(index, 1);
      if (peer === undefined) return false;
      if (await pullFrom(peer)) return true;
    }
    return false;
  }

  function stop(): void {
    isStopped = true;
    clearTimeout(timer);
    timer = undefined;
  }

  function dump(): Dump {
    return { pulls, failures, wantedVersion, isPulling };
  }
}
