/** Holds the member records of a process, with hashes for anti-entropy. */

import type { Member } from "../../types/member.ts";
import { isAvailableAgent } from "../../types/member.ts";
import { getMemberBytes } from "./datagram_codec.ts";
import { compareMembers, hashMember, hashText } from "./member_order.ts";

/** Number of hash buckets by which two tables are compared. */
export const bucketCount = 256;

/** The newest record of each member. */
export interface MemberTable {
  /** Stores a record and returns true when it is newer than the held one. */
  put(member: Member): boolean;
  remove(id: string): void;
  tryGet(id: string): Member | undefined;
  /** Returns all records, in order of id. */
  getAll(): readonly Member[];
  /** Returns a service's agents that may receive new work, in order of id. */
  getAvailableAgents(service: string): readonly Member[];
  /** Returns an order-independent 32-bit hash of all records not dead. */
  getHash(): number;
  /** Returns the same hash for each bucket of records. */
  getBucketHashes(): readonly number[];
  /**
   * Returns the records of buckets whose hashes differ, starting at
   * `firstBucket`. Buckets are returned whole, as many as fit into `maxBytes`;
   * the first one is returned whatever its size.
   */
  collectDifferent(
    bucketHashes: readonly number[],
    options: { readonly firstBucket: number; readonly maxBytes: number },
  ): MemberPage;
}

/** Records that are sent together, with their encoded size. */
export interface MemberPage {
  readonly members: readonly Member[];
  readonly bytes: number;
}

/** Creates an empty table. */
export function createMemberTable(): MemberTable {
  const members = new Map<string, Member>();
  const availableAgents = new Map<string, readonly Member[]>();
  const bucketHashes = new Array<number>(bucketCount).fill(0);
  let hash = 0;
  let sortedMembers: readonly Member[] | undefined;

  return {
    put,
    remove,
    tryGet: (id) => members.get(id),
    getAll,
    getAvailableAgents,
    getHash: () => hash,
    getBucketHashes: () => bucketHashes,
    collectDifferent,
  };

  function put(member: Member): boolean {
    const known = members.get(member.id);
    if (known !== undefined && compareMembers(member, known) <= 0) return false;
    members.set(member.id, member);
    if (known !== undefined) toggleHash(known);
    toggleHash(member);
    return true;
  }

  function remove(id: string): void {
    const known = members.get(id);
    if (known === undefined) return;
    members.delete(id);
    toggleHash(known);
  }

  /** Adds a record to the hashes or removes it; clears derived lists. */
  function toggleHash(member: Member): void {
    const memberHash = hashMember(member);
    const bucket = getBucket(member.id);
    hash = (hash ^ memberHash) >>> 0;
    bucketHashes[bucket] = ((bucketHashes[bucket] ?? 0) ^ memberHash) >>> 0;
    availableAgents.delete(member.service);
    sortedMembers = undefined;
  }

  function getAll(): readonly Member[] {
    sortedMembers ??= [...members.values()].sort(compareIds);
    return sortedMembers;
  }

  function getAvailableAgents(service: string): readonly Member[] {
    const cached = availableAgents.get(service);
    if (cached !== undefined) return cached;
    const found = [...members.values()]
      .filter((member) =>
        member.service === service && isAvailableAgent(member)
      )
      .sort(compareIds);
    availableAgents.set(service, found);
    return found;
  }

  function collectDifferent(
    otherHashes: readonly number[],
    { firstBucket, maxBytes }: {
      readonly firstBucket: number;
      readonly maxBytes: number;
    },
  ): MemberPage {
    const buckets = groupByBucket();
    const page: Member[] = [];
    let bytes = 0;
    for (let step = 0; step < bucketCount; step++) {
      const bucket = (firstBucket + step) % bucketCount;
      if (otherHashes[bucket] === bucketHashes[bucket]) continue;
      const records = buckets[bucket] ?? [];
      const size = records.reduce(
        (sum, record) => sum + getMemberBytes(record),
        0,
      );
      // A partly sent bucket would still differ and be sent again.
      if (page.length > 0 && bytes + size > maxBytes) break;
      page.push(...records);
      bytes += size;
    }
    return { members: page, bytes };
  }

  function groupByBucket(): readonly (readonly Member[])[] {
    const buckets = Array.from({ length: bucketCount }, (): Member[] => []);
    for (const member of members.values()) {
      buckets[getBucket(member.id)]?.push(member);
    }
    return buckets;
  }
}

function getBucket(id: string): number {
  return hashText(id) % bucketCount;
}

function compareIds(left: Member, right: Member): number {
  return left.id < right.id ? -1 : 1;
}
