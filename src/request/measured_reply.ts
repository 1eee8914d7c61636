/** Measures when and with which status a response is written to the caller. */

import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Reply, ReplyHead } from "../types/reply.ts";

/** A reply that measures the times of its writes. */
export interface MeasuredReply {
  readonly reply: Reply;
  /** Returns the status of the target's response; undefined without one. */
  getTargetStatus(): number | undefined;
  /** Returns the time to first byte in milliseconds; undefined before it. */
  getFirstByteMs(): number | undefined;
  /** Returns the time since the arrival, in milliseconds. */
  getTotalMs(): number;
}

/** Wraps a reply and measures from the arrival of its request, or from now. */
export function createMeasuredReply(
  reply: Reply,
  metrics: Metrics,
  startedAt = performance.now(),
): MeasuredReply {
  let lastWriteAt: number | undefined;
  let firstByteMs: number | undefined;
  let targetStatus: number | undefined;

  return {
    reply: {
      disconnectSignal: reply.disconnectSignal,
      memory: reply.memory,
      start,
      write,
      end: reply.end,
    },
    getTargetStatus: () => targetStatus,
    getFirstByteMs: () => firstByteMs,
    getTotalMs: () => performance.now() - startedAt,
  };

  function start(head: ReplyHead): void {
    reply.start(head);
    targetStatus = head.status;
  }

  function write(data: Uint8Array): Promise<void> | undefined {
    const now = performance.now();
    if (lastWriteAt === undefined) firstByteMs = now - startedAt;
    else metrics.record("between_writes_ms", now - lastWriteAt);
    lastWriteAt = now;
    return reply.write(data);
  }
}
