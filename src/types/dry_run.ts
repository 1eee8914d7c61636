/** Dry runs: what would become of a request, as operators ask and see it. */

import type { PromptPart } from "./prompt.ts";

/** Path of the route at which a router answers dry runs. */
export const dryRunPath = "/dry-run";

/** A request that is asked about and not sent. */
export interface DryRunQuestion {
  /** Names the service, or the host and path that lead to it. */
  readonly place:
    | { readonly kind: "service"; readonly service: string }
    | { readonly kind: "path"; readonly host: string; readonly path: string };
  /** Workspace whose priority counts; undefined for a request without a key. */
  readonly workspace: string | undefined;
  /** Parts of the prompt in order; undefined for a request without a prompt. */
  readonly parts: readonly PromptPart[] | undefined;
  /** Id of the request whose stream is taken up. */
  readonly resumes: string | undefined;
}

/**
 * What keeps a request from a target.
 *
 * - `evacuated`: its zone is evacuated.
 * - `leaving`: it drains, said that it leaves, or its entry is gone.
 * - `paused`: it asked for a pause.
 * - `returning`: it has as many requests as the step after its pause allows.
 * - `limited`, `cold`: this router has no slot at its rate now.
 * - `other_version`: the stream may not begin or go on at its software version.
 * - `ejected`: it failed lately.
 * - `on_trial`: its half-open trial runs.
 * - `paced`: it has as many requests as its pace allows.
 * - `at_load_bound`: its load is too far above the mean of the service.
 * - `not_preferred`: its slot is kept for other prompts, it has no free slot while
 *   others have one, or it is too slow for a call that runs only once.
 * - `quarantined`: the request crashes targets and is sent to none.
 */
export type Obstacle =
  | "evacuated"
  | "leaving"
  | "paused"
  | "returning"
  | "limited"
  | "cold"
  | "other_version"
  | "ejected"
  | "on_trial"
  | "paced"
  | "at_load_bound"
  | "not_preferred"
  | "quarantined";

/** A target as the request would find it. */
export interface DryRunTarget {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly softwareVersion: string;
  /** True when the request may be sent to it now. */
  readonly isUsable: boolean;
  readonly obstacles: readonly Obstacle[];
  /** Requests that run or wait at the target, as far as known. */
  readonly load: number;
  readonly slots: number;
  /** Concurrent requests that its pace allows; absent without a pace. */
  readonly bound?: number | undefined;
  /** Slot that is free at a target with a rate. */
  readonly slot?: string | undefined;
  /** Tokens of the shared parts that it has cached; absent without a prompt. */
  readonly cachedTokens?: number | undefined;
  /** Expected time of work relative to the usual; absent without an estimate. */
  readonly slowdown?: number | undefined;
  /** Age of what the slowdown is estimated from, in milliseconds. */
  readonly speedAgeMs?: number | undefined;
  /** Expected time to the first event or of the call, in milliseconds. */
  readonly expectedMs?: number | undefined;
  /**
   * Cost by which it is compared: milliseconds of engine time for prompts, else
   * load per slot or, where speeds are estimated, usual runs.
   */
  readonly cost?: number | undefined;
  /** Probability with which the queue draws it; absent when it doesn't draw. */
  readonly chance?: number | undefined;
}

/** How the request would be refused. */
export interface DryRunRefusal {
  readonly code: string;
  readonly message: string;
  /** Middle of the times that callers are told, in milliseconds. */
  readonly retryAfterMs: number | undefined;
}

/**
 * What would become of the request.
 *
 * - `sent`: it would be sent at once.
 * - `waits`: it would wait in the queue.
 * - `waits_for_prefill`: it would wait for another request's prefill of its parts.
 * - `refused`: it would be refused.
 * - `asks_peers`: this router doesn't know at which version the stream began.
 */
export type DryRunOutcome =
  | "sent"
  | "waits"
  | "waits_for_prefill"
  | "refused"
  | "asks_peers";

/** The answer of a router. */
export interface DryRunAnswer {
  readonly router: string;
  /** Version of the configuration. */
  readonly version: number;
  readonly route: {
    readonly name: string;
    readonly host: string;
    readonly prefix: string;
    readonly kind: string;
    readonly latencyGoalMs: number;
    readonly timeoutMs: number;
    /** Services of the route with their shares of its requests, from 0 to 1. */
    readonly shares: readonly {
      readonly service: string;
      readonly share: number;
    }[];
  };
  readonly service: string;
  readonly priorityClass: number;
  /** True while callers compete, so that requests may wait. */
  readonly hasContention: boolean;
  readonly outcome: DryRunOutcome;
  readonly refusal?: DryRunRefusal | undefined;
  /** Place in the queue; absent when the request would not wait in it. */
  readonly queue?: {
    readonly position: number;
    readonly waitMs: number;
  } | undefined;
  /**
   * Id of the chosen target, if it went now; with draws or equal costs the most
   * likely one.
   */
  readonly target?: string | undefined;
  /** Id of the engine that cached parts would be copied from. */
  readonly fetchFrom?: string | undefined;
  /** Longest wait for the prefill of another request, in milliseconds. */
  readonly prefillWaitMs?: number | undefined;
  /** Who tells the version of a stream that is taken up. */
  readonly streamVersion?: string | undefined;
  /** Known targets of the service, in any state. */
  readonly targets: readonly DryRunTarget[];
}
