/**
 * Spreads updates by gossip: each one is sent to random members in a few
 * rounds, and receivers forward it.
 */

import type { Rumor } from "../../generated/mimosatray/v1/control.ts";
import type { Patch } from "../../types/configuration.ts";
import type { Member } from "../../types/member.ts";
import type { ControlClass } from "./control_budget.ts";
import {
  type DatagramSender,
  getEndpoint,
  getPurpose,
} from "./control_sender.ts";
import type { CrashRecordUpdate } from "../attempts/crash_records.ts";
import { getMemberBytes, maxDatagramBytes } from "./datagram_codec.ts";
import {
  createRumorQueue,
  createSeenSet,
  type GossipUpdate,
} from "./rumor_queue.ts";

/** Maximum number of times that an update is forwarded. */
export const maxHops = 16;

/** Delay that batches updates which arrive close together. */
const firstRoundDelayMs = 5;

/** Interval between two rounds of the same update. */
const roundIntervalMs = 100;

/** Number of rounds in which an update is sent. */
const rumorRounds = 3;

/** Bytes left for updates in a datagram, besides its other fields. */
const maxRumorBytes = maxDatagramBytes - 120;

/** Maximum number of queued updates. */
const maxUpdates = 2_048;

/** Maximum number of patches that are remembered as seen. */
const maxSeenPatches = 1_024;

/** What the spreader needs from its environment. */
export interface RumorSpreaderHost {
  readonly send: DatagramSender;
  /** Returns the members that updates can be sent to. */
  getPeers(): readonly Member[];
}

/** Spreads updates of members, crash records and patches. */
export interface RumorSpreader {
  spreadMember(member: Member, hopsLeft: number): void;
  spreadCrash(record: CrashRecordUpdate, hopsLeft: number): void;
  /** Spreads a patch; returns false when it is invalid or already seen. */
  spreadPatch(text: string, hopsLeft: number): boolean;
  stop(): void;
}

type UpdateBody =
  | { readonly kind: "member"; readonly member: Member }
  | { readonly kind: "crash"; readonly record: CrashRecordUpdate }
  | { readonly kind: "patch"; readonly text: string }
  /** Carries nothing; receivers read the version in the datagram's fields. */
  | { readonly kind: "version" };

/** Creates a spreader with an empty queue. */
export function createRumorSpreader(
  host: RumorSpreaderHost,
  options: { readonly fanOut: number; readonly random: () => number },
): RumorSpreader {
  const queue = createRumorQueue<UpdateBody>({
    rounds: rumorRounds,
    maxUpdates,
  });
  const seenPatches = createSeenSet(maxSeenPatches);
  let roundTimer: NodeJS.Timeout | undefined;
  let stopped = false;

  return { spreadMember, spreadCrash, spreadPatch, stop };

  function stop(): void {
    stopped = true;
    clearTimeout(roundTimer);
  }

  function spreadMember(member: Member, hopsLeft: number): void {
    enqueue({
      key: `member/${member.id}`,
      body: { kind: "member", member },
      urgency: member.state === "leaving" ? "leaving" : "member",
      bytes: getMemberBytes(member),
      hopsLeft,
    });
  }

  function spreadCrash(record: CrashRecordUpdate, hopsLeft: number): void {
    enqueue({
      key: `crash/${record.fingerprint}`,
      body: { kind: "crash", record },
      urgency: "crash",
      bytes: Buffer.byteLength(record.fingerprint) + 16,
      hopsLeft,
    });
  }

  function spreadPatch(text: string, hopsLeft: number): boolean {
    const key = tryGetPatchKey(text);
    if (key === undefined || !seenPatches.add(key)) return false;
    const bytes = Buffer.byteLength(text) + 3;
    // Receivers that learn the version pull a patch that does not fit.
    const fits = bytes <= maxRumorBytes;
    enqueue({
      key: fits ? key : "version",
      body: fits ? { kind: "patch", text } : { kind: "version" },
      urgency: "patch",
      bytes: fits ? bytes : 0,
      hopsLeft,
    });
    return true;
  }

  function enqueue(update: GossipUpdate<UpdateBody>): void {
    queue.enqueue(update);
    if (stopped || roundTimer !== undefined) return;
    roundTimer = setTimeout(runRound, firstRoundDelayMs);
  }

  function runRound(): void {
    roundTimer = undefined;
    const updates = queue.takeRound(maxRumorBytes);
    if (updates.length > 0) pickPeers().forEach((peer) => send(updates, peer));
    if (queue.getSize() === 0) return;
    const delayMs = queue.hasUnsent() ? firstRoundDelayMs : roundIntervalMs;
    roundTimer = setTimeout(runRound, delayMs);
  }

  function pickPeers(): readonly Member[] {
    const peers = host.getPeers();
    if (peers.length <= options.fanOut) return peers;
    const chosen = new Set<Member>();
    while (chosen.size < options.fanOut) {
      const peer = peers[Math.floor(options.random() * peers.length)];
      if (peer !== undefined) chosen.add(peer);
    }
    return [...chosen];
  }

  function send(
    updates: readonly GossipUpdate<UpdateBody>[],
    to: Member,
  ): void {
    const rumor: Rumor = { members: [], crashes: [], patches: [], hopsLeft: 0 };
    for (const { body, hopsLeft } of updates) {
      rumor.hopsLeft = Math.max(rumor.hopsLeft, hopsLeft);
      if (body.kind === "member") rumor.members.push(body.member);
      if (body.kind === "crash") rumor.crashes.push(body.record);
      if (body.kind === "patch") rumor.patches.push(body.text);
    }
    const body = { $case: "rumor", value: rumor } as const;
    host.send(body, {
      to: getEndpoint(to),
      purpose: getPurpose(body),
      class: getClass(updates),
    });
  }
}

/** Returns the message class of the most urgent update. */
function getClass(updates: readonly GossipUpdate<UpdateBody>[]): ControlClass {
  const urgencies = new Set(updates.map(({ urgency }) => urgency));
  if (urgencies.has("leaving") || urgencies.has("patch")) return "urgent";
  return urgencies.has("member") ? "member" : "crash";
}

/** Returns a key of a patch's version and id; `undefined` if invalid. */
function tryGetPatchKey(text: string): string | undefined {
  try {
    const { version, id } = JSON.parse(text) as Partial<Patch>;
    return Number.isInteger(version) ? `patch/${version}/${id}` : undefined;
  } catch {
    return undefined;
  }
}
