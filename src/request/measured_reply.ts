/** Measures when the parts of an answer reach the caller. */

import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Reply } from "../types/reply.ts";

/** A reply with the times of its parts. */
export interface MeasuredReply {
  readonly reply: Reply;
  /** Time from the start to the first byte; undefined before it. */
  getFirstByteMs(): number | undefined;
  /** Time from the start until now, in milliseconds. */
  getTotalMs(): number;
}

/** Starts to measure one request. */
export function createMeasuredReply(
  reply: Reply,
  metrics: Metrics,
): MeasuredReply {
  const startedAt = performance.now();
  let lastWriteAt: number | undefined;
  let firstByteMs: number | undefined;

  return {
    reply: {
      disconnectSignal: reply.disconnectSignal,
      start: reply.start,
      write,
      end: reply.end,
    },
    getFirstByteMs: () => firstByteMs,
    getTotalMs: () => performance.now() - startedAt,
  };

  function write(data: Uint8Array): Promise<void> | undefined {
    const now = performance.now();
    if (lastWriteAt === undefined) firstByteMs = now - startedAt;
    else metrics.record("between_writes_ms", now - lastWriteAt);
    lastWriteAt = now;
    return reply.write(data);
  }
}
