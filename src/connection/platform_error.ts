/** Turns failures of the platform's HTTP calls into errors of its layer. */

import type { PlatformError, PlatformErrorKind } from "../types/platform.ts";

/** Whether a call can change what the service holds. */
export type CallKind = "read" | "write";

/** Builds an error of the platform layer. */
export function createPlatformError(
  kind: PlatformErrorKind,
  message: string,
  retryAfterMs = 0,
): PlatformError {
  return { kind, message, retryAfterMs };
}

/**
 * Judges a call that ended without an answer. Only a connection that was never
 * made proves that a write did not happen.
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

/** Judges an answer other than 200; the service states what it did not do. */
export function toResponseError(
  status: number,
  body: unknown,
  kind: CallKind,
): PlatformError {
  const message = tryGetMessage(body) ?? `The service answered ${status}`;
  if (status === 409) return createPlatformError("conflict", message);
  if (status === 503 || status === 429) {
    return createPlatformError("unavailable", message, getRetryAfterMs(body));
  }
  // A client error is refused before it is applied.
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
