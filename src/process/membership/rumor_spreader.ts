/** Passes news on to members chosen at random, in a few rounds. */

import type { Rumor } from "../../generated/mimosatray/v1/control.ts";
import type { Patch } from "../../types/configuration.ts";
import type { Member } from "../../types/member.ts";
import type { ControlClass } from "./control_budget.ts";
import {
  type DatagramSender,
  getEndpoint,
  getPurpose,
} from "./control_sender.ts";
import type { CrashRecordNews } from "../attempts/crash_records.ts";
import { getMemberBytes, maxDatagramBytes } from "./datagram_codec.ts";
import {
  createRumorQueue,
  createSeenSet,
  type GossipUpdate,
} from "./rumor_queue.ts";

/** Times that news may be passed on. */
export const maxHops = 16;

/** Wait that lets news which arrives together leave together. */
const firstRoundDelayMs = 5;

/** Time between two rounds of the same news. */
const roundIntervalMs = 100;

/** Rounds in which news is sent. */
const rumorRounds = 3;

/** Room for news in a datagram, beside its own fields. */
const maxRumorBytes = maxDatagramBytes - 120;

/** Most news that waits to be sent. */
const maxUpdates = 2_048;

/** Patches whose arrival is remembered. */
const maxSeenPatches = 1_024;

/** What the spread needs from outside. */
export interface RumorSpreaderHost {
  readonly send: DatagramSender;
  /** Members that news can be sent to. */
  getPeers(): readonly Member[];
}

/** Spreads news. */
export interface RumorSpreader {
  spreadMember(member: Member, hopsLeft: number): void;
  spreadCrash(record: CrashRecordNews, hopsLeft: number): void;
  /** Passes a patch on; false when it was seen before or is not one. */
  spreadPatch(text: string, hopsLeft: number): boolean;
  stop(): void;
}

type UpdateBody =
  | { readonly kind: "member"; readonly member: Member }
  | { readonly kind: "crash"; readonly record: CrashRecordNews }
  | { readonly kind: "patch"; readonly text: string }
  /** Only the version in the datagram's own fields counts. */
  | { readonly kind: "version" };

/** Creates a spread without news. */
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

  function spreadCrash(record: CrashRecordNews, hopsLeft: number): void {
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
    // One that does not fit is pulled by those who hear of its version.
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

/** News of several kinds counts as the most urgent of them. */
function getClass(updates: readonly GossipUpdate<UpdateBody>[]): ControlClass {
  const urgencies = new Set(updates.map(({ urgency }) => urgency));
  if (urgencies.has("leaving") || urgencies.has("patch")) return "urgent";
  return urgencies.has("member") ? "member" : "crash";
}

/** Names a patch by version and id; `undefined` for what is not one. */
function tryGetPatchKey(text: string): string | undefined {
  try {
    const { version, id } = JSON.parse(text) as Partial<Patch>;
    return Number.isInteger(version) ? `patch/${version}/${id}` : undefined;
  } catch {
    return undefined;
  }
}
