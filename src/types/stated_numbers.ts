/**
 * Judges the numbers that callers, targets, store entries and peers state, where
 * they are decoded. What passes is whole or bounded, fits into the messages between
 * routers, and can be taken out of a sum again without a remainder.
 */

/** Largest number of 32 bits, in which digests carry counts and times. */
export const maxCount = 0xffff_ffff;

/** Maximum number of tokens of one prompt, prompt part or response. */
export const maxTokens = 16_777_215;

/**
 * Maximum of sizes in bytes and times in milliseconds. A timer of five times
 * this time still fires late; the runtime fires longer ones at once.
 */
export const maxSizeOrTime = 400_000_000;

/**
 * Returns a whole number of tokens. More than `maxTokens` counts as that many,
 * and what is no number, or none above 0, as none.
 */
export function limitTokens(value: number): number {
  return value > 0 ? Math.min(maxTokens, Math.ceil(value)) : 0;
}

/**
 * Returns the tokens of a listed part; undefined when no part can have them, so
 * that only this part is left out of its list.
 */
export function tryGetPartTokens(value: unknown): number | undefined {
  return typeof value === "number" && value > 0 && value <= maxTokens
    ? Math.ceil(value)
    : undefined;
}

/** Returns a whole count between 0 and `maxCount`; 0 for what is no number. */
export function limitCount(value: number): number {
  return value > 0 ? Math.min(maxCount, Math.round(value)) : 0;
}

/** Returns a time of `maxSizeOrTime` milliseconds at most, not below 0. */
export function limitTimeMs(value: number): number {
  return value > 0 ? Math.min(maxSizeOrTime, value) : 0;
}

/** Returns a time in epoch milliseconds; undefined for any other value. */
export function tryGetEpochMs(value: unknown): number | undefined {
  return Number.isSafeInteger(value) && Number(value) >= 0
    ? Number(value)
    : undefined;
}
