/**
 * Calls targets over HTTP without an agent and classifies failures by whether
 * the request may have run.
 */

import {
  createWithheldError,
  hasCode,
  isWithheld,
  spoiledErrorCode,
} from "./call_errors.ts";
import type { Dispatcher } from "undici";
import type { Log } from "../process/telemetry/log.ts";
import type {
  DirectCall,
  DirectCalls,
  DirectHead,
  DirectResult,
  Hold,
  TargetNotice,
} from "../types/direct_calls.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import { isFinalStatus } from "../types/response_status.ts";
import type { PromptPart } from "../types/prompt.ts";
import type { Header } from "../types/work.ts";
import { closeOnThrow, discardBody, readBoundedText } from "./bounded_body.ts";
import type { HttpPoolOptions } from "./http_pool.ts";
import { parseRawHeaders } from "./raw_headers.ts";
import type { ResponseLimit } from "./response_limits.ts";
import { toTargetError } from "./target_client.ts";
import { createTargetPools, type TargetPools } from "./target_pools.ts";

/** The encoding of requests to targets and of their responses. */
export interface TargetCodec {
  /** Returns the request headers as alternating names and values. */
  encodeHeaders(call: DirectCall): string[];
  /** Checks that a response belongs to the call and decodes its head. */
  decodeHead(
    status: number,
    headers: readonly Header[],
    call: DirectCall,
  ):
    | { readonly kind: "head"; readonly head: DirectHead }
    | Extract<
      DirectResult,
      { readonly kind: "refused" | "wrong_target" | "spoiled" }
    >;
  /** Decodes what the target says of itself in any response. */
  decodeNotice(
    status: number,
    headers: readonly Header[],
    target: DirectTarget,
  ): TargetNotice;
  /** Path at which a target lists its cached parts. */
  readonly partsPath: string;
  decodeParts(body: string): readonly PromptPart[];
  /**
   * Decodes the start of the process from the same list, in epoch milliseconds;
   * undefined where it is not told.
   */
  tryDecodeStart?(body: string): number | undefined;
}

/** What the client needs from the process. */
export interface DirectClientHost extends Pick<HttpPoolOptions, "readPace"> {
  readonly codec: TargetCodec;
  readonly log: Log;
  /** Returns how many connections this process may open to one target. */
  getMaxConnections(service: string): number;
  /**
   * Returns why a target gets no requests now, or none that copies cached parts
   * from an address; undefined when it does.
   */
  tryGetHold(target: DirectTarget, fetchFrom?: string): Hold | undefined;
  /** As `tryGetHold`, for a request that is sent for no caller. */
  tryGetOwnRequestHold?(target: DirectTarget): Hold | undefined;
  /** Handles the start of its process that an engine names, in epoch ms. */
  handleStart?(target: DirectTarget, startedAtMs: number): void;
  /** Handles what a target says of itself; called for each response. */
  handleNotice(
    target: DirectTarget,
    notice: TargetNotice,
    options: {
      /**
       * When the request of this response was sent, on the monotonic clock;
       * undefined when the response may be that of another one.
       */
      readonly sentAt: number | undefined;
    },
  ): void;
  /** Runs what reads a piece of a response. */
  measureResponse?<Result>(read: () => Result): Result;
  /** Called once for each response that is cut because of a limit. */
  onLimitExceeded(limit: ResponseLimit): void;
}

/** A client for all targets. */
export interface DirectClient extends DirectCalls {
  /** Closes connections once they are idle, except to the given addresses. */
  retain(addresses: ReadonlySet<string>): void;
  /** Withholds the calls that wait for a connection to one of the addresses. */
  withholdWaiting(isHeld: (address: string) => boolean): void;
  close(): Promise<void>;
}

/** Timeout of a request for the list of cached parts, in milliseconds. */
const listPartsTimeoutMs = 1_500;

/** Maximum size of the list of cached parts, in bytes. */
const maxPartsBytes = 2 * 1024 * 1024;

/** Maximum size of the body of a refusal, in bytes. */
const maxRefusalBytes = 128 * 1024;

/** Bytes of a response that wait to be read, above which none are received. */
const maxUnreadBytes = 16 * 1024;

/** Timeout for the body of a refusal, in milliseconds. */
const refusalBodyTimeoutMs = 1_000;

/** Creates a client; it connects with the first call to a target. */
export function createDirectClient(host: DirectClientHost): DirectClient {
  const pools = new Map<string, TargetPools>();
  /** When calls were written to a connection, on the monotonic clock. */
  const sentTimes = new WeakMap<DirectCall, number>();
  /**
   * Headers of the responses as they arrived. The library decodes them as
   * UTF-8, from which their bytes cannot be restored.
   */
  const receivedHeaders = new WeakMap<DirectCall, readonly Header[]>();

  return { send, tryListCachedParts, retain, withholdWaiting, close };

  async function send(call: DirectCall): Promise<DirectResult> {
    try {
      const data = await dispatch(call);
      return data === undefined
        ? { kind: "withheld", hold: getWaitHold(call) }
        : closeOnThrow(data.body, () => classifyResponse(call, data));
    } catch (error) {
      if (call.signal.aborted) {
        return sentTimes.has(call)
          ? { kind: "aborted" }
          : { kind: "withheld", hold: "late" };
      }
      if (hasCode(error, spoiledErrorCode)) {
        return { kind: "spoiled", reason: error.message };
      }
      if (isWithheld(error)) return { kind: "withheld", hold: error.hold };
      const { kind, message } = toTargetError(error);
      return kind === "not_sent"
        ? { kind, reason: message }
        : { kind: "lost", reason: message };
    }
  }

  /** Returns why a call that waited for a connection was not sent. */
  function getWaitHold({ target, fetchFrom }: DirectCall): Hold {
    return host.tryGetHold(target, fetchFrom) ?? "busy";
  }

  /** Sends a call in its turn, with the time that is left then. */
  function dispatch(
    call: DirectCall,
  ): Promise<Dispatcher.ResponseData | undefined> {
    const { persistent, fresh, queue, recentIds } = getPools(call.target);
    // On a kept connection, a late response to the earlier request of this id
    // could not be told from the one to this request.
    const isRepeated = recentIds.add(call.requestId);
    const dispatcher = call.needsFreshConnection || isRepeated
      ? fresh
      : persistent;
    const queuedAt = performance.now();
    return queue.trySend(() => {
      const deadlineMs = call.deadlineMs - (performance.now() - queuedAt);
      return dispatcher.request({
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: host.codec.encodeHeaders({ ...call, deadlineMs }),
        body: call.body.length > 0 || hasBody(call.method) ? call.body : null,
        signal: call.signal,
        opaque: call.target,
        // The library's type declarations misname these options.
        ...{ responseHeaders: "raw", call, highWaterMark: maxUnreadBytes },
      });
    }, call);
  }

  /**
   * Checks for a hold at the last moment: a request may have waited for a
   * connection since its target was chosen.
   */
  function createHoldCheck(
    dispatch: Dispatcher["dispatch"],
  ): Dispatcher["dispatch"] {
    return (options, handler) => {
      const target = tryGetTarget(options);
      const { call } = options as { readonly call?: DirectCall };
      const connect = handler.onConnect?.bind(handler);
      handler.onConnect = (...args) => {
        // The library connects calls too that were aborted in its queue.
        if (call?.signal.aborted === true) throw createWithheldError("late");
        const hold = (target && host.tryGetHold(target, call?.fetchFrom)) ??
          (call === undefined
            ? target && host.tryGetOwnRequestHold?.(target)
            : call.tryGetHold?.());
        // An error that is thrown here leaves the connection open.
        if (hold !== undefined) throw createWithheldError(hold);
        if (call !== undefined) {
          sentTimes.set(call, performance.now());
          call.recordSent?.();
        }
        connect?.(...args);
      };
      return dispatch(options, handler);
    };
  }

  /**
   * Closes the connection when a response arrives that is not the call's. The
   * target may still run the call, and its response would be taken for that of
   * the next one. Only an error that is thrown here closes it also when the
   * whole response has arrived at once.
   */
  function createResponseCheck(
    dispatch: Dispatcher["dispatch"],
  ): Dispatcher["dispatch"] {
    return (options, handler) => {
      const { call } = options as { readonly call?: DirectCall };
      const handleHeaders = handler.onHeaders?.bind(handler);
      if (call === undefined || handleHeaders === undefined) {
        return dispatch(options, handler);
      }
      handler.onHeaders = (...args) => {
        const [status, rawHeaders] = args;
        if (isFinalStatus(status)) checkHead(call, status, rawHeaders);
        return handleHeaders(...args);
      };
      return dispatch(options, handler);
    };
  }

  function createResponseMeasure(
    dispatch: Dispatcher["dispatch"],
  ): Dispatcher["dispatch"] {
    const { measureResponse } = host;
    if (measureResponse === undefined) return dispatch;
    return (options, handler) => {
      const handleHeaders = handler.onHeaders?.bind(handler);
      const handleData = handler.onData?.bind(handler);
      handler.onHeaders = (...args) =>
        measureResponse(() => handleHeaders?.(...args) ?? true);
      handler.onData = (data) =>
        measureResponse(() => handleData?.(data) ?? true);
      return dispatch(options, handler);
    };
  }

  function checkHead(
    call: DirectCall,
    status: number,
    rawHeaders: readonly Buffer[],
  ): void {
    const headers = parseRawHeaders(rawHeaders);
    receivedHeaders.set(call, headers);
    const result = host.codec.decodeHead(status, headers, call);
    if (result.kind !== "spoiled") return;
    const { target } = call;
    const notice = host.codec.decodeNotice(status, headers, target);
    host.handleNotice(target, notice, { sentAt: undefined });
    throw Object.assign(new Error(result.reason), { code: spoiledErrorCode });
  }

  function classifyResponse(
    call: DirectCall,
    data: Dispatcher.ResponseData,
  ): DirectResult {
    const { statusCode: status } = data;
    const headers = receivedHeaders.get(call) ?? [];
    const notice = host.codec.decodeNotice(status, headers, call.target);
    host.handleNotice(call.target, notice, { sentAt: sentTimes.get(call) });
    const result = host.codec.decodeHead(status, headers, call);
    // A destroyed body emits an error; its reader, if any, receives it too.
    data.body.on("error", () => undefined);
    if (result.kind === "head") {
      const drop = (): void => void data.body.destroy();
      return { kind: "answer", head: result.head, body: data.body, drop };
    }
    if (result.kind === "spoiled") {
      data.body.destroy();
    } else {
      // The body of a refusal is short; once read, the connection is reusable.
      discardBody(data.body, {
        maxBytes: maxRefusalBytes,
        timeoutMs: refusalBodyTimeoutMs,
      });
    }
    return result;
  }

  async function tryListCachedParts(
    target: DirectTarget,
  ): Promise<readonly PromptPart[] | undefined> {
    try {
      const { persistent, queue } = getPools(target);
      const signal = AbortSignal.timeout(listPartsTimeoutMs);
      const data = await queue.trySend(() =>
        persistent.request({
          method: "GET",
          path: host.codec.partsPath,
          signal,
          opaque: target,
          ...{ responseHeaders: "raw" },
        }), { signal });
      if (data === undefined) return undefined;
      const { statusCode, body } = data;
      const headers = parseRawHeaders(data.headers as unknown as string[]);
      closeOnThrow(data.body, () => {
        const notice = host.codec.decodeNotice(statusCode, headers, target);
        host.handleNotice(target, notice, { sentAt: undefined });
      });
      const text = await readBoundedText(body, { maxBytes: maxPartsBytes });
      if (statusCode === 200) {
        const startedAtMs = host.codec.tryDecodeStart?.(text);
        if (startedAtMs !== undefined) host.handleStart?.(target, startedAtMs);
        return host.codec.decodeParts(text);
      }
      host.log.warn("Engine did not list its cached parts", {
        target: target.id,
        status: statusCode,
      });
    } catch (error) {
      host.log.warn("Engine did not list its cached parts", {
        target: target.id,
        reason: String(error),
      });
    }
    return undefined;
  }

  function getPools(target: DirectTarget): TargetPools {
    const existing = pools.get(target.address);
    if (existing !== undefined) return existing;
    const { service } = target;
    const maxConnections = host.getMaxConnections(service);
    const created = createTargetPools(target.address, {
      maxConnections,
      getMaxCalls: () =>
        Math.min(maxConnections, host.getMaxConnections(service)),
      checks: [createHoldCheck, createResponseCheck, createResponseMeasure],
      ...{ onLimitExceeded, readPace: host.readPace },
    });
    pools.set(target.address, created);
    return created;
  }

  function onLimitExceeded(
    limit: ResponseLimit,
    request: Dispatcher.DispatchOptions,
  ): void {
    const target = tryGetTarget(request);
    host.log.warn("Response exceeds a limit", { target: target?.id, limit });
    host.onLimitExceeded(limit);
  }

  function retain(addresses: ReadonlySet<string>): void {
    for (const [address, { persistent, fresh, queue }] of pools) {
      if (addresses.has(address)) continue;
      pools.delete(address);
      queue.close();
      // Pools close when their sent requests have ended.
      void Promise.allSettled([persistent.close(), fresh.close()]);
    }
  }

  function withholdWaiting(isHeld: (address: string) => boolean): void {
    for (const [address, { queue }] of pools) {
      if (isHeld(address)) queue.endWaiting();
    }
  }

  async function close(): Promise<void> {
    await Promise.all([...pools.values()].flatMap((pool) => {
      pool.queue.close();
      return [pool.persistent.destroy(), pool.fresh.destroy()];
    }));
  }
}

function tryGetTarget(
  request: Dispatcher.DispatchOptions,
): DirectTarget | undefined {
  return (request as { readonly opaque?: DirectTarget }).opaque;
}

function hasBody(method: string): boolean {
  return method === "POST" || method === "PUT" || method === "PATCH";
}
