/** Defines the order and the hash of member records. */

import type { Member, MemberState } from "../../types/member.ts";

/** Rank of each state: the higher one wins at an equal version. */
const stateStrength: Readonly<Record<MemberState, number>> = {
  live: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/**
 * Compares two records of one member by incarnation, version and state.
 * Returns a number above 0 when `left` is newer.
 */
export function compareMembers(left: Member, right: Member): number {
  return left.incarnation - right.incarnation ||
    left.version - right.version ||
    stateStrength[left.state] - stateStrength[right.state];
}

/** Returns true when the text is the name of a state. */
export function isMemberState(text: string): text is MemberState {
  return Object.hasOwn(stateStrength, text);
}

/** Returns the 32-bit FNV-1a hash of a text, with its bits mixed. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return mixBits(hash);
}

/**
 * Returns the hash of a record's id, incarnation, version and state. A dead
 * record hashes to 0, so that removing it does not change a table's hash.
 */
export function hashMember(member: Member): number {
  if (member.state === "dead") return 0;
  const { id, incarnation, version, state } = member;
  return hashText(`${id}/${incarnation}/${version}/${state}`);
}

/** Mixes every input bit into all bits of the word (MurmurHash3 finalizer). */
function mixBits(word: number): number {
  let mixed = word ^ (word >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
