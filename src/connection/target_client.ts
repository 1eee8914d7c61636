/**
 * Calls the target over HTTP and classifies failures by whether the request may
 * have run.
 */

import { EitherAsync } from "purify-ts";
import type { Dispatcher } from "undici";
import type {
  OrderOutcome,
  TargetOrder,
} from "../process/attempts/order_gate.ts";
import type { OccupancyReport } from "../process/admission/orphan_load.ts";
import { createReadPace } from "../process/admission/read_pace.ts";
import type { HealthReport } from "../process/membership/health_checker.ts";
import type { Header } from "../types/work.ts";
import { discardBody, readBoundedText } from "./bounded_body.ts";
import { createHttpPool } from "./http_pool.ts";
import type { ResponseLimit } from "./response_limits.ts";
import { isConnectError } from "./target_connector.ts";

/**
 * The kind of a failed call:
 *
 * - `not_sent`: no byte reached the target, so nothing has run.
 * - `lost`: the connection failed later; the target may have run the request.
 * - `aborted`: this side aborted the call.
 */
export type TargetErrorKind = "not_sent" | "lost" | "aborted";

/** An error of a call to the target. */
export interface TargetError {
  readonly kind: TargetErrorKind;
  readonly message: string;
}

/** One call to the target. */
export interface TargetRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly signal: AbortSignal;
}

/** The target's response; its body is read at the reader's pace. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: readonly Header[];
  /** Throws errors that `toTargetError` classifies. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** A client of one target. */
export interface TargetClient {
  send(request: TargetRequest): EitherAsync<TargetError, TargetResponse>;
  /** Resumes a stream of an engine from an offset in events. */
  resume(stream: {
    readonly id: string;
    readonly offset: number;
    readonly signal: AbortSignal;
  }): EitherAsync<TargetError, TargetResponse>;
  /** Cancels a stream of an engine without waiting for the response. */
  cancelStream(id: string): void;
  /** Orders the engine to load or unload an adapter. */
  order(
    order: TargetOrder,
    options: { readonly timeoutMs: number },
  ): Promise<OrderOutcome>;
  checkHealth(): Promise<HealthReport>;
  /** Reads the load that the target reports; undefined when there is none. */
  tryReadLoad(): Promise<OccupancyReport | undefined>;
  close(): Promise<void>;
}

/** Connect timeout, in milliseconds. */
const connectTimeoutMs = 1_000;

/** Timeout of short calls, in milliseconds. */
const shortCallTimeoutMs = 1_000;

/** Maximum size of a report of health or load, in bytes. */
const maxReportBytes = 64 * 1024;

/** Headers that apply to a single connection and are not forwarded. */
const connectionHeaders = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "upgrade",
  "host",
  "content-length",
  "expect",
  "te",
  "trailer",
]);

/** Outcomes of an order by response status; the rest are `unknown`. */
const orderOutcomesByStatus: ReadonlyMap<number, OrderOutcome> = new Map([
  [200, "accepted"],
  [409, "fenced"],
  [400, "bad_action"],
]);

/** Creates a client of the target at a base URL. */
export function createTargetClient(
  target: string,
  options: {
    /** Called once for each response that is cut because of a limit. */
    readonly onLimitExceeded?: (limit: ResponseLimit) => void;
  } = {},
): TargetClient {
  const poolOptions = {
    connectTimeoutMs,
    readPace: createReadPace(),
    onLimitExceeded: (limit: ResponseLimit) => options.onLimitExceeded?.(limit),
  };
  const pool = createHttpPool(target, poolOptions);
  // Work gets connections of its own. Targets name no request in a response, so
  // a late copy of one would be taken for the next. Besides, when the target
  // closes an idle connection just as a call is sent on it, it is unknown
  // whether the call has run.
  const freshPool = createHttpPool(target, { ...poolOptions, isFresh: true });

  return { send, resume, cancelStream, order, checkHealth, tryReadLoad, close };

  function send(
    request: TargetRequest,
  ): EitherAsync<TargetError, TargetResponse> {
    return EitherAsync<TargetError, TargetResponse>(async ({ throwE }) => {
      try {
        return toTargetResponse(await dispatch(request));
      } catch (error) {
        return throwE(toTargetError(error));
      }
    });
  }

  function dispatch(
    request: TargetRequest,
  ): Promise<Dispatcher.ResponseData> {
    const headers = request.headers
      .filter(({ name }) => !connectionHeaders.has(name.toLowerCase()))
      .flatMap(({ name, value }) => [name, value]);
    const hasBody = request.method !== "GET" && request.method !== "HEAD";
    return freshPool.request({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: [...headers, "x-request-id", request.requestId],
      body: hasBody ? request.body : undefined,
      signal: request.signal,
    });
  }

  function resume(
    { id, offset, signal }: {
      readonly id: string;
      readonly offset: number;
      readonly signal: AbortSignal;
    },
  ): EitherAsync<TargetError, TargetResponse> {
    return EitherAsync<TargetError, TargetResponse>(async ({ throwE }) => {
      try {
        const data = await freshPool.request({
          method: "GET",
          path: `/v1/streams/${encodeURIComponent(id)}?offset=${offset}`,
          signal,
        });
        if (data.statusCode === 200) return toTargetResponse(data);
        discardBody(data.body, {
          maxBytes: maxReportBytes,
          timeoutMs: shortCallTimeoutMs,
        });
      } catch (error) {
        return throwE(toTargetError(error));
      }
      return throwE({ kind: "lost", message: "The stream no longer exists" });
    });
  }

  function cancelStream(id: string): void {
    pool.request({
      method: "POST",
      path: `/v1/streams/${encodeURIComponent(id)}/cancel`,
      signal: AbortSignal.timeout(shortCallTimeoutMs),
    }).then(
      ({ body }) => body.dump(),
      // The stream also ends with its connection; this call ends it sooner.
    ).catch(() => undefined);
  }

  async function order(
    { action, adapter, fencingNumber }: TargetOrder,
    { timeoutMs }: { readonly timeoutMs: number },
  ): Promise<OrderOutcome> {
    try {
      const { statusCode, body } = await freshPool.request({
        method: "POST",
        path: "/adapters",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          action,
          adapter,
          fencing_number: fencingNumber,
        }),
        signal: AbortSignal.timeout(timeoutMs),
      });
      await body.dump();
      return orderOutcomesByStatus.get(statusCode) ?? "unknown";
    } catch {
      return "unknown";
    }
  }

  async function checkHealth(): Promise<HealthReport> {
    try {
      const { statusCode, body } = await freshPool.request({
        method: "GET",
        path: "/health",
        signal: AbortSignal.timeout(shortCallTimeoutMs),
      });
      const text = await readBoundedText(body, { maxBytes: maxReportBytes });
      const state = statusCode < 500 ? "healthy" : "silent";
      return { state, instance: tryGetInstance(text) };
    } catch (error) {
      const hasTimedOut = (error as Error).name === "TimeoutError" ||
        (error as { code?: string }).code === "UND_ERR_CONNECT_TIMEOUT";
      return { state: hasTimedOut ? "silent" : "gone", instance: undefined };
    }
  }

  async function tryReadLoad(): Promise<OccupancyReport | undefined> {
    try {
      const { statusCode, body } = await pool.request({
        method: "GET",
        path: "/load",
        signal: AbortSignal.timeout(shortCallTimeoutMs),
      });
      const report = tryParseObject(
        await readBoundedText(body, { maxBytes: maxReportBytes }),
      );
      const running = report?.["running"];
      const waiting = report?.["waiting"];
      const at = report?.["at"];
      if (statusCode !== 200 || typeof at !== "number") return undefined;
      return { requests: Number(running) + Number(waiting), at };
    } catch {
      return undefined;
    }
  }

  async function close(): Promise<void> {
    await Promise.all([pool.destroy(), freshPool.destroy()]);
  }
}

/** Classifies an error of the HTTP library. */
export function toTargetError(error: unknown): TargetError {
  const { name, message } = error as Error;
  if (name === "AbortError") return { kind: "aborted", message };
  const kind = isConnectError(error) ? "not_sent" : "lost";
  return { kind, message: message ?? String(error) };
}

function toTargetResponse(data: Dispatcher.ResponseData): TargetResponse {
  // A body that breaks off emits an error even before anyone reads it; its
  // reader, if any, receives it too.
  data.body.on("error", () => undefined);
  const headers: Header[] = [];
  for (const [name, value] of Object.entries(data.headers)) {
    if (connectionHeaders.has(name)) continue;
    for (const one of [value ?? []].flat()) headers.push({ name, value: one });
  }
  return { status: data.statusCode, headers, body: data.body };
}

function tryGetInstance(text: string): string | undefined {
  const report = tryParseObject(text);
  const instance = report?.["instance"] ?? report?.["startedAt"];
  return instance === undefined ? undefined : String(instance);
}

function tryParseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" && value !== null
      ? value as Record<string, unknown>
      : undefined;
  } catch {
    return undefined;
  }
}
