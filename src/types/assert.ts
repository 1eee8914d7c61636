/** Assertions that state invariants. */

/** Asserts at compile time that a branch is unreachable; throws if reached. */
export function assertNever(value: never): never {
  throw new Error(`Unexpected value: ${JSON.stringify(value)}`);
}

/** Throws if an invariant does not hold. */
export function assertInvariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new Error(`Invariant violated: ${message}`);
}
