/** What running a request needs from the process, and the summary to log. */

import type { AttemptNumbers } from "../process/attempts/attempt_numbers.ts";
import type { BodyDigests } from "../process/attempts/body_digest.ts";
import type { Placement } from "../process/placement/placement.ts";
import type { RefusalCache } from "../process/placement/refusal_cache.ts";
import type { RetryBudget } from "../process/limits/retry_budget.ts";
import type { AgentCalls } from "../types/agent_calls.ts";
import type { RequestEnd } from "../types/reply.ts";
import type {
  ConfigurationView,
  CrashView,
  LimitView,
  MemberView,
} from "../types/view.ts";
import type { ClaimHost } from "./claim.ts";

/** The long-lived components that all requests share. */
export interface RequestHost {
  readonly calls: AgentCalls;
  readonly members: Pick<
    MemberView,
    "getAvailableAgents" | "recordContact" | "tryGetMember"
  >;
  readonly configuration: Pick<ConfigurationView, "getConfiguration">;
  readonly crashes: Pick<CrashView, "getCrashes">;
  readonly limits: LimitView;
  readonly placement: Placement;
  readonly refusals: RefusalCache;
  readonly retries: RetryBudget;
  readonly attempts: AttemptNumbers;
  readonly digests: BodyDigests;
  readonly claims: ClaimHost;
  /**
   * Aborted shortly before the end of the router's grace period; nothing new is
   * sent then.
   */
  readonly closingSignal: AbortSignal;
  /** Hashes the key of a conversation to 32 bits. */
  hashConversation(key: string): number;
}

/** What is logged about a request. */
export interface RequestSummary {
  readonly end: RequestEnd;
  /** Id of the target of the last attempt; empty without an attempt. */
  readonly target: string;
  /** Number of attempts. */
  readonly tries: number;
  /** The values that the choice of the last target was based on. */
  readonly decision?: Readonly<Record<string, string | number>>;
  /** How late after its deadline the request was stopped, in milliseconds. */
  readonly stopLateMs?: number | undefined;
}
