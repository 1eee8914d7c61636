/**
 * Decides how fast responses are read that have many small pieces, such as events
 * or chunks of a byte each, or very many bytes.
 *
 * Load pattern: some targets send without end, as fast as they are read. An event
 * costs the process a microsecond whatever its size, and so does a kilobyte or two
 * of any body, so such responses take all of its time from other callers. Each
 * response has an allowance far above what a target generates. What a response
 * takes beyond it comes from a budget that all responses share, in the order in
 * which they ask, so that a long response that arrives at once is delayed only
 * beside others of its kind.
 */

/** How much may be read of what is counted. */
interface ReadRates {
  /** What a response may read at once, and from then on in a second. */
  readonly ownBurst: number;
  readonly ownPerS: number;
  /** What all responses share in a second beyond their own allowance. */
  readonly sharedPerS: number;
  /**
   * What a response gets from the shared budget at once. To stop and go on costs
   * as much as some of it.
   */
  readonly block: number;
}

const pieceRates: ReadRates = {
  ownBurst: 1_000,
  ownPerS: 500,
  sharedPerS: 20_000,
  block: 400,
};

/** Half of an event of the largest size is above the burst. */
const byteRates: ReadRates = {
  ownBurst: 512 * 1024,
  ownPerS: 256 * 1024,
  sharedPerS: 50 * 1024 * 1024,
  block: 256 * 1024,
};

/** Time ahead by which a shared budget may be used, in milliseconds. */
const sharedBurstMs = 100;

/** The reading of one response. */
export interface ResponsePace {
  /**
   * Counts pieces that were read, and their bytes where they are not counted
   * elsewhere; returns the time after which the next may be read, in
   * milliseconds.
   */
  take(pieces: number, options?: { readonly bytes: number }): number;
}

/** The pace of all responses of a process. */
export interface ReadPace {
  begin(): ResponsePace;
}

/** Creates the pace of a process that reads no response. */
export function createReadPace(): ReadPace {
  const pieceBudget = createReadBudget(pieceRates);
  const byteBudget = createReadBudget(byteRates);

  return {
    begin: () => {
      const takePieces = pieceBudget.begin();
      const takeBytes = byteBudget.begin();
      return {
        take: (pieces, { bytes } = { bytes: 0 }) =>
          Math.max(takePieces(pieces), takeBytes(bytes)),
      };
    },
  };
}

/** Creates the budget of what all responses read. */
function createReadBudget(
  { ownBurst, ownPerS, sharedPerS, block }: ReadRates,
): { begin(): (amount: number) => number } {
  /** Time up to which the shared budget is used, on the monotonic clock. */
  let usedUntil = performance.now();

  return { begin };

  function begin(): (amount: number) => number {
    let allowance = ownBurst;
    let refilledAt = performance.now();
    return take;

    function take(amount: number): number {
      const now = performance.now();
      const refill = (now - refilledAt) / 1_000 * ownPerS;
      allowance = Math.min(ownBurst, allowance + refill) - amount;
      refilledAt = now;
      if (allowance >= 0) return 0;
      const taken = block - allowance;
      usedUntil = Math.max(now, usedUntil) + taken / sharedPerS * 1_000;
      allowance = block;
      return Math.max(0, usedUntil - now - sharedBurstMs);
    }
  }
}
