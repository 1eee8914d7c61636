/** The calls from routers to targets without an agent, as a narrow host. */

import type { DirectTarget } from "./direct_target.ts";
import type { PromptPart } from "./prompt.ts";
import type { Header } from "./work.ts";

/** One attempt of one request at one target. */
export interface DirectCall {
  readonly target: DirectTarget;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** The caller's headers that may be forwarded. */
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Workspace to forward to the target; undefined on public routes. */
  readonly workspace: string | undefined;
  /** Time in which the target should finish, in milliseconds. */
  readonly deadlineMs: number;
  /** Priority to forward to the target, from 0 (highest) to 9 (lowest). */
  readonly priorityClass: number;
  /** Address of another target from which to copy cached parts. */
  readonly fetchFrom: string | undefined;
  /** Id of the last event that reached the caller; the stream resumes there. */
  readonly lastEventId: string | undefined;
  /**
   * True when the call needs a new connection, on which no late response to
   * another request can arrive.
   */
  readonly needsFreshConnection: boolean;
  /** Aborts the call. */
  readonly signal: AbortSignal;
  /** Returns why the request must not be written to a connection now. */
  tryGetHold?(): Hold | undefined;
  /** Called when the request is written to a connection. */
  recordSent?(): void;
}

/** The load that a target reports in a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * Time that work takes on the target's machine at this moment, relative to
   * the usual time; undefined when the target does not report it.
   */
  readonly slowdown: number | undefined;
}

/** Status and headers of a response that is verified to match the request. */
export interface DirectHead {
  readonly status: number;
  readonly headers: readonly Header[];
  /** True when the body is a stream of server-sent events. */
  readonly isEventStream: boolean;
  /** Length of the body in bytes, if the target announced it. */
  readonly length: number | undefined;
  readonly load: ReportedLoad | undefined;
}

/** Throws when the body is truncated; complete when the iterator ends. */
export interface ResponseBody extends AsyncIterable<Uint8Array> {
  /** Bytes that have arrived and were not read. */
  readonly readableLength?: number;
}

/** What a target says of itself in a response, whatever the response is. */
export interface TargetNotice {
  /** True when the target is about to exit and wants no new requests. */
  readonly isLeaving: boolean;
  readonly pause: AskedPause;
  readonly limit: NamedLimit;
  readonly warmUp: ToldWarmUp;
}

/**
 * How much longer the target bears few requests after a start.
 *
 * - `untold`: the response says nothing of it.
 * - `told`: the time in milliseconds; 0 and above.
 * - `unreadable`: the response names a time in a form that is not supported.
 */
export type ToldWarmUp =
  | { readonly kind: "untold" }
  | { readonly kind: "told"; readonly leftMs: number }
  | { readonly kind: "unreadable"; readonly text: string };

/**
 * The rate of requests that a target takes from all routers together.
 *
 * - `untold`: the response says nothing of the limit.
 * - `none`: the target limits nothing.
 * - `named`: the target takes that many requests a second.
 * - `unreadable`: the response names a rate in a form that is not supported.
 */
export type NamedLimit =
  | { readonly kind: "untold" }
  | { readonly kind: "none" }
  | { readonly kind: "named"; readonly perS: number }
  | { readonly kind: "unreadable"; readonly text: string };

/**
 * The time for which a target wants no requests.
 *
 * - `none`: the response asks for no pause.
 * - `asked`: the target wants nothing for that time.
 * - `unreadable`: the response names a time in a form that is not supported.
 */
export type AskedPause =
  | { readonly kind: "none" }
  | { readonly kind: "asked"; readonly ms: number }
  | { readonly kind: "unreadable"; readonly text: string };

/**
 * Why a request is not sent to a target that is registered: the target leaves,
 * has asked for a pause, has all connections in use or takes no more requests now,
 * its zone, or that of the target to copy from, is evacuated, or the request itself
 * is quarantined or past its deadline.
 */
export type Hold =
  | "leaving"
  | "evacuated"
  | "paused"
  | "busy"
  | "limited"
  | "quarantined"
  | "late";

/**
 * The result of a call:
 *
 * - `answer`: the head of the response has arrived.
 * - `refused`: the target states that it has not run the request.
 * - `wrong_target`: another incarnation has the address, and states the same.
 * - `not_sent`: no connection was established, so nothing has run.
 * - `withheld`: a hold kept the request from being sent; nothing has run.
 * - `lost`: the connection broke after the request was sent.
 * - `spoiled`: the received bytes are not the response to this request.
 * - `aborted`: the signal was aborted after the request was sent.
 */
export type DirectResult =
  | {
    readonly kind: "answer";
    readonly head: DirectHead;
    readonly body: ResponseBody;
    /** Discards the response and closes its connection. */
    drop(): void;
  }
  | {
    readonly kind: "refused" | "wrong_target";
    readonly status: number;
  }
  | { readonly kind: "not_sent"; readonly reason: string }
  | { readonly kind: "withheld"; readonly hold: Hold }
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "spoiled"; readonly reason: string }
  | { readonly kind: "aborted" };

/** The calls to targets. */
export interface DirectCalls {
  /** Sends a request once and reports how the call ended. */
  send(call: DirectCall): Promise<DirectResult>;
  /**
   * Asks an engine which prompt parts are in its cache; undefined when it
   * returned no list. The call costs the engine time.
   */
  tryListCachedParts(
    target: DirectTarget,
  ): Promise<readonly PromptPart[] | undefined>;
}

/**
 * Result of a connection attempt without a request: `refuses` when nothing
 * listens at the address, `unknown` when the path to it is broken or slow.
 */
export type ProbeResult = "accepts" | "refuses" | "unknown";
