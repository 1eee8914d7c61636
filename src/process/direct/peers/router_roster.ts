/**
 * Counts the routers that share what the whole fleet may do, and finds this
 * router's place among them.
 *
 * Load pattern: routers start, die and are cut off while others count them. A
 * router that is silent for long gives up its place, but never more than a fifth
 * of the registered ones do, so that the parts of a divided fleet don't each take
 * the whole. What must never be exceeded is divided among the silent ones too.
 */

/** The place of this router in the order of all, which they agree on. */
export interface RouterPlace {
  /** Position from 0. */
  readonly index: number;
  /** Number of places; some may be without a router. */
  readonly count: number;
}

/** The place of this router, and whether the others know that it is taken. */
export interface CountedPlace extends RouterPlace {
  /**
   * When other routers began to count this one, on the monotonic clock; infinity
   * while they may not.
   */
  readonly countedAt: number;
}

/** The routers that are known to run. */
export interface RouterRoster {
  /** Records that a peer was heard of. */
  recordHeard(id: string): void;
  /** Records that entries of the directory were applied here. */
  recordDirectory(): void;
  /** Returns this router's place, without the silent ones unless they count. */
  getPlace(options?: { readonly countsSilent?: boolean }): CountedPlace;
}

/** Time after which a silent router gives up its place, in milliseconds. */
const silenceTimeoutMs = 10_000;

/** Share of the registered routers that keep their places at least. */
const minCountedShare = 0.8;

const goldenSection = 0.618;

/** Time for which a place is used before it is counted again, in ms. */
const placeTtlMs = 200;

/**
 * Time after its first copy of the directory in which a router whose entry is not
 * in it sends a digest to all peers, in milliseconds: the interval of digests at
 * 350 routers. Peers count it from then on, also while the store is down.
 */
const digestIntervalMs = 1_500;

/** Creates a roster that has heard of no router. */
export function createRouterRoster(
  host: {
    readonly selfId: string;
    /** Returns the ids of the registered routers. */
    getRouterIds(): Iterable<string>;
  },
): RouterRoster {
  /** When routers were heard of, or first known; on the monotonic clock. */
  const heardTimes = new Map<string, number>();
  let place: RouterPlace = { index: 0, count: 1 };
  let placeAmongAll: RouterPlace = place;
  let placedAt = Number.NEGATIVE_INFINITY;
  /** When the first copy of the directory was applied, and one with this router. */
  let firstCopyAt = Number.POSITIVE_INFINITY;
  let listedAt = Number.POSITIVE_INFINITY;

  return { recordHeard, recordDirectory, getPlace };

  function recordHeard(id: string): void {
    heardTimes.set(id, performance.now());
  }

  function recordDirectory(): void {
    if (listedAt < Number.POSITIVE_INFINITY) return;
    const now = performance.now();
    firstCopyAt = Math.min(firstCopyAt, now);
    for (const id of host.getRouterIds()) {
      if (id === host.selfId) listedAt = now;
    }
  }

  function getPlace({ countsSilent = false } = {}): CountedPlace {
    const now = performance.now();
    if (now - placedAt >= placeTtlMs) {
      count(now);
      placedAt = now;
    }
    const toldAt = firstCopyAt + digestIntervalMs;
    const countedAt = Math.min(
      listedAt,
      toldAt <= now ? toldAt : Number.POSITIVE_INFINITY,
    );
    return { ...(countsSilent ? placeAmongAll : place), countedAt };
  }

  function count(now: number): void {
    const registered = new Set(host.getRouterIds()).add(host.selfId);
    registered.forEach((id) => {
      if (!heardTimes.has(id)) heardTimes.set(id, now);
    });
    heardTimes.set(host.selfId, now);
    const heard: string[] = [];
    for (const [id, heardAt] of heardTimes) {
      if (now - heardAt < silenceTimeoutMs) heard.push(id);
      else if (!registered.has(id)) heardTimes.delete(id);
    }
    const minCount = Math.ceil(registered.size * minCountedShare);
    // Parts of a divided fleet that count only themselves would all use the
    // same places.
    const counted = heard.length < minCount ? [...registered] : heard;
    place = findPlace(counted, Math.max(heard.length, minCount));
    const all = [...new Set([...registered, ...heard])];
    placeAmongAll = findPlace(all, all.length);
  }

  function findPlace(ids: string[], count: number): RouterPlace {
    const index = ids.sort().indexOf(host.selfId) % count;
    return { index: index * findStride(count) % count, count };
  }
}

/**
 * Returns a factor that maps the places to each other so that neighbours end far
 * apart, and those that two routers have are spread over the order.
 */
function findStride(count: number): number {
  let stride = Math.max(1, Math.round(count * goldenSection));
  while (getCommonDivisor(stride, count) > 1) stride++;
  return stride;
}

function getCommonDivisor(left: number, right: number): number {
  return right === 0 ? left : getCommonDivisor(right, left % right);
}
