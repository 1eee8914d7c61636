/**
 * Tells which of the keys that were at the same crashes may be at fault.
 *
 * Load pattern: a request comes again and again until three of its keys are
 * quarantined at once. The next one that has some of them and not the others shows
 * by its response, or by a crash, which are at fault.
 */

import { isConclusive, type StoredEvidence } from "./crash_evidence.ts";
import { type CrashKey, isPartKey, trySplitVariant } from "./crash_keys.ts";

/** A quarantined key of a request, with its record. */
export interface QuarantinedCause {
  readonly key: CrashKey;
  readonly record: StoredEvidence;
}

/**
 * What else may have caused the crashes of a quarantined key, by its kind. Sound
 * requests share a body with a variant that crashes, or lack a part that does.
 */
const canBeCause: Readonly<
  Record<CrashKey["kind"], (other: string, key: CrashKey) => boolean>
> = {
  part: isPartKey,
  request: (other, { id }) =>
    isPartKey(other) || trySplitVariant(other)?.request === id,
  variant: () => false,
};

/**
 * Returns true when something that the request lacks was at the same crashes as
 * what is quarantined of it, so that the request shows which is at fault.
 */
export function isCauseAmbiguous(
  quarantined: readonly QuarantinedCause[],
  { keys, records }: {
    /** All keys of the request. */
    readonly keys: readonly CrashKey[];
    readonly records: readonly StoredEvidence[];
  },
): boolean {
  const ids = new Set(keys.map(({ id }) => id));
  const others = records.filter((record) =>
    isConclusive(record) && !ids.has(record.key)
  );
  return quarantined.every(({ key, record }) =>
    others.some(({ key: other, lives }) =>
      lives.at(-1) === record.lives.at(-1) && canBeCause[key.kind](other, key)
    )
  );
}

/** Counts causes; a request and its variant are one. */
export function countCauses(quarantined: readonly QuarantinedCause[]): number {
  return new Set(quarantined.map(({ key }) => getCause(key))).size;
}

/** Returns the id of a part, or of a request for its variants too. */
export function getCause({ id }: CrashKey): string {
  return trySplitVariant(id)?.request ?? id;
}
