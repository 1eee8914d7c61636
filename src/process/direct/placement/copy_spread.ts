/**
 * Decides when a part whose demand rises gets another engine.
 *
 * Load pattern: for 4 to 6 s, one part of 10,512 tokens gets a sixth of a
 * service's requests. One request never gains enough by a copy to pay for it, so
 * all of them stay at the one engine that has the part until it is at its load
 * bound. Then every router copies the part with each request that it sends
 * elsewhere, to engines by their rank. But a copy serves all further requests for
 * the part: its cost is divided by those that are expected to use it. So the
 * requests leave as soon as they wait longer at the holder than that takes.
 *
 * Routers that learn of the same rise would all copy at once, and to the same
 * engine. Each request may therefore copy ahead with a probability at which all
 * routers together make about one copy until their digests report it.
 */

/**
 * Time in which requests are expected to use a copy, in milliseconds; less than
 * a part is hot, as some of that has passed when the rise is seen.
 */
const useMs = 3_000;

/**
 * Mean time between copies ahead by all routers, in milliseconds; half of the
 * time until digests report a copy to most routers of a small fleet.
 */
const copyIntervalMs = 125;

/** Number of requests that use a copy from which it is made ahead of need. */
const minUses = 4;

/**
 * Cost of a holder that demand does not call for, in milliseconds; as much as
 * two requests on the engine. Its copy is then used less, and the engine evicts
 * it for others.
 */
const surplusHolderMs = 8;

/** How the demand for a part changes the costs of engines. */
export interface CopySpread {
  /** Part of the cost of a copy that one request bears, up to 1. */
  readonly copyShare: number;
  /** Returns the added cost of a holder, the best in rank being the first. */
  getHolderMs(place: number): number;
}

const unchanged: CopySpread = { copyShare: 1, getHolderMs: () => 0 };

/** Decides for one request. */
export function getCopySpread(
  demandPerS: number | undefined,
  options: {
    /** Number of engines that have the part cached. */
    readonly holders: number;
    /** Returns a random number in [0, 1). */
    random(): number;
  },
): CopySpread {
  const { holders } = options;
  if (demandPerS === undefined || holders === 0) return unchanged;
  const uses = demandPerS * useMs / 1_000;
  const usesPerEngine = uses / (holders + 1);
  const copyProbability = 1_000 / (demandPerS * copyIntervalMs);
  const isCopyDue = usesPerEngine >= minUses &&
    options.random() < copyProbability;
  const neededHolders = Math.max(1, Math.ceil(uses / minUses));
  return {
    copyShare: isCopyDue ? 1 / usesPerEngine : 1,
    getHolderMs: (place) => place < neededHolders ? 0 : surplusHolderMs,
  };
}
