/** One attempt as an agent receives it. */

import type { Attempt } from "./attempt.ts";
import type { Header, Priority, WorkEstimate } from "./work.ts";

/** What a router asks an agent to run. */
export interface RunOrder {
  readonly attempt: Attempt;
  /** The agent incarnation that the attempt is meant for. */
  readonly targetIncarnation: number;
  readonly requestId: string;
  readonly service: string;
  readonly workspace: string;
  readonly priority: Priority;
  /** Moment by which the caller wants the answer, in epoch milliseconds. */
  readonly deadlineAt: number;
  /** True when the request may run more than once. */
  readonly repeatable: boolean;
  /** Hash of the request's content. */
  readonly fingerprint: string;
  readonly estimate: WorkEstimate;
  /** Crashes of targets that the router knows the request took part in. */
  readonly crashes: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly isChat: boolean;
  /** Hash of the idempotency key with its workspace, or empty. */
  readonly claim: string;
  /** Loads of the targets that refused this request just before. */
  readonly observedLoads: readonly number[];
  /** Targets of the service that gave no answer just before. */
  readonly silentTargets: number;
  /** Hash of the conversation's key, 0 for a request without one. */
  readonly conversationHash: number;
  /** Messages of the chat, 0 for a service call. */
  readonly messageCount: number;
  /** Refuse unless the target holds the chat's latest context. */
  readonly onlyIfHeld: boolean;
}
