/**
 * Decides the state of every member, this process included, from gossiped
 * records, probe results and the platform's VM list.
 */

import type { Member, MemberState } from "../../types/member.ts";
import type { Vm } from "../../types/platform.ts";
import { compareMembers } from "./member_order.ts";
import { createMemberTable, type MemberTable } from "./member_table.ts";

/** Time that a suspect has to refute the suspicion before it is dead. */
export const suspicionTimeoutMs = 3_000;

/** Time that a dead record is kept, so that a stale rumor cannot revive it. */
export const deadRetentionMs = 2 * 3_600_000;

/** Maximum delay of the platform's VM list behind the state of the VMs. */
export const maxListLagMs = 60_000;

/** The effect of a received record on the table. */
export type MergeResult =
  /** The table holds this record or a newer one. */
  | "known"
  /** The table changed; the record must be propagated. */
  | "changed"
  /** This process renewed its own record; it must be propagated. */
  | "renewed_self"
  /** The record describes this process but is older than its own record. */
  | "outdated_self"
  /** Another process runs under the id of this process. */
  | "replaced";

/**
 * The member records and the rules that change them. Records that a method
 * returns as updates must be propagated.
 */
export interface Membership {
  readonly table: MemberTable;
  getSelf(): Member;
  /** Merges a record received from another member. */
  merge(member: Member): MergeResult;
  /** Sets the state in the record of this process; returns the new record. */
  announce(state: MemberState): Member;
  /** Records that a member did not respond; returns updates. */
  suspect(id: string): readonly Member[];
  /** Records that a member responded to a direct message. */
  recordResponse(id: string): void;
  /** Merges the platform's VM list; returns updates. */
  mergeVms(vms: readonly Vm[]): readonly Member[];
  /**
   * Marks members dead that did not respond or refute within the suspicion
   * timeout, and removes old dead records; returns updates.
   */
  tick(): readonly Member[];
  /** Returns all members that are not dead, without this process. */
  getPeers(): readonly Member[];
  /** Returns the dead members, which are still probed at a low rate. */
  getDeadMembers(): readonly Member[];
  /** Counts live and suspect agents of a service, this process included. */
  countTargets(service: string): number;
}

/** Creates the membership of a process from its initial record. */
export function createMembership(initialSelf: Member): Membership {
  const table = createMemberTable();
  /** Time at which a member stopped responding, by id, in monotonic ms. */
  const unansweredSince = new Map<string, number>();
  const deadSince = new Map<string, number>();
  /** Time at which a rejoin replaced a leaving or dead incarnation, by id. */
  const rejoinedAt = new Map<string, number>();
  /** Incarnations that a leaving VM's list entry refers to, by VM. */
  const leavingIncarnationsByVm = new Map<
    string,
    ReadonlyMap<string, number>
  >();
  let self = initialSelf;
  let peers: readonly Member[] | undefined;
  let deadMembers: readonly Member[] | undefined;
  const targetCounts = new Map<string, number>();
  table.put(self);

  return {
    table,
    getSelf: () => self,
    merge,
    announce,
    suspect,
    recordResponse,
    mergeVms,
    tick,
    getPeers,
    getDeadMembers,
    countTargets,
  };

  function merge(member: Member): MergeResult {
    if (member.id === self.id) return mergeSelf(member);
    return accept(member) ? "changed" : "known";
  }

  function mergeSelf(member: Member): MergeResult {
    const order = compareMembers(member, self);
    if (order < 0) return "outdated_self";
    if (order === 0) return "known";
    if (member.incarnation > self.incarnation) {
      if (!isSameEndpoint(member, self)) return "replaced";
      // The clock was set back between two starts. Only this process can own
      // the endpoint, so the record describes an earlier start.
      replaceSelf({ ...self, incarnation: member.incarnation + 1 });
      return "renewed_self";
    }
    if (member.state === "leaving" && self.state === "live") {
      // Other members read the platform's VM list before this process.
      replaceSelf({ ...self, state: "leaving", version: member.version + 1 });
      return "renewed_self";
    }
    replaceSelf({ ...self, version: member.version + 1 });
    return "renewed_self";
  }

  function announce(state: MemberState): Member {
    replaceSelf({ ...self, state, version: self.version + 1 });
    return self;
  }

  function replaceSelf(member: Member): void {
    self = member;
    table.put(self);
    clearDerived();
  }

  /** Stores a record of another member when it is newer than the held one. */
  function accept(member: Member): boolean {
    const known = table.tryGet(member.id);
    if (!table.put(member)) return false;
    clearDerived();
    recordRejoin(known, member);
    if (member.state === "dead") {
      unansweredSince.delete(member.id);
      deadSince.set(member.id, performance.now());
      return true;
    }
    deadSince.delete(member.id);
    if (member.state !== "suspect") unansweredSince.delete(member.id);
    else if (!unansweredSince.has(member.id)) {
      unansweredSince.set(member.id, performance.now());
    }
    return true;
  }

  function recordRejoin(known: Member | undefined, member: Member): void {
    if (known === undefined || known.incarnation >= member.incarnation) return;
    unansweredSince.delete(member.id);
    if (known.state === "leaving" || known.state === "dead") {
      rejoinedAt.set(member.id, performance.now());
    }
  }

  function suspect(id: string): readonly Member[] {
    const known = table.tryGet(id);
    if (known === undefined || id === self.id) return [];
    if (known.state === "dead") return [];
    if (!unansweredSince.has(id)) unansweredSince.set(id, performance.now());
    if (known.state !== "live") return [];
    return acceptAll([{ ...known, state: "suspect" }]);
  }

  function recordResponse(id: string): void {
    // A suspect must refute the suspicion by a newer record. Of a leaving
    // member, which is never marked suspect, a response cancels the timeout.
    if (table.tryGet(id)?.state !== "suspect") unansweredSince.delete(id);
  }

  function mergeVms(vms: readonly Vm[]): readonly Member[] {
    const leavingVms = new Set<string>();
    const updates: Member[] = [];
    for (const vm of vms) {
      if (vm.state === "leaving") leavingVms.add(vm.id);
    }
    for (const vm of leavingIncarnationsByVm.keys()) {
      if (!leavingVms.has(vm)) leavingIncarnationsByVm.delete(vm);
    }
    if (leavingVms.size === 0) return updates;
    const members = groupByVm(leavingVms);
    for (const vm of leavingVms) {
      updates.push(...mergeLeavingVm(vm, members.get(vm) ?? []));
    }
    return acceptAll(updates);
  }

  /**
   * Marks the members of a leaving VM. The list entry refers to the
   * incarnations known when it first appeared; a member that rejoined after
   * that, or shortly before, is unaffected.
   */
  function mergeLeavingVm(vm: string, members: readonly Member[]): Member[] {
    let listedIncarnations = leavingIncarnationsByVm.get(vm);
    if (listedIncarnations === undefined) {
      listedIncarnations = new Map(
        members
          .filter(({ id }) => !hasRecentlyRejoined(id))
          .map(({ id, incarnation }) => [id, incarnation]),
      );
      leavingIncarnationsByVm.set(vm, listedIncarnations);
    }
    return members
      .filter(({ id, incarnation }) =>
        listedIncarnations.get(id) === incarnation
      )
      .filter(({ state }) => state === "live" || state === "suspect")
      .map((member) => ({ ...member, state: "leaving" }));
  }

  function hasRecentlyRejoined(id: string): boolean {
    const at = rejoinedAt.get(id);
    return at !== undefined && performance.now() - at < maxListLagMs;
  }

  function groupByVm(vms: ReadonlySet<string>): Map<string, Member[]> {
    const groups = new Map<string, Member[]>();
    for (const member of table.getAll()) {
      if (!vms.has(member.vm)) continue;
      const group = groups.get(member.vm) ?? [];
      group.push(member);
      groups.set(member.vm, group);
    }
    return groups;
  }

  function tick(): readonly Member[] {
    const now = performance.now();
    const updates: Member[] = [];
    for (const [id, since] of unansweredSince) {
      if (now - since < suspicionTimeoutMs) continue;
      unansweredSince.delete(id);
      const known = table.tryGet(id);
      if (known !== undefined) updates.push({ ...known, state: "dead" });
    }
    for (const [id, since] of deadSince) {
      if (now - since < deadRetentionMs) continue;
      deadSince.delete(id);
      table.remove(id);
      clearDerived();
    }
    for (const [id, at] of rejoinedAt) {
      if (now - at >= maxListLagMs) rejoinedAt.delete(id);
    }
    return acceptAll(updates);
  }

  function acceptAll(members: readonly Member[]): readonly Member[] {
    return members.filter((member) => {
      if (member.id !== self.id) return accept(member);
      replaceSelf({ ...self, state: member.state, version: self.version + 1 });
      return true;
    }).map((member) => table.tryGet(member.id) ?? member);
  }

  function getPeers(): readonly Member[] {
    peers ??= table.getAll().filter(({ id, state }) =>
      id !== self.id && state !== "dead"
    );
    return peers;
  }

  function getDeadMembers(): readonly Member[] {
    deadMembers ??= table.getAll().filter(({ id, state }) =>
      id !== self.id && state === "dead"
    );
    return deadMembers;
  }

  function countTargets(service: string): number {
    const cachedCount = targetCounts.get(service);
    if (cachedCount !== undefined) return cachedCount;
    const count =
      table.getAll().filter((member) =>
        member.role === "agent" && member.service === service &&
        (member.state === "live" || member.state === "suspect")
      ).length;
    targetCounts.set(service, count);
    return count;
  }

  function clearDerived(): void {
    peers = undefined;
    deadMembers = undefined;
    targetCounts.clear();
  }
}

function isSameEndpoint(left: Member, right: Member): boolean {
  return left.address === right.address &&
    left.gossipPort === right.gossipPort;
}
