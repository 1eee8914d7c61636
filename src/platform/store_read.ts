/** Measures the reading of one response of the store. */

import type { StoreRead, WatchOptions } from "../types/directory.ts";

/** Size from which a body counts as long, in bytes. */
const longBodyBytes = 64 * 1024;

/** Time since its head after which a body counts as long, in milliseconds. */
const longBodyMs = 100;

/** The reading of one response. */
export interface ResponseRead {
  /** Records the head; the size of the body is 0 when it is not told. */
  recordHead(bodyBytes: number): void;
  /** Records a piece of the body with its size in bytes. */
  recordPiece(bytes: number): void;
  /** Returns what has arrived of the body, in bytes. */
  getBytes(): number;
  recordEnd(): void;
  /** Stops; returns what was read, undefined without a head. */
  clear(): StoreRead | undefined;
}

/** Starts to measure a call whose response has not begun. */
export function startRead(
  call: StoreRead["call"],
  handleLongBody: WatchOptions["onLongBody"],
): ResponseRead {
  let timer: NodeJS.Timeout | undefined;
  let headAt: number | undefined;
  let bytes = 0;
  let isComplete = false;
  let isLong = false;

  return {
    recordHead,
    recordPiece: (length) => {
      bytes += length;
      if (bytes >= longBodyBytes) reportLongBody();
    },
    getBytes: () => bytes,
    recordEnd: () => {
      isComplete = true;
    },
    clear,
  };

  function recordHead(bodyBytes: number): void {
    headAt = performance.now();
    if (bodyBytes >= longBodyBytes) return reportLongBody();
    timer = setTimeout(reportLongBody, longBodyMs).unref();
  }

  function reportLongBody(): void {
    clearTimeout(timer);
    if (!isLong) handleLongBody?.();
    isLong = true;
  }

  function clear(): StoreRead | undefined {
    clearTimeout(timer);
    if (headAt === undefined) return undefined;
    return { call, bytes, bodyMs: performance.now() - headAt, isComplete };
  }
}
