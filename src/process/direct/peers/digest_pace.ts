/**
 * Decides when a router sends its next digest to all peers.
 *
 * Load pattern: every router sends its digests to every other, so that a fixed
 * interval costs each router datagrams in proportion to the size of the fleet,
 * and the fleet in proportion to its square. The interval grows with the number
 * of peers instead, which keeps the datagrams of one router about constant; each
 * router then has a smaller part of the load to report. Bursts are allowed, as a
 * restarted router reports the whole caches of engines.
 */

/** Datagrams that one router sends per second, over a longer time. */
const datagramsPerSecond = 240;

/** Maximum number of digests to all peers in a burst. */
const maxBurst = 40;

/** Minimum interval of digests, in milliseconds. */
const minIntervalMs = 60;

/**
 * Interval at which loads are reported in a small fleet, and by routers that
 * watch the store, in milliseconds.
 */
const minReportIntervalMs = 250;

/** When to send digests. */
export interface DigestPace {
  /**
   * Returns true when a digest should be sent now, and counts it as sent;
   * `hasUpdates` tells whether new parts wait for it. A router that watches the
   * store keeps the short interval, so that its end is noticed soon.
   */
  trySend(options: {
    readonly peers: number;
    readonly hasUpdates: boolean;
    readonly isWatcher: boolean;
  }): boolean;
  /** Counts a digest that is sent outside of the pace. */
  recordSent(): void;
}

/** Creates the pace of a router that has sent nothing. */
export function createDigestPace(): DigestPace {
  let credit = maxBurst;
  let refilledAt = performance.now();
  let sentAt = Number.NEGATIVE_INFINITY;

  return { trySend, recordSent };

  function trySend(
    { peers, hasUpdates, isWatcher }: {
      readonly peers: number;
      readonly hasUpdates: boolean;
      readonly isWatcher: boolean;
    },
  ): boolean {
    const now = performance.now();
    const intervalMs = getIntervalMs(peers);
    credit = Math.min(maxBurst, credit + (now - refilledAt) / intervalMs);
    refilledAt = now;
    const reportIntervalMs = isWatcher
      ? minReportIntervalMs
      : Math.max(minReportIntervalMs, intervalMs);
    const isReportDue = now - sentAt >= reportIntervalMs;
    if (!isReportDue && !(hasUpdates && credit >= 1)) return false;
    recordSent();
    return true;
  }

  function recordSent(): void {
    credit = Math.max(0, credit - 1);
    sentAt = performance.now();
  }
}

/** Returns the interval at which one digest to all peers is affordable. */
function getIntervalMs(peers: number): number {
  return Math.max(minIntervalMs, peers * 1_000 / datagramsPerSecond);
}
