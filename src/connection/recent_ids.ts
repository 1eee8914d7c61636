/**
 * Remembers the ids of requests for a time, in two sets that take turns.
 *
 * Load pattern: callers send a request again under its id, some to the same
 * target within seconds. A target that repeats a response late would then have
 * it taken for the response to the later request, as the ids are equal.
 */

/** Time for which an id is remembered at least, in milliseconds. */
const retentionMs = 30_000;

/** Maximum number of ids in each set; above it the older set is dropped. */
const maxIds = 5_000;

/** The ids of recent requests. */
export interface RecentIds {
  /** Adds an id; returns true when it was known. */
  add(id: string): boolean;
}

/** Creates an empty record. */
export function createRecentIds(): RecentIds {
  let current = new Set<string>();
  let previous: ReadonlySet<string> = new Set();
  let startedAt = performance.now();

  return { add };

  function add(id: string): boolean {
    const ageMs = performance.now() - startedAt;
    if (ageMs >= retentionMs || current.size >= maxIds) {
      previous = ageMs >= 2 * retentionMs ? new Set() : current;
      current = new Set();
      startedAt = performance.now();
    }
    const isKnown = current.has(id) || previous.has(id);
    current.add(id);
    return isKnown;
  }
}
