/** A caller's request on its way to a target that is reached directly. */

import type { Prompt } from "./prompt.ts";
import type { DirectRoute, KeyHolder } from "./route_table.ts";
import type { Header } from "./work.ts";

/** A request as the caller sent it, before a route is chosen. */
export interface FrontendRequest {
  readonly requestId: string;
  readonly host: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** Headers that may be passed on to a target. */
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Time that the caller waits from now on, ms; undefined if not told. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  readonly prompt: Prompt | undefined;
  /** Event after which a stream should go on. */
  readonly lastEventId: string | undefined;
}

/** A request that the configuration allows. */
export interface DirectRequest extends FrontendRequest {
  readonly route: DirectRoute;
  readonly service: string;
  readonly holder: KeyHolder | undefined;
  /** Version of the configuration that decided. */
  readonly tableVersion: number;
  /** Moment of arrival, on the steady clock in milliseconds. */
  readonly arrivedAt: number;
  /** Moment by which an answer must have ended, on the steady clock. */
  readonly deadlineAt: number;
}
