/** Client of the admin listener of a running process. */

import { type Either, Left, Right } from "purify-ts";
import { request } from "undici";
import { readBoundedText } from "../connection/bounded_body.ts";
import { createReport } from "../types/diagnostics.ts";
import { type ErrorBody, toErrorBody } from "./output.ts";

/**
 * A call that failed. `refused`: the process refused it and changed nothing.
 * `unreachable`: no response was received, or the outcome is unknown.
 */
export interface AdminCallError {
  readonly kind: "refused" | "unreachable";
  readonly errors: readonly ErrorBody[];
}

/** One call to an admin listener. */
export interface AdminRequest {
  readonly method: "GET" | "POST";
  /** Address of the listener, `ip:port`. */
  readonly address: string;
  readonly path: string;
  readonly body?: unknown;
  /** Timeout of the call in milliseconds, if it should be short. */
  readonly timeoutMs?: number;
}

/** Timeout for the headers of a response, in milliseconds. */
const headersTimeoutMs = 30_000;

/** Timeout of a call, in milliseconds. */
const callTimeoutMs = 60_000;

/** Maximum size of a response, in bytes. */
const maxResponseBytes = 64 * 1024 * 1024;

/** Error codes after which the outcome of a call is unknown. */
const unknownOutcomeCodes: readonly string[] = ["patch_outcome_unknown"];

/** Sends a call and returns the JSON body of the response. */
export async function callAdmin(
  call: AdminRequest,
): Promise<Either<AdminCallError, unknown>> {
  const { address, method, path, timeoutMs = callTimeoutMs } = call;
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      headersTimeout: headersTimeoutMs,
      signal: AbortSignal.timeout(timeoutMs),
      ...(call.body === undefined ? {} : {
        body: JSON.stringify(call.body),
        headers: { "content-type": "application/json" },
      }),
    });
    const body: unknown = JSON.parse(
      await readBoundedText(response.body, { maxBytes: maxResponseBytes }),
    );
    if (response.statusCode < 400) return Right(body);
    const { errors } = body as { readonly errors: readonly ErrorBody[] };
    const isOutcomeUnknown = errors.some(({ code }) =>
      unknownOutcomeCodes.includes(code)
    );
    return Left({ kind: isOutcomeUnknown ? "unreachable" : "refused", errors });
  } catch (error) {
    const { code, message, name } = error as NodeJS.ErrnoException;
    const reason = name === "TimeoutError"
      ? `no response within ${timeoutMs} ms`
      : code ?? message;
    const report = createReport("admin_unreachable", { address, reason });
    return Left({ kind: "unreachable", errors: [toErrorBody(report)] });
  }
}
