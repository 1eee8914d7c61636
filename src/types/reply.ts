/** The response to a caller, as a narrow host. */

import type { Outcome } from "./outcome.ts";
import type { Report } from "./diagnostics.ts";
import type { MemoryShare } from "./held_memory.ts";
import type { Header } from "./work.ts";

/** The end of a request, for the caller and for the log. */
export interface RequestEnd {
  readonly outcome: Outcome;
  /** Absent when the outcome is `done`. */
  readonly report: Report | undefined;
}

/** Status and headers of a response. */
export interface ReplyHead {
  readonly status: number;
  readonly headers: readonly Header[];
  /** Id of the target that responded. */
  readonly targetId: string;
  /** Length of a body that is known to be complete; otherwise undefined. */
  readonly length: number | undefined;
}

/** Writes one response to a caller. */
export interface Reply {
  /**
   * Aborted when the caller has closed the connection, or when the response has
   * ended early because the rest cannot be sent.
   */
  readonly disconnectSignal: AbortSignal;
  /** The memory of the request and its response, where it is counted. */
  readonly memory?: MemoryShare | undefined;
  /** Writes the head; called at most once. */
  start(head: ReplyHead): void;
  /**
   * Writes bytes of the body. Returns undefined when more can be written at
   * once; otherwise a promise that resolves when more can be written or the
   * caller has disconnected.
   */
  write(data: Uint8Array): Promise<void> | undefined;
  /** Ends the response; an error after the head is reported in the stream. */
  end(end: RequestEnd): void;
}

/** Statuses of responses without a body. */
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** Returns true when a response to this method with this status has a body. */
export function hasBody(method: string, status: number): boolean {
  return method !== "HEAD" && !statusesWithoutBody.has(status);
}
