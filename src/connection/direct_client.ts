/** Calls targets over HTTP without an agent and tells what a failure proves. */

import type { Socket } from "node:net";
import { buildConnector, type Dispatcher, Pool } from "undici";
import type { Log } from "../process/telemetry/log.ts";
import type {
  DirectCall,
  DirectCalls,
  DirectHead,
  DirectResult,
} from "../types/direct_calls.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import type { PromptPart } from "../types/prompt.ts";
import type { Header } from "../types/work.ts";
import { toTargetError } from "./target_client.ts";

/** How one kind of target is spoken to. */
export interface TargetCodec {
  /** Names and values in turn. */
  encodeHeaders(call: DirectCall): string[];
  /** Judges whose answer has come. */
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
  /** Path of the list of cached parts. */
  readonly partsPath: string;
  decodeParts(body: string): readonly PromptPart[];
}

/** What the client needs from outside. */
export interface DirectClientHost {
  readonly codec: TargetCodec;
  readonly log: Log;
  /** Connections that this process may hold to one target. */
  getMaxConnections(service: string): number;
}

/** A client of all targets. */
export interface DirectClient extends DirectCalls {
  /** Closes idle connections of targets that are gone. */
  retain(addresses: ReadonlySet<string>): void;
  close(): Promise<void>;
}

/**
 * Longest wait for a connection, in milliseconds: many round trips within a
 * region, and short against the deadlines of calls.
 */
const connectTimeoutMs = 350;

/** Time that an idle connection is kept when the target tells none, in ms. */
const keepAliveTimeoutMs = 3_000;

/** Time by which a connection is given up before the target does, in ms. */
const keepAliveMarginMs = 1_000;

/** Longest wait for the list of cached parts, in milliseconds. */
const listPartsTimeoutMs = 1_500;

/** Code of the error of a connection that was reset. */
const resetErrorCode = "ANSWER_RESET";

interface Pools {
  readonly persistent: Pool;
  /** Connections that serve one request each. */
  readonly fresh: Pool;
}

/** Creates a client; it connects with the first call to a target. */
export function createDirectClient(host: DirectClientHost): DirectClient {
  const pools = new Map<string, Pools>();

  return { send, tryListParts, retain, close };

  async function send(call: DirectCall): Promise<DirectResult> {
    try {
      return classifyResponse(call, await dispatch(call));
    } catch (error) {
      const { kind, message } = toTargetError(error);
      if (call.signal.aborted) return { kind: "aborted" };
      return kind === "not_sent"
        ? { kind, reason: message }
        : { kind: "lost", reason: message };
    }
  }

  function dispatch(call: DirectCall): Promise<Dispatcher.ResponseData> {
    const { persistent, fresh } = getPools(call.target);
    return (call.needsFreshConnection ? fresh : persistent).request({
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: host.codec.encodeHeaders(call),
      body: call.body.length > 0 || hasBody(call.method) ? call.body : null,
      signal: call.signal,
      // The library's types name this option wrongly.
      ...{ responseHeaders: "raw" },
    });
  }

  function classifyResponse(
    call: DirectCall,
    data: Dispatcher.ResponseData,
  ): DirectResult {
    const rawHeaders = data.headers as unknown as readonly Buffer[];
    const result = host.codec.decodeHead(
      data.statusCode,
      parseHeaders(rawHeaders),
      call,
    );
    // A body that is dropped reports its end as an error; readers see it too.
    data.body.on("error", () => undefined);
    if (result.kind === "head") {
      const drop = (): void => void data.body.destroy();
      return { kind: "answer", head: result.head, body: data.body, drop };
    }
    if (result.kind === "spoiled") {
      data.body.destroy();
    } else {
      // The rest of a refusal is short; reading it keeps the connection.
      data.body.dump().catch(() => undefined);
    }
    return result;
  }

  async function tryListParts(
    target: DirectTarget,
  ): Promise<readonly PromptPart[] | undefined> {
    try {
      const { statusCode, body } = await getPools(target).persistent.request({
        method: "GET",
        path: host.codec.partsPath,
        signal: AbortSignal.timeout(listPartsTimeoutMs),
      });
      const text = await body.text();
      if (statusCode === 200) return host.codec.decodeParts(text);
      host.log.warn("Engine gave no list of its cache", {
        target: target.id,
        status: statusCode,
      });
    } catch (error) {
      host.log.warn("Engine gave no list of its cache", {
        target: target.id,
        reason: String(error),
      });
    }
    return undefined;
  }

  function getPools(target: DirectTarget): Pools {
    const existing = pools.get(target.address);
    if (existing !== undefined) return existing;
    const created = createPools(
      target.address,
      host.getMaxConnections(target.service),
    );
    pools.set(target.address, created);
    return created;
  }

  function retain(addresses: ReadonlySet<string>): void {
    for (const [address, { persistent, fresh }] of pools) {
      if (addresses.has(address)) continue;
      pools.delete(address);
      // Requests that still run there end by themselves.
      void Promise.allSettled([persistent.close(), fresh.close()]);
    }
  }

  async function close(): Promise<void> {
    const all = [...pools.values()];
    await Promise.all(all.flatMap(({ persistent, fresh }) => [
      persistent.destroy(),
      fresh.destroy(),
    ]));
  }
}

function createPools(address: string, maxConnections: number): Pools {
  const common = {
    connections: maxConnections,
    connect: createConnector(),
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: keepAliveTimeoutMs,
    keepAliveTimeoutThreshold: keepAliveMarginMs,
  };
  const origin = `http://${address}`;
  return {
    persistent: new Pool(origin, common),
    fresh: new Pool(origin, { ...common, pipelining: 0 }),
  };
}

/**
 * A reset must not end an answer without a length as if it were whole. The HTTP
 * library takes the error of a reset for such an end, so the error gets a code
 * of its own. The runtime reports a reset that comes together with data as an
 * end without any error; the peer's address is then no longer known.
 */
function createConnector(): buildConnector.connector {
  const connect = buildConnector({ timeout: connectTimeoutMs });
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error !== null) return callback(error, null);
      socket.prependListener("error", (cause: NodeJS.ErrnoException) => {
        if (cause.code === "ECONNRESET") cause.code = resetErrorCode;
      });
      failOnResetEnd(socket);
      callback(null, socket);
    });
}

/** Turns the end of a connection that was reset into an error. */
function failOnResetEnd(socket: Socket): void {
  const emit: (event: string | symbol, ...args: unknown[]) => boolean = socket
    .emit.bind(socket);
  socket.emit = (event: string | symbol, ...args: unknown[]) => {
    // Asked for the first time here, as the runtime keeps the address.
    if (event !== "end" || socket.remoteAddress !== undefined) {
      return emit(event, ...args);
    }
    const resetError: NodeJS.ErrnoException = new Error("The answer was reset");
    resetError.code = resetErrorCode;
    socket.destroy(resetError);
    return true;
  };
}

function hasBody(method: string): boolean {
  return method === "POST" || method === "PUT" || method === "PATCH";
}

function parseHeaders(rawHeaders: readonly Buffer[]): readonly Header[] {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    headers.push({
      name: String(rawHeaders[index]),
      value: String(rawHeaders[index + 1]),
    });
  }
  return headers;
}
