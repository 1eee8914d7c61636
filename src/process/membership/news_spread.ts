/** Passes news on to members chosen at random, in a few rounds. */

import type { Rumor } from "../../generated/mimosatray/v1/control.ts";
import type { Patch } from "../../types/configuration.ts";
import type { Member } from "../../types/member.ts";
import type { ControlClass } from "./control_budget.ts";
import { getEndpoint, getPurpose, type Send } from "./control_sender.ts";
import type { CrashRecordUpdate } from "../attempts/crash_records.ts";
import { getMemberBytes, maxDatagramBytes } from "./datagram_codec.ts";
import { createRumorQueue, createSeenSet, type News } from "./rumor.ts";

/** Times that news may be passed on. */
export const maxHops = 16;

/** Wait that lets news which arrives together leave together. */
const firstRoundDelayMs = 5;

/** Time between two rounds of the same news. */
const roundIntervalMs = 100;

/** Rounds in which news is sent. */
const rumorRounds = 3;

/** Room for news in a datagram, beside its own fields. */
const newsBytes = maxDatagramBytes - 120;

/** Most news that waits to be sent. */
const maxNews = 2_048;

/** Patches whose arrival is remembered. */
const maxSeenPatches = 1_024;

/** What the spread needs from outside. */
export interface NewsSpreadHost {
  readonly send: Send;
  /** Members that news can be sent to. */
  getPeers(): readonly Member[];
}

/** Spreads news. */
export interface NewsSpread {
  spreadMember(member: Member, hopsLeft: number): void;
  spreadCrash(record: CrashRecordUpdate, hopsLeft: number): void;
  /** Passes a patch on; false when it was seen before or is not one. */
  spreadPatch(text: string, hopsLeft: number): boolean;
  stop(): void;
}

type NewsBody =
  | { readonly kind: "member"; readonly member: Member }
  | { readonly kind: "crash"; readonly record: CrashRecordUpdate }
  | { readonly kind: "patch"; readonly text: string }
  /** Only the version in the datagram's own fields counts. */
  | { readonly kind: "version" };

/** Creates a spread without news. */
export function createNewsSpread(
  host: NewsSpreadHost,
  options: { readonly fanOut: number; readonly random: () => number },
): NewsSpread {
  const rumors = createRumorQueue<NewsBody>({ rounds: rumorRounds, maxNews });
  const seenPatches = createSeenSet(maxSeenPatches);
  let nextRound: NodeJS.Timeout | undefined;
  let stopped = false;

  return { spreadMember, spreadCrash, spreadPatch, stop };

  function stop(): void {
    stopped = true;
    clearTimeout(nextRound);
  }

  function spreadMember(member: Member, hopsLeft: number): void {
    offer({
      key: `member/${member.id}`,
      body: { kind: "member", member },
      urgency: member.state === "leaving" ? "leaving" : "member",
      bytes: getMemberBytes(member),
      hopsLeft,
    });
  }

  function spreadCrash(record: CrashRecordUpdate, hopsLeft: number): void {
    offer({
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
    const fits = bytes <= newsBytes;
    offer({
      key: fits ? key : "version",
      body: fits ? { kind: "patch", text } : { kind: "version" },
      urgency: "patch",
      bytes: fits ? bytes : 0,
      hopsLeft,
    });
    return true;
  }

  function offer(news: News<NewsBody>): void {
    rumors.offer(news);
    if (stopped || nextRound !== undefined) return;
    nextRound = setTimeout(runRound, firstRoundDelayMs);
  }

  function runRound(): void {
    nextRound = undefined;
    const news = rumors.takeRound(newsBytes);
    if (news.length > 0) choosePeers().forEach((peer) => sendNews(news, peer));
    if (rumors.getSize() === 0) return;
    const wait = rumors.hasFresh() ? firstRoundDelayMs : roundIntervalMs;
    nextRound = setTimeout(runRound, wait);
  }

  function choosePeers(): readonly Member[] {
    const peers = host.getPeers();
    if (peers.length <= options.fanOut) return peers;
    const chosen = new Set<Member>();
    while (chosen.size < options.fanOut) {
      const peer = peers[Math.floor(options.random() * peers.length)];
      if (peer !== undefined) chosen.add(peer);
    }
    return [...chosen];
  }

  function sendNews(news: readonly News<NewsBody>[], to: Member): void {
    const rumor: Rumor = { members: [], crashes: [], patches: [], hopsLeft: 0 };
    for (const { body, hopsLeft } of news) {
      rumor.hopsLeft = Math.max(rumor.hopsLeft, hopsLeft);
      if (body.kind === "member") rumor.members.push(body.member);
      if (body.kind === "crash") rumor.crashes.push(body.record);
      if (body.kind === "patch") rumor.patches.push(body.text);
    }
    const body = { $case: "rumor", value: rumor } as const;
    host.send(body, {
      to: getEndpoint(to),
      purpose: getPurpose(body),
      class: getClass(news),
    });
  }
}

/** News of several kinds counts as the most urgent of them. */
function getClass(news: readonly News<NewsBody>[]): ControlClass {
  const urgencies = new Set(news.map(({ urgency }) => urgency));
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
