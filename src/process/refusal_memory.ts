/**
 * Remembers for a short time which targets refused work or could not be
 * reached. It only reorders the next asks; it never refuses by itself.
 */

/** Longest time that one refusal is remembered, in milliseconds. */
const maxMemoryMs = 1_000;

/** Time that a refusal without a hint is remembered, in milliseconds. */
const defaultMemoryMs = 100;

/** Targets that are remembered; the oldest goes first. */
const maxTargets = 2_000;

/** Recent refusals of one process. */
export interface RefusalMemory {
  /** Notes a refusal; `forMs` is the target's hint, 0 for none. */
  noteRefusal(target: string, forMs: number): void;
  /** Forgets the refusals of a target that has taken work. */
  noteAccepted(target: string): void;
  /** True while the target should be asked after others. */
  isRemembered(target: string): boolean;
  /** Remembered targets with the time left, in milliseconds. */
  getRemembered(): ReadonlyMap<string, number>;
}

/** Creates an empty memory. */
export function createRefusalMemory(): RefusalMemory {
  const until = new Map<string, number>();

  return { noteRefusal, noteAccepted, isRemembered, getRemembered };

  function noteRefusal(target: string, forMs: number): void {
    const memoryMs = Math.min(maxMemoryMs, forMs || defaultMemoryMs);
    until.delete(target);
    until.set(target, performance.now() + memoryMs);
    if (until.size > maxTargets) forgetOldest();
  }

  function noteAccepted(target: string): void {
    until.delete(target);
  }

  function isRemembered(target: string): boolean {
    const end = until.get(target);
    if (end === undefined) return false;
    if (end > performance.now()) return true;
    until.delete(target);
    return false;
  }

  function forgetOldest(): void {
    const oldest = until.keys().next();
    if (!oldest.done) until.delete(oldest.value);
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
