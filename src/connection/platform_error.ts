/** Converts failures of HTTP calls to the platform to platform errors. */

import type { PlatformError, PlatformErrorKind } from "../types/platform.ts";

/** Whether a call only reads the service's data or may change it. */
export type CallKind = "read" | "write";

/** Creates a platform error. */
export function createPlatformError(
  kind: PlatformErrorKind,
  message: string,
  retryAfterMs = 0,
): PlatformError {
  return { kind, message, retryAfterMs };
}

/**
 * Classifies a call that ended without a response. Only a connection that was
 * never established proves that a write was not applied.
 */
export function toConnectionError(
  cause: unknown,
  kind: CallKind,
): PlatformError {
  const message = tryGetMessage(cause) ?? String(cause);
  return kind === "read" || isConnectFailure(cause)
    ? createPlatformError("unavailable", message)
    : createPlatformError("unknown", message);
}

/** Classifies a response by its status, which is not 200. */
export function toResponseError(
  status: number,
  body: unknown,
  kind: CallKind,
): PlatformError {
  const message = tryGetMessage(body) ??
    `The service responded with status ${status}`;
  if (status === 409) return createPlatformError("conflict", message);
  if (status === 503 || status === 429) {
    return createPlatformError("unavailable", message, getRetryAfterMs(body));
  }
  // The service rejects a call with a client error before it applies it.
  if (kind === "read" || (status >= 400 && status < 500)) {
    return createPlatformError("unavailable", message);
  }
  return createPlatformError("unknown", message);
}

function isConnectFailure(cause: unknown): boolean {
  return tryGetField(cause, "syscall") === "connect" ||
    tryGetField(cause, "code") === "UND_ERR_CONNECT_TIMEOUT";
}

function tryGetMessage(body: unknown): string | undefined {
  const message = tryGetField(body, "message");
  return typeof message === "string" ? message : undefined;
}

function getRetryAfterMs(body: unknown): number {
  const retryAfterMs = tryGetField(body, "retryAfterMs");
  return typeof retryAfterMs === "number" ? retryAfterMs : 0;
}

function tryGetField(body: unknown, name: string): unknown {
  return typeof body === "object" && body !== null
    ? (body as Record<string, unknown>)[name]
    : undefined;
}
