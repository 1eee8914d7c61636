/** Decides what this process believes of every member, and of itself. */

import type { Member, MemberState } from "../../types/member.ts";
import type { Vm } from "../../types/platform.ts";
import { compareMembers } from "./member_order.ts";
import { createMemberTable, type MemberTable } from "./member_table.ts";

/** Time a suspect has to refute before it counts as dead. */
export const suspicionMs = 3_000;

/** Time a dead record is kept, so that old news cannot revive it. */
export const deadMemoryMs = 2 * 3_600_000;

/** Longest time the platform's list lags behind the VMs. */
export const listLagMs = 60_000;

/** What became of a record that was received. */
export type MergeResult =
  /** Nothing new. */
  | "known"
  /** The table changed and the record is to be passed on. */
  | "changed"
  /** The own record was renewed and is to be passed on. */
  | "renewed_self"
  /** The record of this process is older than what this process says. */
  | "outdated_self"
  /** Another process runs under the id of this one. */
  | "replaced";

/** Decides on member records. Methods with `spread` return news. */
export interface Membership {
  readonly table: MemberTable;
  getSelf(): Member;
  /** Takes a record from another member. */
  merge(member: Member): MergeResult;
  /** Renews the own record with a stronger state; returns it. */
  announce(state: MemberState): Member;
  /** Records that a member did not answer; returns news. */
  suspect(id: string): readonly Member[];
  /** Records that a member answered directly. */
  confirm(id: string): void;
  /** Joins the platform's list; returns news. */
  mergeVms(vms: readonly Vm[]): readonly Member[];
  /** Ends suspicions and forgets old records; returns news. */
  tick(): readonly Member[];
  /** Members that may be asked: not this process and not dead. */
  getPeers(): readonly Member[];
  /** Dead members that the exchange still looks for. */
  getDead(): readonly Member[];
  /** Live or suspect agents of a service, this process included. */
  countTargets(service: string): number;
}

/** Creates the membership of a process that starts as `self`. */
export function createMembership(first: Member): Membership {
  const table = createMemberTable();
  /** When a member stopped answering, by id, in monotonic milliseconds. */
  const silentSince = new Map<string, number>();
  const deadSince = new Map<string, number>();
  /** When a rejoin replaced a leaving or dead incarnation, by id. */
  const rejoinedAt = new Map<string, number>();
  /** Incarnations that a VM's entry on the list speaks of, by VM. */
  const listedLeaving = new Map<string, ReadonlyMap<string, number>>();
  let self = first;
  let peers: readonly Member[] | undefined;
  let dead: readonly Member[] | undefined;
  const targets = new Map<string, number>();
  table.put(self);

  return {
    table,
    getSelf: () => self,
    merge,
    announce,
    suspect,
    confirm,
    mergeVms,
    tick,
    getPeers,
    getDead,
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
      // The clock went back between two starts: only this process can hold
      // the endpoint, so the record speaks of an earlier start.
      replaceSelf({ ...self, incarnation: member.incarnation + 1 });
      return "renewed_self";
    }
    if (member.state === "leaving" && self.state === "live") {
      // The platform's list told others first.
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
    forgetDerived();
  }

  /** Takes a record of another member when it is newer. */
  function accept(member: Member): boolean {
    const held = table.tryGet(member.id);
    if (!table.put(member)) return false;
    forgetDerived();
    noteRejoin(held, member);
    if (member.state === "dead") {
      silentSince.delete(member.id);
      deadSince.set(member.id, performance.now());
      return true;
    }
    deadSince.delete(member.id);
    if (member.state !== "suspect") silentSince.delete(member.id);
    else if (!silentSince.has(member.id)) {
      silentSince.set(member.id, performance.now());
    }
    return true;
  }

  function noteRejoin(held: Member | undefined, member: Member): void {
    if (held === undefined || held.incarnation >= member.incarnation) return;
    silentSince.delete(member.id);
    if (held.state === "leaving" || held.state === "dead") {
      rejoinedAt.set(member.id, performance.now());
    }
  }

  function suspect(id: string): readonly Member[] {
    const held = table.tryGet(id);
    if (held === undefined || id === self.id) return [];
    if (held.state === "dead") return [];
    if (!silentSince.has(id)) silentSince.set(id, performance.now());
    if (held.state !== "live") return [];
    return acceptAll([{ ...held, state: "suspect" }]);
  }

  function confirm(id: string): void {
    // A suspect itself has to refute; only the silent wait of a leaving
    // member ends here.
    if (table.tryGet(id)?.state !== "suspect") silentSince.delete(id);
  }

  function mergeVms(vms: readonly Vm[]): readonly Member[] {
    const leaving = new Set<string>();
    const news: Member[] = [];
    for (const vm of vms) {
      if (vm.state === "leaving") leaving.add(vm.id);
    }
    for (const vm of listedLeaving.keys()) {
      if (!leaving.has(vm)) listedLeaving.delete(vm);
    }
    if (leaving.size === 0) return news;
    const members = groupByVm(leaving);
    for (const vm of leaving) {
      news.push(...mergeLeavingVm(vm, members.get(vm) ?? []));
    }
    return acceptAll(news);
  }

  /**
   * The entry speaks of the incarnations known when it first appeared; one
   * that rejoined since then, or shortly before, is not meant.
   */
  function mergeLeavingVm(vm: string, members: readonly Member[]): Member[] {
    let meant = listedLeaving.get(vm);
    if (meant === undefined) {
      meant = new Map(
        members
          .filter(({ id }) => !hasJustRejoined(id))
          .map(({ id, incarnation }) => [id, incarnation]),
      );
      listedLeaving.set(vm, meant);
    }
    return members
      .filter(({ id, incarnation }) => meant.get(id) === incarnation)
      .filter(({ state }) => state === "live" || state === "suspect")
      .map((member) => ({ ...member, state: "leaving" }));
  }

  function hasJustRejoined(id: string): boolean {
    const at = rejoinedAt.get(id);
    return at !== undefined && performance.now() - at < listLagMs;
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
    const news: Member[] = [];
    for (const [id, since] of silentSince) {
      if (now - since < suspicionMs) continue;
      silentSince.delete(id);
      const held = table.tryGet(id);
      if (held !== undefined) news.push({ ...held, state: "dead" });
    }
    for (const [id, since] of deadSince) {
      if (now - since < deadMemoryMs) continue;
      deadSince.delete(id);
      table.remove(id);
      forgetDerived();
    }
    for (const [id, at] of rejoinedAt) {
      if (now - at >= listLagMs) rejoinedAt.delete(id);
    }
    return acceptAll(news);
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

  function getDead(): readonly Member[] {
    dead ??= table.getAll().filter(({ id, state }) =>
      id !== self.id && state === "dead"
    );
    return dead;
  }

  function countTargets(service: string): number {
    const held = targets.get(service);
    if (held !== undefined) return held;
    const count =
      table.getAll().filter((member) =>
        member.role === "agent" && member.service === service &&
        (member.state === "live" || member.state === "suspect")
      ).length;
    targets.set(service, count);
    return count;
  }

  function forgetDerived(): void {
    peers = undefined;
    dead = undefined;
    targets.clear();
  }
}

function isSameEndpoint(left: Member, right: Member): boolean {
  return left.address === right.address &&
    left.gossipPort === right.gossipPort;
}
