/** Shapes of the fault matrix of a request's life. */

/** What the request is. */
export const requestKinds = [
  "chat_streamed",
  "chat_whole",
  "call_repeatable",
  "call_once",
  "call_keyed",
] as const;

/** One kind of request. */
export type RequestKind = typeof requestKinds[number];

/** True for chats, which may run again. */
export function isChatKind(kind: RequestKind): boolean {
  return kind === "chat_streamed" || kind === "chat_whole";
}

/** The steps of a request's life at which a fault can strike. */
export const steps = [
  "before_claim",
  "after_claim",
  "before_dispatch",
  "on_the_way",
  "queued",
  "running",
  "mid_answer",
  "answered",
  "told",
] as const;

/** One step of a request's life. */
export type Step = typeof steps[number];

/** The faults that strike. */
export const faults = [
  "router_killed",
  "agent_killed",
  "agent_frozen",
  "agent_leaves",
  "target_killed",
  "cut_to_agent",
  "cut_from_agent",
  "cut_both",
  "slow_link",
  "stale_members",
  "store_down",
  "store_slow",
  "store_answer_lost",
] as const;

/** One fault. */
export type Fault = typeof faults[number];

/** One run of the matrix. */
export interface Cell {
  readonly kind: RequestKind;
  readonly step: Step;
  /** One fault, or two that strike together. */
  readonly faults: readonly Fault[];
  readonly seed: number;
}

/** What one caller was told, and what really happened. */
export interface Observation {
  readonly cell: Cell;
  /** True when the step was reached, so that the fault did strike. */
  readonly wasInjected: boolean;
  readonly callers: readonly CallerResult[];
  /** Drafts that targets wrote for the call, one for each run. */
  readonly drafts: readonly string[];
}

/** What one caller saw. */
export interface CallerResult {
  readonly requestId: string;
  /** Undefined when the router died before it could tell. */
  readonly outcome: "done" | "not_run" | "unknown" | "failed" | undefined;
  readonly code: string;
  readonly text: string;
  /** Runs of the call when the caller was told. */
  readonly runsAtEnd: number;
  /** Runs of this caller's own request in the end. */
  readonly ownRuns: number;
  readonly hasRouterCrashed: boolean;
}
