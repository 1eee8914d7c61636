/**
 * Decides which members to probe at each tick, and which failed to respond.
 * All peers are probed in small services. In large ones the number of probes
 * is fixed, so that a process's traffic does not grow with its service.
 */

import type { Member } from "../../types/member.ts";

/** Time without a reply after which a probe is sent again. */
export const probeTimeoutMs = 500;

/** Number of unanswered probes in a row that makes a member a suspect. */
export const maxUnansweredProbes = 4;

/** Number of peers below which all of a service's peers are probed. */
const smallServicePeers = 16;

/** One probe to send. */
export interface ProbeRequest {
  readonly member: Member;
  readonly sequence: number;
  /** Load probes are dropped first when the control budget is low. */
  readonly purpose: "membership" | "loads";
}

/** The probes that a tick sends and the failures that it finds. */
export interface ProbeDecision {
  readonly probes: readonly ProbeRequest[];
  /** Ids of members that left all their probes unanswered. */
  readonly failed: readonly string[];
}

/** The probe schedule of one process. */
export interface ProbeSchedule {
  tick(candidates: ProbeCandidates): ProbeDecision;
  /** Records a reply; returns the round trip in ms, `undefined` if late. */
  recordReply(id: string, sequence: number): number | undefined;
  /** Removes a probe that was not sent. */
  cancelProbe(sequence: number): void;
  /** Starts a probe of a member after a failed direct call to it. */
  probeNow(member: Member): ProbeRequest;
}

/** Members that the schedule may choose from. */
export interface ProbeCandidates {
  /** Peers of the same service. */
  readonly peers: readonly Member[];
  /** All members that are not dead. */
  readonly members: readonly Member[];
  /** Dead members, which are probed at a low rate. */
  readonly dead: readonly Member[];
}

interface OutstandingProbe {
  readonly member: Member;
  readonly purpose: ProbeRequest["purpose"];
  readonly sentAt: number;
  readonly sendCount: number;
  /** False for dead members, whose unanswered probes are ignored. */
  readonly detectsFailure: boolean;
}

/** Creates a schedule whose `tick` is called every `tickMs`. */
export function createProbeSchedule(options: {
  readonly tickMs: number;
  /** Peers of the same service probed per second, in a large service. */
  readonly peersPerSecond: number;
  /** Times per second that all peers are probed, in a small service. */
  readonly smallServiceCyclesPerSecond: number;
  /** Members of any role and service probed per second. */
  readonly membersPerSecond: number;
  /** Dead members probed per second. */
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
      probes.push(send(member, { purpose: "loads", detectsFailure: true }));
    }
    const memberProbesPerTick = getProbesPerTick(options.membersPerSecond);
    for (const member of memberRotation.take(members, memberProbesPerTick)) {
      probes.push(
        send(member, { purpose: "membership", detectsFailure: true }),
      );
    }
    const deadProbesPerTick = getProbesPerTick(options.deadPerSecond);
    for (const member of deadRotation.take(dead, deadProbesPerTick)) {
      probes.push(
        send(member, { purpose: "membership", detectsFailure: false }),
      );
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
      if (!probe.detectsFailure) continue;
      if (probe.sendCount >= maxUnansweredProbes) failed.push(probe.member.id);
      else probes.push(send(probe.member, probe, probe.sendCount + 1));
    }
    return { probes, failed };
  }

  function send(
    member: Member,
    kind: Pick<OutstandingProbe, "purpose" | "detectsFailure">,
    sendCount = 1,
  ): ProbeRequest {
    sequence = (sequence + 1) >>> 0;
    const { purpose, detectsFailure } = kind;
    const sentAt = performance.now();
    outstanding.set(sequence, {
      member,
      purpose,
      detectsFailure,
      sentAt,
      sendCount,
    });
    // A repeated probe decides whether the member is suspected, so it is not
    // sent as a load probe, which would be dropped first.
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
    return send(member, { purpose: "membership", detectsFailure: true }, 2);
  }
}

/** Creates a rotation in random order, shuffled again after each cycle. */
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
    const current = order[index];
    const swapped = order[other];
    if (current === undefined || swapped === undefined) continue;
    order[index] = swapped;
    order[other] = current;
  }
  return order;
}
