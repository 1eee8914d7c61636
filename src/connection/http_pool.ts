/**
 * Connections over which a process calls HTTP servers that may be at fault. What
 * the HTTP library does not check of a response is checked before it gets there.
 */

import { type Dispatcher, Pool } from "undici";
import {
  createReadPace,
  type ReadPace,
} from "../process/admission/read_pace.ts";
import { isResponseStatus } from "../types/response_status.ts";
import { spoiledErrorCode } from "./call_errors.ts";
import { createPacedReading } from "./paced_reading.ts";
import {
  createResponseLimits,
  type ResponseLimitsOptions,
} from "./response_limits.ts";
import { createTargetConnector } from "./target_connector.ts";

/** What the connections of a pool have in common. */
export interface HttpPoolOptions {
  readonly connectTimeoutMs: number;
  /** Maximum number of connections; none by default. */
  readonly connections?: number;
  /** True for connections that carry one request each. */
  readonly isFresh?: boolean;
  /** Timeouts of idle connections, in milliseconds. */
  readonly keepAlive?: Pick<
    Pool.Options,
    "keepAliveTimeout" | "keepAliveTimeoutThreshold"
  >;
  /** Pace at which responses are read; by default one of the pool's own. */
  readonly readPace?: ReadPace | undefined;
  /** Further checks of requests and responses, the innermost first. */
  readonly checks?: readonly Dispatcher.DispatcherComposeInterceptor[];
  /** Called once for each response that is cut because of a limit. */
  readonly onLimitExceeded?: ResponseLimitsOptions["onExceeded"];
}

/** Creates a pool, which connects with the first call; callers set timeouts. */
export function createHttpPool(
  origin: string,
  {
    connectTimeoutMs,
    connections,
    isFresh = false,
    keepAlive = {},
    readPace = createReadPace(),
    checks = [],
    onLimitExceeded = () => undefined,
  }: HttpPoolOptions,
): Dispatcher {
  const limits = createResponseLimits({ onExceeded: onLimitExceeded });
  return new Pool(origin, {
    ...keepAlive,
    connections: connections ?? null,
    connect: createTargetConnector({ timeoutMs: connectTimeoutMs, limits }),
    headersTimeout: 0,
    bodyTimeout: 0,
    ...(isFresh ? { pipelining: 0 } : {}),
  }).compose(
    limits.interceptor,
    createPacedReading(readPace),
    ...checks,
    checkStatus,
  );
}

/**
 * Ends a response whose status is none. The library passes such a one on, and
 * fails in an assertion for the low ones. An error that is thrown here closes the connection.
 */
function checkStatus(dispatch: Dispatcher["dispatch"]): Dispatcher["dispatch"] {
  return (request, handler) => {
    const onHeaders = handler.onHeaders?.bind(handler);
    handler.onHeaders = (...args) => {
      const [status] = args;
      if (!isResponseStatus(status)) throw createStatusError(status);
      return onHeaders?.(...args) ?? true;
    };
    return dispatch(request, handler);
  };
}

function createStatusError(status: number): Error {
  return Object.assign(new Error(`The response has the status ${status}`), {
    code: spoiledErrorCode,
  });
}
