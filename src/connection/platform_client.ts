/** Calls the platform's key-value service and VM list over HTTP. */

import { type Either, EitherAsync, Left, Right } from "purify-ts";
import type {
  Entry,
  Platform,
  PlatformError,
  PutOptions,
  Vm,
  WatchEvent,
} from "../types/platform.ts";
import { createBackOff } from "./back_off.ts";
import { parseBoundedJson } from "./bounded_json.ts";
import { readBoundedText } from "./bounded_body.ts";
import { createCallBudget } from "./call_budget.ts";
import { createHttpPool } from "./http_pool.ts";
import { createRenewedPool, type RenewedPool } from "./renewed_pool.ts";
import {
  type CallKind,
  createPlatformError,
  toConnectionError,
  toResponseError,
} from "./platform_error.ts";

/** The addresses of the platform's services and the limits on calls to them. */
export interface PlatformClientOptions {
  /** Base URL of the key-value service. */
  readonly keyValue: string;
  /** Base URL of the VM list. */
  readonly vmList: string;
  readonly callsPerSecond: number;
  /** Response timeout, in milliseconds. */
  readonly timeoutMs?: number;
}

/** Numbers of calls since the process started, for dumps and metrics. */
export interface PlatformCallCounts {
  readonly sent: number;
  readonly failed: number;
  /** Calls not sent because of the budget or the back-off. */
  readonly heldBack: number;
}

/** A platform that is called over HTTP. */
export interface PlatformClient extends Platform {
  getCalls(): PlatformCallCounts;
  close(): Promise<void>;
}

/** Default response timeout, in milliseconds. */
const defaultTimeoutMs = 2000;

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 1_000;

/** Maximum size of a response, in bytes. */
const maxResponseBytes = 64 * 1024 * 1024;

/** Maximum number of connections for short calls. */
const maxCallConnections = 16;

/** Maximum number of connections for watches, which stay open for long. */
const maxWatchConnections = 4;

interface Call {
  readonly kind: CallKind;
  readonly pool: RenewedPool;
  readonly path: string;
  readonly body?: Readonly<Record<string, unknown>>;
  readonly timeoutMs: number;
}

/** Creates a client; it connects with the first call. */
export function createPlatformClient(
  options: PlatformClientOptions,
): PlatformClient {
  const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
  const callPool = createPool(options.keyValue, maxCallConnections);
  const watchPool = createPool(options.keyValue, maxWatchConnections);
  // The service names no call in its responses. On a kept connection a late copy
  // of one would be taken for the success of the next write, such as a claim.
  const writePool = createPool(options.keyValue, maxCallConnections, {
    isFresh: true,
  });
  const vmPool = createPool(options.vmList, 1);
  const budget = createCallBudget(options.callsPerSecond);
  const backOff = createBackOff({ random: Math.random });
  const vmBackOff = createBackOff({ random: Math.random });
  const counts = { sent: 0, failed: 0, heldBack: 0 };

  return {
    get,
    list,
    put,
    remove,
    watch,
    createLease,
    renewLease,
    listVms,
    getCalls: () => ({ ...counts }),
    close,
  };

  function get(key: string): EitherAsync<PlatformError, Entry | undefined> {
    return read<{ entry: Entry | null }>("/kv/entry", { key })
      .map(({ entry }) => entry ?? undefined);
  }

  function list(
    prefix: string,
    range: { readonly after?: string; readonly limit: number },
  ): EitherAsync<PlatformError, readonly Entry[]> {
    return read<{ entries: readonly Entry[] }>("/kv/entries", {
      prefix,
      after: range.after ?? "",
      limit: String(range.limit),
    }).map(({ entries }) => entries);
  }

  function put(
    key: string,
    value: string,
    { expectedRevision, lease }: PutOptions,
  ): EitherAsync<PlatformError, number> {
    return write<{ revision: number }>("/kv/put", {
      key,
      value,
      expectedRevision,
      lease,
    }).map(({ revision }) => revision);
  }

  function remove(
    key: string,
    expectedRevision: number,
  ): EitherAsync<PlatformError, void> {
    return write("/kv/remove", { key, expectedRevision })
      .map(() => undefined);
  }

  function watch(
    prefix: string,
    range: { readonly afterRevision: number; readonly waitMs: number },
  ): EitherAsync<PlatformError, readonly WatchEvent[]> {
    const path = addQuery("/kv/watch", {
      prefix,
      after: String(range.afterRevision),
      wait: String(range.waitMs),
    });
    return startCall<{ events: readonly WatchResponseEvent[] }>({
      kind: "read",
      pool: watchPool,
      path,
      timeoutMs: range.waitMs + timeoutMs,
    }).map(({ events }) => events.map(toWatchEvent));
  }

  function createLease(ttlMs: number): EitherAsync<PlatformError, string> {
    return write<{ lease: string }>("/kv/leases", { ttlMs })
      .map(({ lease }) => lease);
  }

  function renewLease(lease: string): EitherAsync<PlatformError, void> {
    return write("/kv/leases/renew", { lease }).map(() => undefined);
  }

  function listVms(): EitherAsync<PlatformError, readonly Vm[]> {
    return startCall<{ vms: readonly Vm[] }>({
      kind: "read",
      pool: vmPool,
      path: "/vms",
      timeoutMs,
    }).map(({ vms }) => vms);
  }

  function read<T>(
    path: string,
    query: Readonly<Record<string, string>>,
  ): EitherAsync<PlatformError, T> {
    return startCall({
      kind: "read",
      pool: callPool,
      path: addQuery(path, query),
      timeoutMs,
    });
  }

  function write<T>(
    path: string,
    body: Readonly<Record<string, unknown>>,
  ): EitherAsync<PlatformError, T> {
    return startCall({ kind: "write", pool: writePool, path, body, timeoutMs });
  }

  /** Sends the call immediately and exactly once, however often awaited. */
  function startCall<T>(call: Call): EitherAsync<PlatformError, T> {
    const result = sendIfAllowed<T>(call);
    return EitherAsync.fromPromise(() => result);
  }

  async function sendIfAllowed<T>(
    call: Call,
  ): Promise<Either<PlatformError, T>> {
    const callBackOff = call.pool === vmPool ? vmBackOff : backOff;
    const delayMs = callBackOff.getDelayMs();
    if (delayMs > 0) {
      counts.heldBack++;
      return Left(createPlatformError(
        "unavailable",
        "The service recently failed to respond",
        Math.ceil(delayMs),
      ));
    }
    const budgetDelayMs = budget.take();
    if (budgetDelayMs > 0) {
      counts.heldBack++;
      return Left(createPlatformError(
        "over_budget",
        "The call budget of the process is exhausted",
        budgetDelayMs,
      ));
    }
    counts.sent++;
    const result = await send<T>(call);
    if (hasServiceResponded(result)) {
      callBackOff.recordSuccess();
    } else {
      counts.failed++;
      callBackOff.recordFailure();
    }
    return result;
  }

  async function send<T>(call: Call): Promise<Either<PlatformError, T>> {
    try {
      const response = await call.pool.request({
        method: call.body === undefined ? "GET" : "POST",
        path: call.path,
        signal: AbortSignal.timeout(call.timeoutMs),
        ...(call.body === undefined ? {} : {
          headers: { "content-type": "application/json" },
          body: JSON.stringify(call.body),
        }),
      });
      const text = await readBoundedText(response.body, {
        maxBytes: maxResponseBytes,
      });
      return parseResponse<T>(response.statusCode, text, call.kind);
    } catch (cause) {
      return Left(toConnectionError(cause, call.kind));
    }
  }

  async function close(): Promise<void> {
    await Promise.all(
      [callPool, watchPool, writePool, vmPool].map((pool) => pool.destroy()),
    );
  }
}

interface WatchResponseEvent {
  readonly key: string;
  readonly value?: string;
  readonly revision: number;
}

function toWatchEvent(event: WatchResponseEvent): WatchEvent {
  return { key: event.key, value: event.value, revision: event.revision };
}

function createPool(
  base: string,
  connections: number,
  options: { readonly isFresh?: boolean } = {},
): RenewedPool {
  return createRenewedPool(() =>
    createHttpPool(new URL(base).origin, {
      ...{ ...options, connections, connectTimeoutMs },
    })
  );
}

function addQuery(
  path: string,
  query: Readonly<Record<string, string>>,
): string {
  return `${path}?${new URLSearchParams(query).toString()}`;
}

/** Parses a response; one that is not JSON throws and counts as missing. */
function parseResponse<T>(
  status: number,
  text: string,
  kind: CallKind,
): Either<PlatformError, T> {
  const body: unknown = parseBoundedJson(text);
  return status === 200
    ? Right(body as T)
    : Left(toResponseError(status, body, kind));
}

/**
 * Returns true for a success or a conflict. Any other error counts as a failure
 * of the service and starts or extends the back-off.
 */
function hasServiceResponded(result: Either<PlatformError, unknown>): boolean {
  return result.caseOf({
    Right: () => true,
    Left: ({ kind }) => kind === "conflict",
  });
}
