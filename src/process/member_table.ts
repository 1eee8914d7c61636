/** The table of all member records that a process holds. */

import type { Member } from "../types/member.ts";
import { isAvailableAgent } from "../types/member.ts";
import { compareMembers, hashMember, hashText } from "./member_order.ts";

/** Buckets by which two tables are compared. */
const bucketCount = 64;

/** Holds the strongest record of each member. */
export interface MemberTable {
  /** Takes a record when it is newer than the one held. */
  put(member: Member): boolean;
  remove(id: string): void;
  tryGet(id: string): Member | undefined;
  /** All records, in order of id. */
  getAll(): readonly Member[];
  /** Agents of a service that may receive new work, in order of id. */
  getAvailableAgents(service: string): readonly Member[];
  /** Order-free hash of all records that are not dead, 32 bits. */
  getHash(): number;
  /** The same hash for each bucket of records. */
  getBucketHashes(): readonly number[];
  /** Records of the buckets whose hashes differ; all for no hashes. */
  getDifferent(bucketHashes: readonly number[]): readonly Member[];
}

/** Creates an empty table. */
export function createMemberTable(): MemberTable {
  const members = new Map<string, Member>();
  const agents = new Map<string, readonly Member[]>();
  const bucketHashes = new Array<number>(bucketCount).fill(0);
  let hash = 0;
  let sorted: readonly Member[] | undefined;

  return {
    put,
    remove,
    tryGet: (id) => members.get(id),
    getAll,
    getAvailableAgents,
    getHash: () => hash,
    getBucketHashes: () => bucketHashes,
    getDifferent,
  };

  function put(member: Member): boolean {
    const held = members.get(member.id);
    if (held !== undefined && compareMembers(member, held) <= 0) return false;
    members.set(member.id, member);
    if (held !== undefined) toggle(held);
    toggle(member);
    return true;
  }

  function remove(id: string): void {
    const held = members.get(id);
    if (held === undefined) return;
    members.delete(id);
    toggle(held);
  }

  /** Adds a record to the hashes, or takes it out again. */
  function toggle(member: Member): void {
    const memberHash = hashMember(member);
    const bucket = getBucket(member.id);
    hash = (hash ^ memberHash) >>> 0;
    bucketHashes[bucket] = ((bucketHashes[bucket] ?? 0) ^ memberHash) >>> 0;
    agents.delete(member.service);
    sorted = undefined;
  }

  function getAll(): readonly Member[] {
    sorted ??= [...members.values()].sort(compareIds);
    return sorted;
  }

  function getAvailableAgents(service: string): readonly Member[] {
    const held = agents.get(service);
    if (held !== undefined) return held;
    const found = [...members.values()]
      .filter((member) =>
        member.service === service && isAvailableAgent(member)
      )
      .sort(compareIds);
    agents.set(service, found);
    return found;
  }

  function getDifferent(hashes: readonly number[]): readonly Member[] {
    if (hashes.length !== bucketCount) return getAll();
    return getAll().filter(({ id }) => {
      const bucket = getBucket(id);
      return hashes[bucket] !== bucketHashes[bucket];
    });
  }
}

function getBucket(id: string): number {
  return hashText(id) % bucketCount;
}

function compareIds(left: Member, right: Member): number {
  return left.id < right.id ? -1 : 1;
}
