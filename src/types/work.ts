/** Requests in the shape that every decision module reads. */

/** How soon the answer is needed: a person waits for it, or nobody does. */
export type Priority = "interactive" | "background";

/** All priorities, the most urgent first. */
export const priorities: readonly Priority[] = ["interactive", "background"];

/** Estimated work of one request, in tokens. */
export interface WorkEstimate {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Prompt tokens expected in the target's cache. */
  readonly cachedTokens: number;
}

/** One HTTP header. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** A chat request or a service call, after the router has checked it. */
export interface Work {
  /** Traces the request through logs of router, agent and target. */
  readonly requestId: string;
  readonly kind: "chat" | "call";
  readonly service: string;
  readonly workspace: string;
  /** Conversation id of a chat; empty for a service call. */
  readonly conversation: string;
  /** Messages of a chat; 0 for a service call. */
  readonly messageCount: number;
  readonly priority: Priority;
  /** Moment by which the caller wants the answer, in epoch milliseconds. */
  readonly deadlineAt: number;
  /** True when the request may run more than once. */
  readonly repeatable: boolean;
  /** The caller's idempotency key, when it gave one. */
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
