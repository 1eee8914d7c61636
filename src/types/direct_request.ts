/** Requests of callers to targets that are reached directly. */

import type { Prompt } from "./prompt.ts";
import type { DirectRoute, KeyHolder } from "./route_table.ts";
import type { Header } from "./work.ts";

/** When a request arrived, and the waits before it was handled. */
export interface RequestArrival {
  /** Earliest time at which it can have arrived, on the monotonic clock. */
  readonly at: number;
  /** Time until it was read, in milliseconds. */
  readonly unreadMs: number;
  /** Time until its body was complete, in milliseconds. */
  readonly bodyMs: number;
  /** Time until the process had a turn for it, in milliseconds. */
  readonly turnMs: number;
}

/** A request as the caller sent it, before it is matched to a route. */
export interface FrontendRequest {
  readonly requestId: string;
  readonly host: string;
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  /** Headers that may be forwarded to a target. */
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Time that the caller will wait, in milliseconds; undefined if unknown. */
  readonly deadlineMs: number | undefined;
  /** API key of the caller. */
  readonly key: string | undefined;
  readonly prompt: Prompt | undefined;
  /** Id of the event after which a stream should resume. */
  readonly lastEventId: string | undefined;
  /** Id of the request that began the stream that this one takes up. */
  readonly resumes: string | undefined;
}

/** A request that the configuration allows, with its route. */
export interface DirectRequest extends FrontendRequest {
  readonly route: DirectRoute;
  readonly service: string;
  /** Workspace that the key belongs to; undefined without a key. */
  readonly holder: KeyHolder | undefined;
  /** Version of the route table that the request was matched against. */
  readonly tableVersion: number;
  /** Time of arrival on the monotonic clock, in milliseconds. */
  readonly arrivedAt: number;
  /** Time by which the response must be complete, on the monotonic clock. */
  readonly deadlineAt: number;
}
