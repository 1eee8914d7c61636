/** What running a request needs from the rest of the process. */

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

/** The long-lived parts that every request uses. */
export interface RequestHost {
  readonly calls: AgentCalls;
  readonly members: Pick<MemberView, "getAvailableAgents" | "recordContact">;
  readonly configuration: Pick<ConfigurationView, "getConfiguration">;
  readonly crashes: Pick<CrashView, "getCrashes">;
  readonly limits: LimitView;
  readonly placement: Placement;
  readonly refusals: RefusalCache;
  readonly retries: RetryBudget;
  readonly attempts: AttemptNumbers;
  readonly digests: BodyDigests;
  readonly claims: ClaimHost;
  /** Hashes the key of a conversation to 32 bits. */
  hashConversation(key: string): number;
}

/** What the log says of a request. */
export interface RequestSummary {
  readonly end: RequestEnd;
  /** The last target that was asked; empty when there was none. */
  readonly target: string;
  /** Attempts that were made. */
  readonly tries: number;
  /** What decided for the last target, for the log. */
  readonly decision?: Readonly<Record<string, string | number>>;
}
