/** Attempts as agents receive them. */

import type { Attempt } from "./attempt.ts";
import type { Header, Priority, WorkEstimate } from "./work.ts";

/** One attempt that a router asks an agent to run. */
export interface RunOrder {
  readonly attempt: Attempt;
  /** The agent incarnation that the attempt is meant for. */
  readonly targetIncarnation: number;
  readonly requestId: string;
  readonly service: string;
  readonly workspace: string;
  readonly priority: Priority;
  /** Deadline of the response, in epoch milliseconds. */
  readonly deadlineAt: number;
  /** True when the request may run more than once. */
  readonly repeatable: boolean;
  /** Hash of the request's content. */
  readonly fingerprint: string;
  readonly estimate: WorkEstimate;
  /** Number of known target crashes with the request in flight. */
  readonly crashes: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly isChat: boolean;
  /** Hash of the workspace, service and idempotency key, or empty. */
  readonly claim: string;
  /**
   * Loads that targets reported when they refused this request, in work units
   * per weight of 100.
   */
  readonly observedLoads: readonly number[];
  /** Number of the service's targets that recently did not respond. */
  readonly silentTargets: number;
  /** Hash of the conversation key; 0 for a request without one. */
  readonly conversationHash: number;
  /** Number of messages of a chat; 0 for a service call. */
  readonly messageCount: number;
  /** True when the target must refuse unless it holds the chat's context. */
  readonly onlyIfHeld: boolean;
}
