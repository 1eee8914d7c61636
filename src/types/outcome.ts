/** What a caller is told about the end of a request. */

/**
 * - `done`: the target ran the request and the answer is whole.
 * - `not_run`: it is proved that no target ran it.
 * - `unknown`: a target may have run it and nobody can tell.
 * - `failed`: the request ran, or could never run, and ended in an error.
 */
export type Outcome = "done" | "not_run" | "unknown" | "failed";
