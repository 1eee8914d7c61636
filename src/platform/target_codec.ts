/** Encodes calls to targets and decodes the heads of their responses. */

import { parseBoundedJson } from "../connection/bounded_json.ts";
import type { TargetCodec } from "../connection/direct_client.ts";
import type {
  AskedPause,
  DirectCall,
  NamedLimit,
  ReportedLoad,
  TargetNotice,
  ToldWarmUp,
} from "../types/direct_calls.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import type { PromptPart } from "../types/prompt.ts";
import { canStateNotRun } from "../types/not_run_proof.ts";
import { isEventStream } from "../types/response.ts";
import {
  limitCount,
  limitTimeMs,
  tryGetEpochMs,
  tryGetPartTokens,
} from "../types/stated_numbers.ts";
import type { Header } from "../types/work.ts";
import { getArray, tryGetObject } from "./json_fields.ts";
import { cachedPartsPath, headerNames } from "./wire_names.ts";

/** Headers of a response that belong to its connection; not forwarded. */
const unforwardedHeaders: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "content-length",
  "upgrade",
  "te",
  "trailer",
]);

/** Status of a target that has another id than expected. */
const wrongTargetStatus = 421;

/** Status with which a target turns requests away for a time. */
const unavailableStatus = 503;

/** A whole or fractional number without sign and exponent. */
const decimalPattern = /^\d+(\.\d+)?$/;

const msPerSecond = 1_000;

/** Value of the header of a target that is about to exit. */
const leavingValue = "1";

/** The platform's protocol between routers and targets. */
export const targetCodec: TargetCodec = {
  encodeHeaders,
  decodeHead,
  decodeNotice,
  partsPath: cachedPartsPath,
  decodeParts,
  tryDecodeStart,
};

function encodeHeaders(call: DirectCall): string[] {
  const headers = call.headers.flatMap(({ name, value }) => [name, value]);
  addHeader(headerNames.requestId, call.requestId);
  addHeader(
    headerNames.deadline,
    String(Math.max(1, Math.floor(call.deadlineMs))),
  );
  addHeader(headerNames.expectedTarget, call.target.id);
  addHeader(headerNames.workspace, call.workspace);
  addHeader(headerNames.priorityClass, String(call.priorityClass));
  addHeader(headerNames.fetchFrom, call.fetchFrom);
  addHeader(headerNames.lastEventId, call.lastEventId);
  return headers;

  function addHeader(name: string, value: string | undefined): void {
    if (value !== undefined) headers.push(name, value);
  }
}

/**
 * Decodes status and headers. A response counts as corrupted without the
 * request's id, without a target's signature or with an encoding. What a target
 * says of a request that it has not run needs the id too: on a connection that
 * has carried other requests it may belong to one of them. A 421 that does not
 * say so is a response like any other.
 */
function decodeHead(
  status: number,
  rawHeaders: readonly Header[],
  call: DirectCall,
): ReturnType<TargetCodec["decodeHead"]> {
  const headers = indexHeaders(rawHeaders);
  const requestId = headers.get(headerNames.requestId);
  if (requestId === undefined) {
    return createCorruptedResult("The response has no request id");
  }
  if (requestId !== call.requestId) {
    return createCorruptedResult("The response has another request's id");
  }
  if (headers.has(headerNames.notRun)) {
    if (!canStateNotRun(status)) {
      return createCorruptedResult(
        `A refusal cannot have the status ${status}`,
      );
    }
    const kind = status === wrongTargetStatus ? "wrong_target" : "refused";
    return { kind, status };
  }
  if (!headers.has(headerNames.signature)) {
    return createCorruptedResult(
      `The response with status ${status} has no signature of a target`,
    );
  }
  if (headers.has("content-encoding")) {
    return createCorruptedResult(
      "The response has an encoding that was not requested",
    );
  }
  const length = headers.get("content-length");
  return {
    kind: "head",
    head: {
      status,
      headers: rawHeaders.filter(({ name }) =>
        !unforwardedHeaders.has(name.toLowerCase())
      ),
      isEventStream: status === 200 && isEventStream(rawHeaders),
      length: length === undefined ? undefined : Number(length),
      load: tryParseLoad(headers.get(headerNames.load)),
    },
  };
}

/**
 * Decodes what a target says of itself. The response of another target at the
 * same address says nothing of this one, but may name a limit or a warm-up time,
 * which concern the address.
 */
function decodeNotice(
  status: number,
  rawHeaders: readonly Header[],
  target: DirectTarget,
): TargetNotice {
  const headers = indexHeaders(rawHeaders);
  const limit = decodeLimit(headers.get(headerNames.rateLimit));
  const warmUp = decodeWarmUp(headers.get(headerNames.warmUpLeft));
  const respondingTarget = headers.get(headerNames.respondingTarget);
  const isOther = status === wrongTargetStatus ||
    (respondingTarget !== undefined && respondingTarget !== target.id);
  if (isOther) {
    return {
      isLeaving: false,
      pause: { kind: "none" },
      // Its absence may be that of the target which answered.
      limit: limit.kind === "none" ? { kind: "untold" } : limit,
      warmUp,
    };
  }
  return {
    isLeaving: headers.get(headerNames.leaving) === leavingValue,
    pause: status === unavailableStatus
      ? decodePause(headers.get(headerNames.retryAfter))
      : { kind: "none" },
    limit,
    warmUp,
  };
}

/** Decodes a decimal number of requests a second; 0 and above. */
function decodeLimit(text: string | undefined): NamedLimit {
  if (text === undefined) return { kind: "none" };
  const perS = Number(text);
  return decimalPattern.test(text) && Number.isFinite(perS)
    ? { kind: "named", perS }
    : { kind: "unreadable", text };
}

/** Decodes a number of milliseconds. */
function decodeWarmUp(text: string | undefined): ToldWarmUp {
  if (text === undefined) return { kind: "untold" };
  const leftMs = Number(text);
  return decimalPattern.test(text) && Number.isFinite(leftMs)
    ? { kind: "told", leftMs: limitTimeMs(leftMs) }
    : { kind: "unreadable", text };
}

/** Decodes a number of seconds; dates are not supported. */
function decodePause(text: string | undefined): AskedPause {
  if (text === undefined) return { kind: "none" };
  const ms = Number(text) * msPerSecond;
  return decimalPattern.test(text) && Number.isFinite(ms)
    ? { kind: "asked", ms: limitTimeMs(ms) }
    : { kind: "unreadable", text };
}

/** Returns the headers by lower-case name. */
function indexHeaders(
  headers: readonly Header[],
): ReadonlyMap<string, string> {
  return new Map(headers.map(({ name, value }) => [name.toLowerCase(), value]));
}

function createCorruptedResult(
  reason: string,
): ReturnType<TargetCodec["decodeHead"]> {
  return { kind: "spoiled", reason };
}

/**
 * Parses running requests, waiting requests and slots, and the time that work
 * takes in percent of the usual time where the target reports it; undefined when
 * a number is missing or malformed.
 */
function tryParseLoad(text: string | undefined): ReportedLoad | undefined {
  const fields = (text ?? "").split(",").map((field) => field.trim());
  if (!fields.every((field) => decimalPattern.test(field))) return undefined;
  const [running, waiting, slots, percent] = fields
    .map((field) => limitCount(Number(field)));
  if (running === undefined || waiting === undefined || slots === undefined) {
    return undefined;
  }
  const slowdown = percent === undefined || percent === 0
    ? undefined
    : percent / 100;
  return { running, waiting, slots, slowdown };
}

/**
 * Decodes the list of cached parts, `held`. Each row holds an empty string, the
 * part's id, its tokens and the model.
 */
function decodeParts(body: string): readonly PromptPart[] {
  const { held } = tryGetObject(parseBoundedJson(body)) ?? {};
  return getArray(held).flatMap((row) => {
    const [, id, stated] = getArray(row);
    const tokens = tryGetPartTokens(stated);
    return typeof id === "string" && tokens !== undefined
      ? [{ id, tokens }]
      : [];
  });
}

/** Decodes `born` of a list of cached parts. */
function tryDecodeStart(body: string): number | undefined {
  const { born } = tryGetObject(parseBoundedJson(body)) ?? {};
  return tryGetEpochMs(born);
}
