/** Decides whom to probe when, and who failed to answer. */

import type { Member } from "../../types/member.ts";

/** Wait for a reply before the probe is sent again. */
export const probeTimeoutMs = 500;

/** Probes in a row that stay unanswered before a member is suspected. */
export const maxUnansweredProbes = 4;

/** Services with fewer peers than this are probed whole. */
const smallServicePeers = 16;

/** One probe to send. */
export interface ProbeRequest {
  readonly member: Member;
  readonly sequence: number;
  /** A load probe may be left out when bytes are short. */
  readonly purpose: "membership" | "loads";
}

/** What a tick decides. */
export interface ProbeDecision {
  readonly probes: readonly ProbeRequest[];
  /** Ids of members that never answered. */
  readonly failed: readonly string[];
}

/** Plans probes. */
export interface ProbeSchedule {
  tick(candidates: ProbeCandidates): ProbeDecision;
  /** Records a reply; returns the round trip, `undefined` for a late one. */
  recordReply(id: string, sequence: number): number | undefined;
  /** Takes back a probe that was not sent. */
  cancelProbe(sequence: number): void;
  /** Starts the wait for an answer of a member that failed a direct call. */
  probeNow(member: Member): ProbeRequest;
}

/** Whom the schedule may choose from. */
export interface ProbeCandidates {
  /** Peers of the own service. */
  readonly peers: readonly Member[];
  /** All members that are not dead. */
  readonly members: readonly Member[];
  /** Members believed dead, asked now and then. */
  readonly dead: readonly Member[];
}

interface OutstandingProbe {
  readonly member: Member;
  readonly purpose: ProbeRequest["purpose"];
  readonly sentAt: number;
  readonly sendCount: number;
  /** False for members believed dead, whose silence says nothing. */
  readonly counts: boolean;
}

/** Creates a schedule that is ticked every `tickMs`. */
export function createProbeSchedule(options: {
  readonly tickMs: number;
  /** Peers of the own service probed a second when there are many. */
  readonly peersPerSecond: number;
  /** Turns a second through all peers when there are few. */
  readonly smallServiceCyclesPerSecond: number;
  /** Members of any kind probed a second. */
  readonly membersPerSecond: number;
  /** Members believed dead that are probed a second. */
  readonly deadPerSecond: number;
  readonly random: () => number;
}): ProbeSchedule {
  const outstanding = new Map<number, OutstandingProbe>();
  const peerRotation = createRotation(options.random);
  const memberRotation = createRotation(options.random);
  const deadRotation = createRotation(options.random);
  let sequence = 0;

  return { tick, recordReply, cancelProbe, probeNow };

  function tick(candidates: ProbeCandidates): ProbeDecision {
    const { probes, failed } = checkOutstanding();
    const { peers, members, dead } = candidates;
    const perSecond = peers.length < smallServicePeers
      ? peers.length * options.smallServiceCyclesPerSecond
      : options.peersPerSecond;
    for (
      const member of peerRotation.take(peers, getProbesPerTick(perSecond))
    ) {
      probes.push(send(member, { purpose: "loads", counts: true }));
    }
    const memberProbesPerTick = getProbesPerTick(options.membersPerSecond);
    for (const member of memberRotation.take(members, memberProbesPerTick)) {
      probes.push(send(member, { purpose: "membership", counts: true }));
    }
    const deadProbesPerTick = getProbesPerTick(options.deadPerSecond);
    for (const member of deadRotation.take(dead, deadProbesPerTick)) {
      probes.push(send(member, { purpose: "membership", counts: false }));
    }
    return { probes, failed };
  }

  function getProbesPerTick(perSecond: number): number {
    return perSecond * options.tickMs / 1_000;
  }

  function checkOutstanding(): { probes: ProbeRequest[]; failed: string[] } {
    const now = performance.now();
    const probes: ProbeRequest[] = [];
    const failed: string[] = [];
    for (const [number, probe] of outstanding) {
      if (now - probe.sentAt < probeTimeoutMs) continue;
      outstanding.delete(number);
      if (!probe.counts) continue;
      if (probe.sendCount >= maxUnansweredProbes) failed.push(probe.member.id);
      else probes.push(send(probe.member, probe, probe.sendCount + 1));
    }
    return { probes, failed };
  }

  function send(
    member: Member,
    kind: Pick<OutstandingProbe, "purpose" | "counts">,
    sendCount = 1,
  ): ProbeRequest {
    sequence = (sequence + 1) >>> 0;
    const { purpose, counts } = kind;
    const sentAt = performance.now();
    outstanding.set(sequence, {
      member,
      purpose,
      counts,
      sentAt,
      sendCount,
    });
    // A repeated probe decides on life and death.
    return {
      member,
      sequence,
      purpose: sendCount > 1 ? "membership" : purpose,
    };
  }

  function recordReply(id: string, number: number): number | undefined {
    const probe = outstanding.get(number);
    if (probe === undefined || probe.member.id !== id) return undefined;
    outstanding.delete(number);
    return performance.now() - probe.sentAt;
  }

  function cancelProbe(number: number): void {
    outstanding.delete(number);
  }

  function probeNow(member: Member): ProbeRequest {
    return send(member, { purpose: "membership", counts: true }, 2);
  }
}

/** Takes members in a random order that is renewed after each full turn. */
function createRotation(random: () => number): {
  take(members: readonly Member[], probesPerTick: number): readonly Member[];
} {
  let order: Member[] = [];
  let source: readonly Member[] | undefined;
  let credit = random();

  return { take };

  function take(
    members: readonly Member[],
    probesPerTick: number,
  ): readonly Member[] {
    credit = Math.min(credit + probesPerTick, Math.max(1, members.length));
    const taken: Member[] = [];
    while (credit >= 1 && members.length > 0) {
      credit--;
      const next = takeNext(members);
      if (next !== undefined) taken.push(next);
    }
    return taken;
  }

  function takeNext(members: readonly Member[]): Member | undefined {
    if (order.length === 0) order = shuffle(members, random);
    if (source !== members) {
      const current = new Map(members.map((member) => [member.id, member]));
      order = order.flatMap(({ id }) => current.get(id) ?? []);
      if (order.length === 0) order = shuffle(members, random);
      source = members;
    }
    return order.pop();
  }
}

function shuffle(members: readonly Member[], random: () => number): Member[] {
  const order = [...members];
  for (let index = order.length - 1; index > 0; index--) {
    const other = Math.floor(random() * (index + 1));
    const held = order[index];
    const swapped = order[other];
    if (held === undefined || swapped === undefined) continue;
    order[index] = swapped;
    order[other] = held;
  }
  return order;
}
