/**
 * Tells outages of the store from those of one router's path to it, and from times
 * in which nobody read it. The store was available at all times at which any router
 * read it. An outage is a time without a read in which a router waited for the
 * store in vain.
 *
 * Load pattern: a router that was cut off reaches the store again, or the routers
 * that read it are lost and others take over, and targets leave at the same
 * moment. Their entries have not expired in an outage, so no router may continue
 * to use them. Or the store is silent for a few seconds, in which the entries of
 * all targets expire, and the readers are lost too.
 */

/** A span of time on the monotonic clock, in milliseconds. */
export interface StoreContactSpan {
  readonly since: number;
  readonly until: number;
}

/** What is known of the store's responses, for the log. */
export interface StoreContactRecord {
  /** Times since the first and the last read without an outage, in ms. */
  readonly storeReadForMs: number | undefined;
  readonly storeReadAgeMs: number | undefined;
  /** The router that made the last read. */
  readonly storeReadBy: string | undefined;
  /** Time since then in which routers waited in vain, in milliseconds. */
  readonly storeSilentMs: number;
  /** Time since the end of the last outage, in milliseconds. */
  readonly outageEndedAgeMs: number | undefined;
}

/** The times at which any router of the fleet read the store. */
export interface StoreAvailability {
  /**
   * Records that a router read the store without an outage between two times;
   * returns true if the end of the last outage differs from what was known
   * before.
   */
  recordContact(span: StoreContactSpan, reader: string): boolean;
  /** Records that a router waited in vain for the store between two times. */
  recordSilence(span: StoreContactSpan): void;
  /**
   * Returns when the last outage ended, on the monotonic clock; negative
   * infinity when there was none.
   */
  getOutageEndedAt(): number;
  describe(): StoreContactRecord;
}

/**
 * Minimum time between two reads with an outage between them, in milliseconds.
 * Entries expire after three silent heartbeat intervals of their targets, which
 * are longer than a second.
 */
export const minOutageMs = 2_000;

/**
 * Minimum time for which routers waited in vain in an outage, in milliseconds.
 * One call that is lost or late is none.
 */
export const minSilenceMs = 250;

/** The same for a router that has not read the store yet, in milliseconds. */
const minFirstSilenceMs = 1_000;

/** Creates the record of a fleet whose store has not responded yet. */
export function createStoreAvailability(): StoreAvailability {
  const createdAt = performance.now();
  /** The latest time without an outage; undefined before the first response. */
  let available: StoreContactSpan | undefined;
  let reader: string | undefined;
  let hasOutage = false;
  /** Time of waiting in vain since `available`, and its last moment. */
  let silentMs = 0;
  let silentUntil = Number.NEGATIVE_INFINITY;

  return { recordContact, recordSilence, getOutageEndedAt, describe };

  function recordContact(span: StoreContactSpan, by: string): boolean {
    const before = getOutageEndedAt();
    const isAfterOutage = available === undefined
      ? silentMs >= minFirstSilenceMs
      : span.since - available.until >= minOutageMs && silentMs >= minSilenceMs;
    if (available === undefined || isAfterOutage) {
      hasOutage ||= isAfterOutage;
      setAvailable(span, by);
    } else if (available.since - span.until < minOutageMs) {
      setAvailable({
        since: Math.min(available.since, span.since),
        until: Math.max(available.until, span.until),
      }, by);
    }
    return getOutageEndedAt() !== before;
  }

  function setAvailable(span: StoreContactSpan, by: string): void {
    if (span.until > (available?.until ?? Number.NEGATIVE_INFINITY)) {
      reader = by;
      silentMs = 0;
    }
    available = span;
  }

  function recordSilence({ since, until }: StoreContactSpan): void {
    // What a peer waited for before this router started is not judged here.
    const readUntil = available?.until ?? createdAt;
    const newSince = Math.max(since, silentUntil, readUntil);
    if (newSince >= until) return;
    silentMs += until - newSince;
    silentUntil = until;
  }

  function getOutageEndedAt(): number {
    return hasOutage && available !== undefined
      ? available.since
      : Number.NEGATIVE_INFINITY;
  }

  function describe(): StoreContactRecord {
    const now = performance.now();
    return {
      storeReadForMs: available && Math.round(now - available.since),
      storeReadAgeMs: available && Math.round(now - available.until),
      storeReadBy: reader,
      storeSilentMs: Math.round(silentMs),
      outageEndedAgeMs: hasOutage && available !== undefined
        ? Math.round(now - available.since)
        : undefined,
    };
  }
}
