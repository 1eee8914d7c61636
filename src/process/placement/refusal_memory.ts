/**
 * Remembers for a short time which targets refused work or could not be
 * reached. It only reorders the next asks; it never refuses by itself.
 */

/** Longest time that one refusal is remembered, in milliseconds. */
const maxMemoryMs = 1_000;

/** Time that a refusal without a hint is remembered, in milliseconds. */
const defaultMemoryMs = 100;

/** Time that a target is asked last of all after it was not reached, in ms. */
const unreachableMs = 1_000;

/** Targets that are remembered; the oldest goes first. */
const maxTargets = 2_000;

/** Recent refusals of one process. */
export interface RefusalMemory {
  /** Notes a refusal; `forMs` is the target's hint, 0 for none. */
  noteRefusal(target: string, forMs: number): void;
  /** Notes that a target gave no answer. */
  noteUnreachable(target: string): void;
  /** Forgets the refusals of a target that has taken work. */
  noteAccepted(target: string): void;
  /** True while the target should be asked after others. */
  isRemembered(target: string): boolean;
  /** True while asking the target would likely cost a wait for nothing. */
  isUnreachable(target: string): boolean;
  /** Remembered targets with the time left, in milliseconds. */
  getRemembered(): ReadonlyMap<string, number>;
}

/** Creates an empty memory. */
export function createRefusalMemory(): RefusalMemory {
  const until = new Map<string, number>();
  const unreachableUntil = new Map<string, number>();

  return {
    noteRefusal,
    noteUnreachable,
    noteAccepted,
    isRemembered: (target) => isHeld(until, target),
    isUnreachable: (target) => isHeld(unreachableUntil, target),
    getRemembered,
  };

  function noteRefusal(target: string, forMs: number): void {
    hold(until, target, Math.min(maxMemoryMs, forMs || defaultMemoryMs));
  }

  function noteUnreachable(target: string): void {
    hold(until, target, unreachableMs);
    hold(unreachableUntil, target, unreachableMs);
  }

  function noteAccepted(target: string): void {
    until.delete(target);
    unreachableUntil.delete(target);
  }

  function getRemembered(): ReadonlyMap<string, number> {
    const now = performance.now();
    const left = new Map<string, number>();
    until.forEach((end, target) => {
      if (end > now) left.set(target, Math.round(end - now));
    });
    return left;
  }
}

/** Puts a target last in a map, for some time. */
function hold(ends: Map<string, number>, target: string, forMs: number): void {
  ends.delete(target);
  ends.set(target, performance.now() + forMs);
  if (ends.size > maxTargets) forgetOldest(ends);
}

function isHeld(ends: Map<string, number>, target: string): boolean {
  const end = ends.get(target);
  if (end === undefined) return false;
  if (end > performance.now()) return true;
  ends.delete(target);
  return false;
}

function forgetOldest(ends: Map<string, number>): void {
  const oldest = ends.keys().next();
  if (!oldest.done) ends.delete(oldest.value);
}
