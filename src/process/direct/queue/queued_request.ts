/** Requests that ask for a place at the targets of a service. */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { EngineTraits } from "../../../types/route_table.ts";

/** A request as the queue sees it. */
export interface QueuedRequest {
  readonly service: string;
  /** Priority class from 0 (most urgent) to 9. */
  readonly priorityClass: number;
  /** Workspace; empty without one. */
  readonly workspace: string;
  /** What identifies the request when it comes back after a refusal. */
  readonly returnKey: string;
  /** Size of the body, in bytes. */
  readonly bytes: number;
  /** Cache tokens that the request fills while it runs; 0 for plain calls. */
  readonly tokens: number;
  /** Traits of the service's engines; undefined for plain targets. */
  readonly engine: EngineTraits | undefined;
  /** Time of arrival on the monotonic clock, in milliseconds. */
  readonly arrivedAt: number;
  /** Latency goal of the route, in milliseconds. */
  readonly goalMs: number;
  /** Time by which the response must be complete, on the monotonic clock. */
  readonly deadlineAt: number;
  /**
   * True when the goal counts to the first event; otherwise to the end of the
   * response.
   */
  readonly isStream: boolean;
  /** True when the request may run only once. */
  readonly isUnsafe: boolean;
  /** True when the caller takes up a stream that was interrupted. */
  readonly isResumed: boolean;
  /** Returns true when the request may be sent to a target. */
  mayUse(target: DirectTarget): boolean;
}

/**
 * Why a request was not given a place.
 *
 * - `late`: it could not begin before its deadline.
 * - `full`: the queue has no place for it.
 * - `displaced`: it gave its place in the queue to a more urgent one.
 * - `stopping`: the router stops.
 */
export type QueueRefusalReason = "late" | "full" | "displaced" | "stopping";

/** A refusal with the expected time until there is room. */
export interface QueueRefusal {
  readonly reason: QueueRefusalReason;
  /** Expected wait of a request that arrives now, in milliseconds. */
  readonly waitMs: number;
}

/** A place at the targets of a service, from before the send to its end. */
export interface Place {
  /**
   * Target that the request should go to; undefined when it is chosen by other
   * means. Plain targets are drawn by the square of their room, since routers
   * that all choose the least loaded one of the last digests overload it.
   */
  readonly target: DirectTarget | undefined;
  /** Records that the first event of a stream has arrived. */
  recordFirstEvent(): void;
  /** Gives the place back; only the first call counts. */
  end(): void;
}

/** How a wait ended. */
export type WaitEnd =
  | { readonly kind: "place"; readonly place: Place }
  | { readonly kind: "refused"; readonly refusal: QueueRefusal }
  | { readonly kind: "left" };

/** What a request got at once: the end of its wait, or a wait. */
export type QueueEntry =
  | Exclude<WaitEnd, { readonly kind: "left" }>
  | {
    readonly kind: "waiting";
    /** Number of requests that wait ahead or beside it, with itself. */
    readonly position: number;
    readonly end: Promise<WaitEnd>;
    /** Ends the wait of a request whose caller has left. */
    leave(): void;
  };

/** A target and the probability with which a plain call is sent to it. */
export interface TargetChance {
  readonly target: DirectTarget;
  readonly chance: number;
}

/** What a request would get at once if it came now. */
export type QueuePreview =
  | {
    readonly kind: "place";
    /** Plain targets that are drawn from; empty when chosen by other means. */
    readonly targets: readonly TargetChance[];
  }
  | {
    readonly kind: "waiting";
    /** Number of requests that wait ahead or beside it, with itself. */
    readonly position: number;
    /** Expected wait, in milliseconds. */
    readonly waitMs: number;
  }
  | { readonly kind: "refused"; readonly refusal: QueueRefusal };
