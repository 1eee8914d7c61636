/** The caller's side of one request, as a narrow host. */

import type { Outcome } from "./outcome.ts";
import type { Report } from "./diagnostics.ts";
import type { Header } from "./work.ts";

/** How a request ended, for the caller and for the log. */
export interface RequestEnd {
  readonly outcome: Outcome;
  /** Absent when the outcome is `done`. */
  readonly report: Report | undefined;
}

/** Status and headers of an answer. */
export interface ReplyHead {
  readonly status: number;
  readonly headers: readonly Header[];
  /** Id of the target that gave the answer. */
  readonly targetId: string;
  /** Length of a body that is known to be whole, else undefined. */
  readonly length: number | undefined;
}

/** Writes one answer to a caller. */
export interface Reply {
  /** Aborted when the caller has closed the connection. */
  readonly disconnectSignal: AbortSignal;
  /** Writes the head; at most once. */
  start(head: ReplyHead): void;
  /**
   * Writes bytes of the body. Undefined when there is room for more, else a
   * promise that resolves once there is, or once the caller has gone.
   */
  write(data: Uint8Array): Promise<void> | undefined;
  /** Ends the answer; an error after the head is told in the stream. */
  end(end: RequestEnd): void;
}
