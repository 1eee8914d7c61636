/** The outcome of a request, as it is reported to the caller. */

/**
 * The outcome of a request:
 *
 * - `done`: a target ran the request and the response is complete.
 * - `not_run`: it is certain that no target ran the request.
 * - `unknown`: a target may have run the request, and this cannot be found out.
 * - `failed`: the request ran, or could never run, and ended with an error.
 */
export type Outcome = "done" | "not_run" | "unknown" | "failed";
