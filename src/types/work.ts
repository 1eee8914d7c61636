/** Requests in the form that all decision modules use. */

/** Priority of a request: `interactive` means that a person is waiting. */
export type Priority = "interactive" | "background";

/** All priorities, highest first. */
export const priorities: readonly Priority[] = ["interactive", "background"];

/** Estimated work of one request, in tokens. */
export interface WorkEstimate {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Prompt tokens that are expected in the target's cache. */
  readonly cachedTokens: number;
}

/** One HTTP header. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** A chat request or a service call that the router has validated. */
export interface Work {
  /** Id that identifies the request in the logs of router, agent and target. */
  readonly requestId: string;
  readonly kind: "chat" | "call";
  readonly service: string;
  readonly workspace: string;
  /** Conversation id of a chat; empty for a service call. */
  readonly conversation: string;
  /** Number of messages of a chat; 0 for a service call. */
  readonly messageCount: number;
  readonly priority: Priority;
  /** Deadline of the response, in epoch milliseconds. */
  readonly deadlineAt: number;
  /** True when the request may run more than once. */
  readonly repeatable: boolean;
  /** The caller's idempotency key, if any. */
  readonly idempotencyKey: string | undefined;
  /** Hash of service, path and body. */
  readonly fingerprint: string;
  readonly estimate: WorkEstimate;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Id of the target that the caller's hint names, if any. */
  readonly hintedTargetId: string | undefined;
}
