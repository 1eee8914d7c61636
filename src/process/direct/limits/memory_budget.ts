/**
 * Counts and limits the memory that a router holds for callers and targets:
 * bodies of requests, incomplete responses, and bytes of responses that were not
 * read or not written yet.
 *
 * Load pattern: some callers read slowly or not at all while targets send at
 * full speed, and a target cuts off a response that stays unread. So a response
 * is read ahead of its caller, up to a bound. The bound falls to a part of what
 * is left when many are held at once, so that the largest ones stop first and
 * those that begin still have room. When memory runs short, what is given up is:
 *
 * 1. from 3/4 of the memory on, bodies of new requests;
 * 2. from there on, too, reading for the largest responses, as their bound falls;
 * 3. from 15/16 on, the largest response of which the caller takes nothing for
 *    5 s, or for 1 s above all of the memory.
 */

import type { ProcessLimits } from "../../../types/direct_settings.ts";
import type { MemoryShare, MemorySource } from "../../../types/held_memory.ts";
import type { Log } from "../../telemetry/log.ts";
import type { Metrics } from "../../telemetry/metrics.ts";

/** Bytes that a response may always take, which are not counted. */
const minBytesPerResponse = 16 * 1024;

/** Maximum bytes for all responses where the memory of the process is unknown. */
const defaultMaxBytes = 64 * 1024 * 1024;

/**
 * Share of the memory of a process for what is counted here. The smallest
 * routers have 250 MB, of which 127 MB are for the heap and some 60 MB for the
 * runtime; the minimum of 1,000 responses takes 16 MB of the rest.
 */
const memoryShare = 1 / 6;

/**
 * Bytes that one response may read ahead, as a share of what is left, and at most
 * as a share of all. With these values, the bound begins to fall at `bodyLevel`.
 */
const readAheadShares = { ofFree: 1 / 4, ofAll: 1 / 16 } as const;

/** Level of use from which bodies of new requests are refused. */
const bodyLevel = 3 / 4;

/** Level of use from which responses without progress are broken off. */
const breakLevel = 15 / 16;

/** Level of use below which a shortage is over, and nothing is watched. */
const calmLevel = 1 / 2;

/**
 * Time without progress after which a response may be broken off, in
 * milliseconds. The system reports progress only once a third of its send buffer
 * is free: a reader of 100 KB/s shows some within it at buffers of 1 MB.
 */
const noProgressMs = 5_000;

/**
 * The same while more than all of the memory is used, which is possible as each
 * response has been read up to some 150 KB before its reading stops. A process
 * that is killed for its memory loses all responses.
 */
const excessNoProgressMs = 1_000;

/** Interval of measurements while memory is watched, in milliseconds. */
const reviewIntervalMs = 100;

/** Bytes in a megabyte of the settings. */
const bytesPerMegabyte = 1_000_000;

/** What is given up when memory runs short, in the order of the steps. */
export type MemoryStep = "body_refused" | "reading_stopped" | "response_broken";

/** One request, for which memory is held. */
export interface MemoryHolder {
  readonly requestId: string;
  /** Ends the response such that it does not look complete. */
  breakOff(): void;
}

/** The memory that a process holds for callers and targets. */
export interface MemoryBudget {
  /** Begins the share of one request and its response. */
  begin(holder?: MemoryHolder): MemoryShare;
  /** Returns the bytes that all take beyond their minimum. */
  getUsedBytes(): number;
  /** Returns the bytes that wait for callers beyond the minimum of each. */
  getUnwrittenBytes(): number;
  getMaxBytes(): number;
}

/** How a budget is limited, and where it reports. */
export interface MemoryBudgetOptions {
  readonly maxBytes?: number;
  readonly log?: Pick<Log, "info" | "warn">;
  readonly metrics?: Pick<Metrics, "count">;
}

/** The state of one share. */
interface ShareState {
  readonly holder: MemoryHolder | undefined;
  readonly sources: Set<MemorySource>;
  bodyBytes: number;
  bufferedBytes: number;
  /** What the sources held when they were last measured. */
  sourceBytes: number;
  /** Part of `sourceBytes` that waits for the caller. */
  unwrittenBytes: number;
  /** What is counted: all bytes beyond the minimum. */
  countedBytes: number;
  takenBytes: number;
  /** When the caller was last seen to take bytes; undefined if not watched. */
  progressAt: number | undefined;
  /** Ends the wait of the reader, if it waits. */
  resume: (() => void) | undefined;
}

/** Creates the budget of a process, by the memory that it is granted. */
export function createProcessMemory(
  { memoryMb }: Pick<ProcessLimits, "memoryMb">,
  options: Omit<MemoryBudgetOptions, "maxBytes">,
): MemoryBudget {
  return createMemoryBudget({
    ...options,
    ...memoryMb !== undefined &&
      { maxBytes: memoryMb * bytesPerMegabyte * memoryShare },
  });
}

/** Creates a budget of which nothing is used. */
export function createMemoryBudget(
  { maxBytes = defaultMaxBytes, log, metrics }: MemoryBudgetOptions = {},
): MemoryBudget {
  const shares = new Set<ShareState>();
  /** Steps that were taken since memory was last sufficient. */
  const steps = new Set<MemoryStep>();
  let usedBytes = 0;
  let timer: NodeJS.Timeout | undefined;

  return {
    begin,
    getUsedBytes: () => {
      shares.forEach(measure);
      return usedBytes;
    },
    getUnwrittenBytes: () =>
      sum(
        shares,
        ({ unwrittenBytes }) =>
          Math.max(0, unwrittenBytes - minBytesPerResponse),
      ),
    getMaxBytes: () => maxBytes,
  };

  function begin(holder?: MemoryHolder): MemoryShare {
    const share = createShareState(holder);

    return {
      trySet: (bytes) =>
        trySetPart(share, "bufferedBytes", { bytes, maxBytes }),
      trySetBody: (bytes) => trySetBody(share, bytes),
      follow: (source) => follow(share, source),
      mayGrow: () => {
        measure(share);
        return usedBytes <= maxBytes;
      },
      waitToRead: () => waitToRead(share),
      recordDrained: () => resume(share),
      release: () => release(share),
    };
  }

  function trySetPart(
    share: ShareState,
    part: "bodyBytes" | "bufferedBytes",
    { bytes, maxBytes: max }: {
      readonly bytes: number;
      readonly maxBytes: number;
    },
  ): boolean {
    const before = share[part];
    const usedBefore = usedBytes;
    share[part] = bytes;
    count(share);
    if (usedBytes <= max || usedBytes <= usedBefore) return true;
    share[part] = before;
    count(share);
    return false;
  }

  function trySetBody(share: ShareState, bytes: number): boolean {
    const isGranted = (bytes === 0 || usedBytes < maxBytes) &&
      trySetPart(share, "bodyBytes", {
        bytes,
        maxBytes: maxBytes * bodyLevel,
      });
    if (!isGranted) recordStep("body_refused", { bytes });
    return isGranted;
  }

  function follow(share: ShareState, source: MemorySource): () => void {
    share.sources.add(source);
    shares.add(share);
    return () => {
      share.sources.delete(source);
      measure(share);
    };
  }

  function waitToRead(share: ShareState): Promise<void> | undefined {
    measure(share);
    const bound = getReadAheadBytes();
    if (getResponseBytes(share) <= bound) return undefined;
    if (bound < maxBytes * readAheadShares.ofAll) {
      recordStep("reading_stopped", { boundBytes: Math.round(bound) });
    }
    watch();
    return new Promise((resolve) => {
      share.resume = resolve;
    });
  }

  /** Returns how many bytes a response may hold and still be read on. */
  function getReadAheadBytes(): number {
    return Math.min(
      maxBytes * readAheadShares.ofAll,
      Math.max(
        minBytesPerResponse,
        (maxBytes - usedBytes) * readAheadShares.ofFree,
      ),
    );
  }

  function measure(share: ShareState): void {
    if (share.sources.size === 0 && share.sourceBytes === 0) return;
    share.sourceBytes = 0;
    share.unwrittenBytes = 0;
    for (const { getHeldBytes, getTakenBytes } of share.sources) {
      const bytes = getHeldBytes();
      share.sourceBytes += bytes;
      if (getTakenBytes === undefined) continue;
      share.unwrittenBytes += bytes;
      const takenBytes = getTakenBytes();
      if (takenBytes <= share.takenBytes && bytes > 0) continue;
      share.takenBytes = takenBytes;
      share.progressAt = undefined;
    }
    count(share);
  }

  function count(share: ShareState): void {
    const bytes = share.bodyBytes + getResponseBytes(share);
    const countedBytes = Math.max(0, bytes - minBytesPerResponse);
    usedBytes += countedBytes - share.countedBytes;
    share.countedBytes = countedBytes;
    if (bytes > 0 || share.sources.size > 0) shares.add(share);
    else shares.delete(share);
    if (usedBytes > maxBytes * calmLevel) watch();
  }

  function watch(): void {
    timer ??= setTimeout(review, reviewIntervalMs).unref();
  }

  /** Measures all, resumes what may be read and gives up what must be. */
  function review(): void {
    timer = undefined;
    const now = performance.now();
    shares.forEach(measure);
    for (const share of shares) share.progressAt ??= now;
    while (usedBytes > maxBytes * breakLevel) {
      const largest = tryFindLargestStalled(now);
      if (largest === undefined) break;
      breakOff(largest);
    }
    const isWaiting = resumeReaders();
    if (usedBytes > maxBytes * calmLevel || isWaiting) return watch();
    shares.forEach((share) => {
      share.progressAt = undefined;
    });
    if (steps.size === 0) return;
    steps.clear();
    log?.info("Memory for callers suffices again", { usedBytes, maxBytes });
  }

  /** Resumes at half the bound; returns true when some still wait. */
  function resumeReaders(): boolean {
    let isWaiting = false;
    for (const share of shares) {
      if (share.resume === undefined) continue;
      // What is unread would never fall if the reader waited for it.
      const mayRead = share.unwrittenBytes === 0 ||
        getResponseBytes(share) <= getReadAheadBytes() / 2;
      if (mayRead) resume(share);
      else isWaiting = true;
    }
    return isWaiting;
  }

  function tryFindLargestStalled(now: number): ShareState | undefined {
    const minMs = usedBytes > maxBytes ? excessNoProgressMs : noProgressMs;
    let largest: ShareState | undefined;
    for (const share of shares) {
      const isStalled = share.holder !== undefined &&
        share.unwrittenBytes > minBytesPerResponse &&
        now - (share.progressAt ?? now) >= minMs;
      if (isStalled && share.countedBytes > (largest?.countedBytes ?? 0)) {
        largest = share;
      }
    }
    return largest;
  }

  function breakOff(share: ShareState): void {
    const { holder, unwrittenBytes } = share;
    recordStep("response_broken", {});
    log?.warn("Response is broken off for lack of memory", {
      ...{ requestId: holder?.requestId, unwrittenBytes, usedBytes, maxBytes },
    });
    release(share);
    holder?.breakOff();
  }

  function release(share: ShareState): void {
    share.sources.clear();
    share.bodyBytes = 0;
    share.bufferedBytes = 0;
    share.sourceBytes = 0;
    share.unwrittenBytes = 0;
    count(share);
    resume(share);
  }

  function recordStep(
    step: MemoryStep,
    fields: Readonly<Record<string, number>>,
  ): void {
    metrics?.count("memory_given_up_total", { step });
    watch();
    if (steps.has(step)) return;
    steps.add(step);
    log?.warn("Memory for callers runs short", {
      ...{ step, usedBytes, maxBytes, ...fields },
    });
  }
}

function createShareState(holder: MemoryHolder | undefined): ShareState {
  return {
    holder,
    sources: new Set(),
    bodyBytes: 0,
    bufferedBytes: 0,
    sourceBytes: 0,
    unwrittenBytes: 0,
    countedBytes: 0,
    takenBytes: 0,
    progressAt: undefined,
    resume: undefined,
  };
}

function resume(share: ShareState): void {
  share.resume?.();
  share.resume = undefined;
}

/** Returns what a response takes, without the body of its request. */
function getResponseBytes({ bufferedBytes, sourceBytes }: ShareState): number {
  return bufferedBytes + sourceBytes;
}

function sum<Item>(items: Iterable<Item>, get: (item: Item) => number): number {
  let total = 0;
  for (const item of items) total += get(item);
  return total;
}
