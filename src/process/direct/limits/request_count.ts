/**
 * Counts requests such that every window which the retry budget may be judged
 * by has at least the returned number.
 *
 * A window of retries is judged by the requests in it, in the window before it
 * or in the one half a window before it, whichever has most. A router does not
 * know where the window begins, so it takes the lowest of these numbers over all
 * windows that end now or later and began before now.
 */

/** Requests of the recent past. */
export interface RequestCount {
  record(): void;
  /** Returns the number of requests that any window now has at least. */
  getGuaranteed(): number;
}

/** Number of equal intervals of a window by which requests are counted. */
const intervalsPerWindow = 20;

/** Number of intervals kept: the windows before the present one, and it. */
const keptIntervals = 2 * intervalsPerWindow + 1;

/** Creates an empty count. */
export function createRequestCount(
  { windowMs }: { readonly windowMs: number },
): RequestCount {
  const intervalMs = windowMs / intervalsPerWindow;
  /** Requests by interval; the last one is the present interval. */
  const counts: number[] = Array.from({ length: keptIntervals }, () => 0);
  let present = getInterval();

  return { record, getGuaranteed };

  function record(): void {
    advance();
    counts[keptIntervals - 1] = (counts[keptIntervals - 1] ?? 0) + 1;
  }

  function getGuaranteed(): number {
    advance();
    const sums = sumUp(counts);
    return Math.min(
      ...Array.from(
        { length: intervalsPerWindow + 1 },
        (_, age) => getMost(sums, keptIntervals - age),
      ),
    );
  }

  function advance(): void {
    const passed = Math.min(getInterval() - present, keptIntervals);
    present = getInterval();
    if (passed <= 0) return;
    counts.splice(0, passed);
    while (counts.length < keptIntervals) counts.push(0);
  }

  function getInterval(): number {
    return Math.floor(performance.now() / intervalMs);
  }
}

/** Returns the most requests that the window beginning there is judged by. */
function getMost(sums: readonly number[], start: number): number {
  const half = intervalsPerWindow / 2;
  return Math.max(
    ...[0, -half, -intervalsPerWindow].map((offset) =>
      getSum(start + offset + intervalsPerWindow) - getSum(start + offset)
    ),
  );

  /** Returns the sum of all counts before an index. */
  function getSum(index: number): number {
    return sums[Math.max(0, Math.min(index, keptIntervals))] ?? 0;
  }
}

/** Returns the sums of the first 0, 1, 2, ... numbers. */
function sumUp(numbers: readonly number[]): readonly number[] {
  let sum = 0;
  return [0, ...numbers.map((number) => sum += number)];
}
