/**
 * Exchanges control messages with the rest of the fleet: handles datagrams and
 * ticks, and sends datagrams through its host. It opens no sockets.
 */

import type {
  Datagram,
  Probe,
  Rumor,
} from "../../generated/mimosatray/v1/control.ts";
import type { Patch } from "../../types/configuration.ts";
import type { Member } from "../../types/member.ts";
import type { Vm } from "../../types/platform.ts";
import type { ConfigurationStore } from "../../types/role.ts";
import type { LimitDecision, MeanLoadEstimate } from "../../types/view.ts";
import { type ControlBudget, datagramHeaderBytes } from "./control_budget.ts";
import {
  createControlSender,
  type DatagramBody,
  type Endpoint,
  getEndpoint,
  getPurpose,
} from "./control_sender.ts";
import {
  type CrashRecordUpdate,
  createCrashRecords,
} from "../attempts/crash_records.ts";
import { tryDecodeDatagram, tryParseMember } from "./datagram_codec.ts";
import type { ExchangeOptions } from "./exchange_options.ts";
import { createFleetLimits, type FleetLimits } from "../limits/fleet_limits.ts";
import { createLoadReports } from "../admission/load_reports.ts";
import { createMembership, type Membership } from "./membership.ts";
import { createRumorSpreader, maxHops } from "./rumor_spreader.ts";
import { createTableSync } from "./table_sync.ts";
import { createProbeSchedule, type ProbeRequest } from "./probe_schedule.ts";

export type { Endpoint } from "./control_sender.ts";

/** Interval between two ticks. */
export const tickMs = 250;

/** What the exchange needs from its environment. */
export interface ExchangeHost {
  send(bytes: Uint8Array, to: Endpoint): void;
  /** Pulls the records of buckets whose hashes differ from a member. */
  pullMembers(
    from: Member,
    bucketHashes: readonly number[],
  ): Promise<readonly Member[] | undefined>;
  readonly configuration: Pick<
    ConfigurationStore,
    | "getChecksum"
    | "getConfiguration"
    | "handleVersion"
    | "offerPatches"
    | "onPatch"
  >;
  readonly budget: ControlBudget;
  /** Called when another process runs under the id of this process. */
  onReplaced(by: Member): void;
  /** Called for a datagram that cannot be decoded. */
  onMalformedDatagram(from: Endpoint): void;
}

/** The exchange of one process with the fleet. */
export interface Exchange {
  readonly membership: Membership;
  readonly limits: FleetLimits;
  /** Handles a received datagram. */
  receive(bytes: Uint8Array, from: Endpoint): void;
  /** Merges pulled records; returns true when the table changed. */
  mergeMembers(members: readonly Member[]): boolean;
  /** Returns true when the last sender's table hash equals the local one. */
  isInSync(): boolean;
  mergeVms(vms: readonly Vm[]): void;
  /** Sends the record of this process to join a fleet or to correct a table. */
  announceTo(to: Endpoint): void;
  recordContact(id: string, contact: "answered" | "failed"): void;
  setLoadSource(read: () => number): void;
  getMean(service: string): MeanLoadEstimate;
  getCrashes(fingerprint: string): number;
  recordCrash(fingerprint: string): void;
  clearCrashes(fingerprint: string): void;
  getCrashRecords(): readonly CrashRecordUpdate[];
  acquire(workspace: string): Promise<LimitDecision>;
  spreadPatch(patch: Patch): void;
  announce(state: "leaving" | "dead"): void;
  start(): void;
  stop(): void;
}

/** Creates the exchange of a process, which is not started yet. */
export function createExchange(
  host: ExchangeHost,
  options: ExchangeOptions,
): Exchange {
  const { random } = options;
  const membership = createMembership(options.self);
  const crashes = createCrashRecords();
  const loads = createLoadReports(membership, options.mean);
  const send = createControlSender({
    send: host.send,
    budget: host.budget,
    getSelf: membership.getSelf,
    getMembersHash: membership.table.getHash,
    getConfigurationVersion: () =>
      host.configuration.getConfiguration().version,
    getConfigurationChecksum: host.configuration.getChecksum,
  });
  const rumors = createRumorSpreader(
    { send, getPeers: membership.getPeers },
    { fanOut: options.fanOut, random },
  );
  const limits = createFleetLimits(
    { membership, send, configuration: host.configuration },
    { random },
  );
  const probeSchedule = createProbeSchedule({
    tickMs,
    peersPerSecond: options.peersPerSecond,
    smallServiceCyclesPerSecond: options.smallServiceCyclesPerSecond,
    membersPerSecond: options.membersPerSecond,
    deadPerSecond: options.deadPerSecond,
    random,
  });
  const sync = createTableSync({
    table: membership.table,
    correct: (heldRecord, to) => sendMember(heldRecord, { to, hopsLeft: 0 }),
    pullMembers: host.pullMembers,
    mergeMembers,
  });
  let servicePeers: readonly Member[] = [];
  let servicePeersSource: readonly Member[] | undefined;
  let tickTimer: NodeJS.Timeout | undefined;
  let stopped = false;
  host.configuration.onPatch(spreadPatch);

  return {
    membership,
    limits,
    receive,
    mergeMembers,
    isInSync: sync.isInSync,
    mergeVms: (vms) => membership.mergeVms(vms).forEach(spreadMember),
    announceTo,
    recordContact,
    setLoadSource: loads.setLoadSource,
    getMean: loads.getMean,
    getCrashes: crashes.getCrashes,
    recordCrash: (fingerprint) =>
      rumors.spreadCrash(crashes.recordCrash(fingerprint), maxHops),
    clearCrashes,
    getCrashRecords: crashes.getAll,
    acquire: limits.acquire,
    spreadPatch,
    announce: (state) => spreadMember(membership.announce(state)),
    start,
    stop,
  };

  function start(): void {
    if (stopped) return;
    tickTimer ??= setInterval(tick, tickMs);
  }

  function stop(): void {
    stopped = true;
    clearInterval(tickTimer);
    rumors.stop();
  }

  function tick(): void {
    membership.tick().forEach(spreadMember);
    const { probes: dueProbes, failed } = probeSchedule.tick({
      peers: getServicePeers(),
      members: membership.getPeers(),
      dead: membership.getDeadMembers(),
    });
    dueProbes.forEach(sendProbe);
    for (const id of failed) membership.suspect(id).forEach(spreadMember);
    limits.dropIdle();
  }

  function getServicePeers(): readonly Member[] {
    const { service } = membership.getSelf();
    const peers = membership.getPeers();
    if (service === "" || servicePeersSource === peers) return servicePeers;
    servicePeersSource = peers;
    servicePeers = peers.filter((peer) =>
      peer.service === service && peer.state !== "leaving"
    );
    return servicePeers;
  }

  function sendProbe({ member, sequence, purpose }: ProbeRequest): void {
    const load = loads.tryGetOwnReport();
    const sent = send({ $case: "probe", value: { sequence, load } }, {
      to: getEndpoint(member),
      purpose,
      class: purpose === "loads" ? "load_probe" : "probe",
    });
    if (!sent) probeSchedule.cancelProbe(sequence);
  }

  function receive(bytes: Uint8Array, from: Endpoint): void {
    if (stopped) return;
    const datagram = tryDecodeDatagram(bytes);
    const size = bytes.length + datagramHeaderBytes;
    if (datagram?.body === undefined) {
      host.budget.recordTraffic(size, "membership", "received");
      host.onMalformedDatagram(from);
      return;
    }
    host.budget.recordTraffic(size, getPurpose(datagram.body), "received");
    if (datagram.sender === membership.getSelf().id) return;
    handleBody(datagram.body, { sender: datagram.sender, from });
    checkSender(datagram, from);
  }

  function handleBody(
    body: DatagramBody,
    { sender, from }: { readonly sender: string; readonly from: Endpoint },
  ): void {
    switch (body.$case) {
      case "probe":
        loads.recordReport(sender, body.value.load);
        replyToProbe(body.value, from);
        return;
      case "probeReply":
        loads.recordReport(sender, body.value.load);
        if (
          probeSchedule.recordReply(sender, body.value.sequence) !== undefined
        ) {
          membership.recordResponse(sender);
        }
        return;
      case "rumor":
        handleRumor(body.value, { sender, from });
        return;
      case "limitRequest":
        limits.handleRequest(body.value, { sender, from });
        return;
      case "limitGrant":
        limits.handleGrant(body.value);
        return;
    }
  }

  function replyToProbe(probe: Probe, to: Endpoint): void {
    const { sequence } = probe;
    const load = loads.tryGetOwnReport();
    send({ $case: "probeReply", value: { sequence, load } }, {
      to,
      purpose: probe.load === undefined ? "membership" : "loads",
      class: "reply",
    });
  }

  function handleRumor(
    rumor: Rumor,
    { sender, from }: { readonly sender: string; readonly from: Endpoint },
  ): void {
    const hops = Math.min(rumor.hopsLeft, maxHops) - 1;
    for (const record of rumor.members) {
      const member = tryParseMember(record);
      if (member !== undefined) handleMember(member, { hops, from });
    }
    for (const record of rumor.crashes) {
      if (crashes.merge(record)) rumors.spreadCrash(record, hops);
    }
    handlePatches(rumor.patches, { sender, hops });
    if (hops < 0) return;
    // A member that sends its own record asks for the one of this process.
    if (!rumor.members.some(({ id }) => id === sender)) return;
    sendMember(membership.getSelf(), { to: from, hopsLeft: 0 });
  }

  function handleMember(
    member: Member,
    { hops, from }: { readonly hops: number; readonly from: Endpoint },
  ): void {
    switch (membership.merge(member)) {
      case "known":
        return;
      case "changed":
        handleChange(member);
        rumors.spreadMember(member, hops);
        return;
      case "renewed_self":
        spreadMember(membership.getSelf());
        return;
      case "outdated_self":
        announceTo(from);
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
    const unseen = texts.filter((text) => rumors.spreadPatch(text, hops));
    if (unseen.length > 0) host.configuration.offerPatches(unseen, member);
  }

  /** Spreads a patch that this process did not receive by gossip. */
  function spreadPatch(patch: Patch): void {
    rumors.spreadPatch(JSON.stringify(patch), maxHops);
  }

  function clearCrashes(fingerprint: string): void {
    const cleared = crashes.clear(fingerprint);
    if (cleared !== undefined) rumors.spreadCrash(cleared, maxHops);
  }

  function mergeMembers(members: readonly Member[]): boolean {
    if (stopped) return false;
    let hasChanged = false;
    for (const member of members) {
      const result = membership.merge(member);
      if (result === "renewed_self") spreadMember(membership.getSelf());
      if (result !== "changed") continue;
      handleChange(member);
      hasChanged = true;
    }
    return hasChanged;
  }

  function spreadMember(member: Member): void {
    handleChange(member);
    rumors.spreadMember(member, maxHops);
  }

  function handleChange(member: Member): void {
    sync.recordChange();
    if (member.state === "live" || member.state === "suspect") return;
    loads.removeReport(member);
  }

  function sendMember(
    member: Member,
    { to, hopsLeft }: { readonly to: Endpoint; readonly hopsLeft: number },
  ): void {
    const members = [member];
    const rumor = { members, crashes: [], patches: [], hopsLeft };
    send({ $case: "rumor", value: rumor }, {
      to,
      purpose: "membership",
      class: "member",
    });
  }

  function announceTo(to: Endpoint): void {
    sendMember(membership.getSelf(), { to, hopsLeft: maxHops });
  }

  function checkSender(datagram: Datagram, from: Endpoint): void {
    const sender = sync.checkSender(datagram, from);
    if (sender === undefined) return;
    host.configuration.handleVersion(
      datagram.configurationVersion,
      datagram.configurationChecksum,
      sender,
    );
  }

  function recordContact(id: string, contact: "answered" | "failed"): void {
    const member = membership.table.tryGet(id);
    if (member === undefined || member.state === "dead") return;
    if (contact === "answered") membership.recordResponse(id);
    else sendProbe(probeSchedule.probeNow(member));
  }
}
