/**
 * The exchange of one process with the rest of the fleet: messages and ticks
 * in, messages out, no sockets.
 */

import type {
  Datagram,
  LoadReport,
  Rumor,
} from "../generated/mimosatray/v1/control.ts";
import type { Patch } from "../types/configuration.ts";
import type { Member } from "../types/member.ts";
import type { Vm } from "../types/platform.ts";
import type { ConfigurationStore } from "../types/role.ts";
import type { MeanEstimate } from "../types/view.ts";
import {
  type ControlBudget,
  type ControlClass,
  type ControlPurpose,
  datagramHeaderBytes,
} from "./control_budget.ts";
import { type CrashRecordNews, createCrashRecords } from "./crash_records.ts";
import {
  encodeDatagram,
  getMemberBytes,
  maxDatagramBytes,
  tryDecodeDatagram,
  tryReadMember,
} from "./datagram_codec.ts";
import { createMean, type Mean } from "./mean_estimate.ts";
import { createMembership, type Membership } from "./membership.ts";
import { createProbeSchedule, type ProbeOrder } from "./probe_schedule.ts";
import { createRumorQueue, createSeenSet, type News } from "./rumor.ts";

/** IP number and UDP port of a member. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

/** Time between two ticks. */
export const tickMs = 250;

/** Times that news may be passed on. */
const maxHops = 16;

/** Wait that lets news which arrives together leave together. */
const firstRoundDelayMs = 5;

/** Time between two rounds of the same news. */
const roundIntervalMs = 100;

/** Rounds in which news is sent. */
const rumorRounds = 3;

/** Room for news in a datagram, beside its own fields. */
const newsBytes = maxDatagramBytes - 120;

/** Quiet time of the own table after which a difference is looked into. */
const quietBeforePullMs = 1_000;

/** Shortest time between two pulls. */
const pullIntervalMs = 1_000;

/** Shortest time between two corrections of the same member. */
const correctionIntervalMs = 500;

/** What the exchange needs from outside. */
export interface ExchangeHost {
  send(bytes: Uint8Array, to: Endpoint): void;
  /** Asks a member for the records of buckets that differ. */
  pullMembers(
    from: Member,
    bucketHashes: readonly number[],
  ): Promise<readonly Member[] | undefined>;
  readonly configuration: Pick<
    ConfigurationStore,
    | "getChecksum"
    | "getConfiguration"
    | "noteVersion"
    | "offerPatches"
    | "onPatch"
  >;
  readonly budget: ControlBudget;
  /** Called when another process has taken over the id. */
  onReplaced(by: Member): void;
  /** Counts what could not be read. */
  onGarbage(from: Endpoint): void;
}

/** Numbers that set how much is sent. */
export interface ExchangeOptions {
  readonly self: Member;
  readonly peersPerSecond: number;
  readonly wholeServiceRate: number;
  readonly membersPerSecond: number;
  readonly fanOut: number;
  /** How the mean load is worked out; see `createMean`. */
  readonly mean: Parameters<typeof createMean>[0];
  /** Random numbers from 0 up to 1. */
  readonly random: () => number;
}

/** The usual numbers. */
export const usualExchangeOptions = {
  peersPerSecond: 4,
  wholeServiceRate: 1,
  membersPerSecond: 1,
  fanOut: 3,
  mean: { windowMs: 2_000, peerMeanWeight: 0 },
} as const;

/** The exchange of one process. */
export interface Exchange {
  readonly membership: Membership;
  /** Takes the bytes of one datagram. */
  receive(bytes: Uint8Array, from: Endpoint): void;
  /** Takes records that were pulled. */
  mergeMembers(members: readonly Member[]): void;
  mergeVms(vms: readonly Vm[]): void;
  /** Asks whoever listens there to let this process join. */
  sayHello(to: Endpoint): void;
  noteContact(id: string, contact: "answered" | "failed"): void;
  setLoadSource(read: () => number): void;
  getMean(service: string): MeanEstimate;
  getCrashes(fingerprint: string): number;
  recordCrash(fingerprint: string): void;
  clearCrashes(fingerprint: string): void;
  getCrashRecords(): readonly CrashRecordNews[];
  spreadPatch(patch: Patch): void;
  announce(state: "leaving" | "dead"): void;
  start(): void;
  stop(): void;
}

type NewsBody =
  | { readonly kind: "member"; readonly member: Member }
  | { readonly kind: "crash"; readonly record: CrashRecordNews }
  | { readonly kind: "patch"; readonly text: string }
  /** Only the version in the datagram's own fields counts. */
  | { readonly kind: "version" };

/** Creates the exchange of a process. */
export function createExchange(
  host: ExchangeHost,
  options: ExchangeOptions,
): Exchange {
  const membership = createMembership(options.self);
  const crashes = createCrashRecords();
  const rumors = createRumorQueue<NewsBody>({
    rounds: rumorRounds,
    maxNews: 2_048,
  });
  const seenPatches = createSeenSet(1_024);
  const probes = createProbeSchedule({
    tickMs,
    peersPerSecond: options.peersPerSecond,
    wholeServiceRate: options.wholeServiceRate,
    membersPerSecond: options.membersPerSecond,
    deadPerSecond: 0.5,
    random: options.random,
  });
  const means = new Map<string, Mean>();
  const correctedAt = new Map<string, number>();
  let peersOfService: readonly Member[] = [];
  let peersFrom: readonly Member[] | undefined;
  let readLoad: () => number = () => 0;
  let changedAt = -Infinity;
  let pulledAt = -Infinity;
  let ticking: NodeJS.Timeout | undefined;
  let nextRound: NodeJS.Timeout | undefined;
  let stopped = false;
  host.configuration.onPatch(noteOwnPatch);

  return {
    membership,
    receive,
    mergeMembers,
    mergeVms: (vms) => membership.mergeVms(vms).forEach(spreadMember),
    sayHello,
    noteContact,
    setLoadSource: (read) => {
      readLoad = read;
    },
    getMean,
    getCrashes: crashes.getCrashes,
    recordCrash: (fingerprint) =>
      spreadCrash(crashes.recordCrash(fingerprint), maxHops),
    clearCrashes: (fingerprint) => {
      const news = crashes.clear(fingerprint);
      if (news !== undefined) spreadCrash(news, maxHops);
    },
    getCrashRecords: crashes.getAll,
    spreadPatch: noteOwnPatch,
    announce: (state) => spreadMember(membership.announce(state)),
    start,
    stop,
  };

  function start(): void {
    ticking ??= setInterval(tick, tickMs);
  }

  function stop(): void {
    stopped = true;
    clearInterval(ticking);
    clearTimeout(nextRound);
  }

  function tick(): void {
    membership.tick().forEach(spreadMember);
    const { orders, failed } = probes.tick({
      peers: getPeersOfService(),
      members: membership.getPeers(),
      dead: membership.getDead(),
    });
    orders.forEach(sendProbe);
    for (const id of failed) membership.suspect(id).forEach(spreadMember);
    if (correctedAt.size > 1_024) correctedAt.clear();
  }

  function getPeersOfService(): readonly Member[] {
    const { service } = membership.getSelf();
    if (service === "") return peersOfService;
    const peers = membership.getPeers();
    if (peersFrom === peers) return peersOfService;
    peersFrom = peers;
    peersOfService = peers.filter((peer) =>
      peer.service === service && peer.state !== "leaving"
    );
    return peersOfService;
  }

  function sendProbe({ member, sequence, purpose }: ProbeOrder): void {
    const sent = send(
      { $case: "probe", value: { sequence, load: getLoadReport() } },
      {
        to: getEndpoint(member),
        purpose,
        class: purpose === "loads" ? "load_probe" : "probe",
      },
    );
    if (!sent) probes.withdraw(sequence);
  }

  function getLoadReport(): LoadReport | undefined {
    const self = membership.getSelf();
    if (self.role !== "agent" || self.state !== "live") return undefined;
    return {
      service: self.service,
      load: Math.round(readLoad()),
      mean: Math.round(getMean(self.service).mean),
    };
  }

  function send(
    body: NonNullable<Datagram["body"]>,
    { to, purpose, class: kind }: {
      readonly to: Endpoint;
      readonly purpose: ControlPurpose;
      readonly class: ControlClass;
    },
  ): boolean {
    const self = membership.getSelf();
    const bytes = encodeDatagram({
      sender: self.id,
      senderIncarnation: self.incarnation,
      configurationVersion: host.configuration.getConfiguration().version,
      configurationChecksum: host.configuration.getChecksum(),
      membersHash: membership.table.getHash(),
      body,
    });
    const size = bytes.length + datagramHeaderBytes;
    if (!host.budget.trySpend(size, { purpose, class: kind })) return false;
    host.send(bytes, to);
    return true;
  }

  function receive(bytes: Uint8Array, from: Endpoint): void {
    if (stopped) return;
    const datagram = tryDecodeDatagram(bytes);
    const size = bytes.length + datagramHeaderBytes;
    if (datagram?.body === undefined) {
      host.budget.note(size, "membership", "received");
      host.onGarbage(from);
      return;
    }
    host.budget.note(size, getPurpose(datagram.body), "received");
    if (datagram.sender === membership.getSelf().id) return;
    handleBody(datagram.body, { sender: datagram.sender, from });
    checkSender(datagram, from);
  }

  function handleBody(
    body: NonNullable<Datagram["body"]>,
    { sender, from }: { readonly sender: string; readonly from: Endpoint },
  ): void {
    switch (body.$case) {
      case "probe":
        noteLoad(sender, body.value.load);
        send(
          {
            $case: "probeReply",
            value: { sequence: body.value.sequence, load: getLoadReport() },
          },
          {
            to: from,
            purpose: body.value.load === undefined ? "membership" : "loads",
            class: "reply",
          },
        );
        return;
      case "probeReply":
        noteLoad(sender, body.value.load);
        if (probes.noteReply(sender, body.value.sequence) !== undefined) {
          membership.confirm(sender);
        }
        return;
      case "rumor":
        handleRumor(body.value, { sender, from });
        return;
      case "limitRequest":
      case "limitGrant":
        return;
    }
  }

  function noteLoad(id: string, report: LoadReport | undefined): void {
    if (report === undefined || report.service === "") return;
    const member = membership.table.tryGet(id);
    if (member?.service !== report.service) return;
    if (member.state === "leaving" || member.state === "dead") return;
    getOrCreateMean(report.service).note(id, report);
  }

  function getOrCreateMean(service: string): Mean {
    let mean = means.get(service);
    if (mean === undefined) {
      mean = createMean(options.mean);
      means.set(service, mean);
    }
    return mean;
  }

  function getMean(service: string): MeanEstimate {
    const self = membership.getSelf();
    const isOwn = self.service === service && self.role === "agent";
    const targets = membership.countTargets(service);
    const ownLoad = isOwn ? readLoad() : undefined;
    const mean = means.get(service);
    if (mean !== undefined) return mean.get(targets, ownLoad);
    return { mean: ownLoad ?? 0, targets, ageMs: 0 };
  }

  function handleRumor(
    rumor: Rumor,
    { sender, from }: { readonly sender: string; readonly from: Endpoint },
  ): void {
    const hops = Math.min(rumor.hopsLeft, maxHops) - 1;
    for (const record of rumor.members) {
      const member = tryReadMember(record);
      if (member !== undefined) handleMember(member, { hops, from });
    }
    for (const record of rumor.crashes) {
      if (crashes.merge(record)) spreadCrash(record, hops);
    }
    handlePatches(rumor.patches, { sender, hops });
    if (hops < 0) return;
    // A member that brings its own record wants to know this one.
    if (!rumor.members.some(({ id }) => id === sender)) return;
    sendMembers([membership.getSelf()], { to: from, hopsLeft: 0 });
  }

  function handleMember(
    member: Member,
    { hops, from }: { readonly hops: number; readonly from: Endpoint },
  ): void {
    const result = membership.merge(member);
    switch (result) {
      case "known":
        return;
      case "changed":
        noteChanged(member);
        offerMember(member, hops);
        return;
      case "renewed_self":
        spreadMember(membership.getSelf());
        return;
      case "outdated_self":
        sayHello(from);
        return;
      case "replaced":
        stop();
        host.onReplaced(member);
        return;
    }
  }

  function handlePatches(
    texts: readonly string[],
    { sender, hops }: { readonly sender: string; readonly hops: number },
  ): void {
    const member = membership.table.tryGet(sender);
    if (member === undefined) return;
    const fresh = texts.filter((text) => spreadPatchText(text, hops));
    if (fresh.length > 0) host.configuration.offerPatches(fresh, member);
  }

  /** Passes a patch on; false when it was seen before or is not one. */
  function spreadPatchText(text: string, hopsLeft: number): boolean {
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

  /** Passes on a patch that reached this process by another way. */
  function noteOwnPatch(patch: Patch): void {
    spreadPatchText(JSON.stringify(patch), maxHops);
  }

  function mergeMembers(members: readonly Member[]): void {
    for (const member of members) {
      const result = membership.merge(member);
      if (result === "changed") noteChanged(member);
      if (result === "renewed_self") spreadMember(membership.getSelf());
    }
  }

  function spreadMember(member: Member): void {
    noteChanged(member);
    offerMember(member, maxHops);
  }

  function noteChanged(member: Member): void {
    changedAt = performance.now();
    if (member.state === "live" || member.state === "suspect") return;
    means.get(member.service)?.forget(member.id);
  }

  function offerMember(member: Member, hopsLeft: number): void {
    offer({
      key: `member/${member.id}`,
      body: { kind: "member", member },
      urgency: member.state === "leaving" ? "leaving" : "member",
      bytes: getMemberBytes(member),
      hopsLeft,
    });
  }

  function spreadCrash(record: CrashRecordNews, hopsLeft: number): void {
    offer({
      key: `crash/${record.fingerprint}`,
      body: { kind: "crash", record },
      urgency: "crash",
      bytes: Buffer.byteLength(record.fingerprint) + 16,
      hopsLeft,
    });
  }

  function offer(news: News<NewsBody>): void {
    rumors.offer(news);
    if (stopped || nextRound !== undefined) return;
    nextRound = setTimeout(runRound, firstRoundDelayMs);
  }

  function runRound(): void {
    nextRound = undefined;
    const news = rumors.takeRound(newsBytes);
    if (news.length > 0) {
      for (const peer of choosePeers(options.fanOut)) sendNews(news, peer);
    }
    if (rumors.getSize() === 0) return;
    const wait = rumors.hasFresh() ? firstRoundDelayMs : roundIntervalMs;
    nextRound = setTimeout(runRound, wait);
  }

  function choosePeers(count: number): readonly Member[] {
    const peers = membership.getPeers();
    if (peers.length <= count) return peers;
    const chosen = new Set<Member>();
    while (chosen.size < count) {
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
    const isUrgent = news.some(({ urgency }) =>
      urgency === "leaving" || urgency === "patch"
    );
    send({ $case: "rumor", value: rumor }, {
      to: getEndpoint(to),
      purpose: getRumorPurpose(rumor),
      class: isUrgent
        ? "urgent"
        : news[0]?.urgency === "crash"
        ? "crash"
        : "member",
    });
  }

  function sendMembers(
    members: readonly Member[],
    { to, hopsLeft }: { readonly to: Endpoint; readonly hopsLeft: number },
  ): void {
    const rumor = { members: [...members], crashes: [], patches: [], hopsLeft };
    send({ $case: "rumor", value: rumor }, {
      to,
      purpose: "membership",
      class: "member",
    });
  }

  function sayHello(to: Endpoint): void {
    sendMembers([membership.getSelf()], { to, hopsLeft: maxHops });
  }

  function checkSender(datagram: Datagram, from: Endpoint): void {
    const held = membership.table.tryGet(datagram.sender);
    const isCurrent = held !== undefined &&
      held.incarnation === datagram.senderIncarnation;
    if (!isCurrent || held.state === "suspect" || held.state === "dead") {
      correct(datagram, { held, from });
      return;
    }
    host.configuration.noteVersion(
      datagram.configurationVersion,
      datagram.configurationChecksum,
      held,
    );
    if (datagram.membersHash !== membership.table.getHash()) considerPull(held);
  }

  /** Tells a member what is believed of it, so that it can refute. */
  function correct(
    datagram: Datagram,
    { held, from }: {
      readonly held: Member | undefined;
      readonly from: Endpoint;
    },
  ): void {
    const now = performance.now();
    const last = correctedAt.get(datagram.sender) ?? -Infinity;
    if (now - last < correctionIntervalMs) return;
    correctedAt.set(datagram.sender, now);
    const known = held ?? createStub(datagram.sender, from);
    sendMembers([known], { to: from, hopsLeft: 0 });
  }

  function considerPull(from: Member): void {
    const now = performance.now();
    if (now - pulledAt < pullIntervalMs) return;
    const isNew = membership.table.getAll().length <= 2;
    if (!isNew && now - changedAt < quietBeforePullMs) return;
    pulledAt = now;
    pull(from);
  }

  function pull(from: Member): void {
    const hashes = membership.table.getBucketHashes();
    void host.pullMembers(from, hashes).then((members) => {
      if (members !== undefined && !stopped) mergeMembers(members);
    });
  }

  function noteContact(id: string, contact: "answered" | "failed"): void {
    const member = membership.table.tryGet(id);
    if (member === undefined || member.state === "dead") return;
    if (contact === "answered") membership.confirm(id);
    else sendProbe(probes.probeNow(member));
  }
}

function getEndpoint(member: Member): Endpoint {
  return { address: member.address, port: member.gossipPort };
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

/** A record so old that any member answers it with its own. */
function createStub(id: string, from: Endpoint): Member {
  return {
    id,
    role: "router",
    address: from.address,
    grpcPort: 0,
    gossipPort: from.port,
    zone: "",
    region: "",
    vm: "",
    service: "",
    incarnation: 0,
    version: 0,
    state: "dead",
    weight: 0,
  };
}

function getPurpose(body: NonNullable<Datagram["body"]>): ControlPurpose {
  switch (body.$case) {
    case "probe":
    case "probeReply":
      return body.value.load === undefined ? "membership" : "loads";
    case "rumor":
      return getRumorPurpose(body.value);
    case "limitRequest":
    case "limitGrant":
      return "limits";
  }
}

function getRumorPurpose(rumor: Rumor): ControlPurpose {
  if (rumor.members.length > 0) return "membership";
  return rumor.crashes.length > 0 ? "crashes" : "configuration";
}
