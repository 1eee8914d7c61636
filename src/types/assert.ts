/** Assertions that state invariants. */

/** Marks a branch that the types rule out. */
export function assertNever(value: never): never {
  throw new Error(`Unexpected value: ${JSON.stringify(value)}`);
}

/** Throws when an invariant does not hold. */
export function assertInvariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new Error(`Invariant broken: ${message}`);
}
