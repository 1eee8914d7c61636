/** Calls that a router makes to targets without an agent, as a narrow host. */

import type { DirectTarget } from "./direct_target.ts";
import type { PromptPart } from "./prompt.ts";
import type { Header } from "./work.ts";

/** One try of one request at one target. */
export interface DirectCall {
  readonly target: DirectTarget;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Headers of the caller that may be passed on. */
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Workspace that the target is told; undefined on public routes. */
  readonly workspace: string | undefined;
  /** Time in which the target should end, in milliseconds. */
  readonly deadlineMs: number;
  /** Urgency that the target is told, 0 is first and 9 last. */
  readonly priorityClass: number;
  /** Address of a target whose cache the target should copy from. */
  readonly fetchFrom: string | undefined;
  /** Id of the last event that reached the caller, to go on after it. */
  readonly lastEventId: string | undefined;
  /** A connection of its own, so that no stray answer can be mistaken. */
  readonly needsFreshConnection: boolean;
  readonly signal: AbortSignal;
}

/** What a target said of its load in an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Status and headers of an answer that belongs to the request. */
export interface DirectHead {
  readonly status: number;
  readonly headers: readonly Header[];
  /** The body can be followed event by event. */
  readonly isEventStream: boolean;
  /** Length of the body when the target told it, in bytes. */
  readonly length: number | undefined;
  readonly load: ReportedLoad | undefined;
}

/**
 * - `answer`: the target's answer begins.
 * - `refused`: the target says that it has not run the request.
 * - `wrong_target`: another incarnation has the address; nothing has run.
 * - `not_sent`: no connection was made, so nothing has run.
 * - `lost`: the connection broke after the request went out.
 * - `spoiled`: bytes came that are not the answer to this request.
 * - `aborted`: the signal came first.
 */
export type DirectResult =
  | {
    readonly kind: "answer";
    readonly head: DirectHead;
    /** Throws when the answer breaks off; whole when it ends. */
    readonly body: AsyncIterable<Uint8Array>;
    /** Closes the connection under an answer that is not wanted. */
    drop(): void;
  }
  | { readonly kind: "refused"; readonly status: number }
  | { readonly kind: "wrong_target" }
  | { readonly kind: "not_sent"; readonly reason: string }
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "spoiled"; readonly reason: string }
  | { readonly kind: "aborted" };

/** Calls to targets. */
export interface DirectCalls {
  send(call: DirectCall): Promise<DirectResult>;
  /**
   * Asks an engine for the parts in its cache. The call costs the engine time;
   * undefined when it gave no list.
   */
  tryListCachedParts(
    target: DirectTarget,
  ): Promise<readonly PromptPart[] | undefined>;
}
