/**
 * Limits the bytes of each response on a connection: of all of it, and of what
 * the HTTP library reads without passing it on, such as interim responses,
 * chunk extensions and trailers. The library has no limit for these. Bytes that
 * follow a whole response close its connection.
 */

import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import { isFinalStatus } from "../types/response_status.ts";
import { hasCode } from "./call_errors.ts";

/**
 * Maximum size of a response on its connection, in bytes. It is above any body
 * or event stream that a target sends within the timeout of a route.
 */
export const maxResponseBytes = 64 * 1024 * 1024;

/**
 * Maximum bytes in a row that add nothing to the body. A head of several times
 * the usual limit of header bytes and its interim responses fit.
 */
const maxBytesWithoutContent = 256 * 1024;

/**
 * Maximum number of interim responses before a response. Each costs as much as a
 * response, whatever its size.
 */
const maxInterimResponses = 64;

/**
 * Maximum size of a head without its end, in bytes. The library's own limit is
 * half of it, but applies only to what it has parsed, piece by piece.
 */
const maxHeadBytes = 32 * 1024;

/** End of a head. */
const headEnd = "\r\n\r\n";

/** Error code of a response that exceeded a limit. */
const limitErrorCode = "RESPONSE_LIMIT";

/** Code of the library's error for too many bytes of headers or trailers. */
const headersOverflowCode = "UND_ERR_HEADERS_OVERFLOW";

/** The limit that a response exceeded. */
export type ResponseLimit =
  | "response_bytes"
  | "bytes_without_content"
  | "event_bytes"
  | "interim_responses";

/** The limits of the responses on the connections of one dispatcher. */
export interface ResponseLimits {
  /** Ties each request to the connection on which it is sent. */
  readonly interceptor: Dispatcher.DispatcherComposeInterceptor;
  /** Applies the limits to a connection that the dispatcher opened. */
  watch(socket: Socket): WatchedConnection;
}

/** A connection with limits. */
export interface WatchedConnection {
  /**
   * Returns the size of the request whose response has not ended, in bytes, as
   * far as it was handed to the connection; 0 without one.
   */
  getOpenRequestBytes(): number;
}

/** The bytes of one response so far. */
interface ResponseCount {
  received: number;
  /** Value of `received` when content last arrived. */
  receivedAtContent: number;
  interimResponses: number;
  /** Bytes of a head whose end has not arrived; undefined behind an end. */
  headBytes: number | undefined;
  /** True once the response has ended; what follows belongs to no request. */
  isComplete: boolean;
  handleExceeded(limit: ResponseLimit): void;
}

/** What is called when a response exceeds a limit. */
export interface ResponseLimitsOptions {
  /** Called once for each response that is cut. */
  onExceeded(limit: ResponseLimit, request: Dispatcher.DispatchOptions): void;
}

/** Creates the limits for one dispatcher. */
export function createResponseLimits(
  options: ResponseLimitsOptions,
): ResponseLimits {
  /**
   * Count of the request that is being written. The library calls `onConnect`
   * and writes the request in the same turn, which ties a request to its
   * connection.
   */
  let starting: ResponseCount | undefined;

  return { interceptor, watch };

  function interceptor(
    dispatch: Dispatcher["dispatch"],
  ): Dispatcher["dispatch"] {
    return (request, handler) => {
      const onConnect = handler.onConnect?.bind(handler);
      const onHeaders = handler.onHeaders?.bind(handler);
      const onData = handler.onData?.bind(handler);
      const onComplete = handler.onComplete?.bind(handler);
      let count = createCount();
      handler.onConnect = (...args) => {
        onConnect?.(...args);
        count = createCount();
        starting = count;
      };
      handler.onHeaders = (...args) => {
        const [status] = args;
        if (isFinalStatus(status)) count.headBytes = undefined;
        else countInterim(count);
        return onHeaders?.(...args) ?? true;
      };
      handler.onData = (data) => {
        count.receivedAtContent = count.received;
        return onData?.(data) ?? true;
      };
      handler.onComplete = (trailers) => {
        count.isComplete = true;
        onComplete?.(trailers);
      };
      return dispatch(request, handler);

      function createCount(): ResponseCount {
        return {
          received: 0,
          receivedAtContent: 0,
          interimResponses: 0,
          headBytes: 0,
          isComplete: false,
          handleExceeded: (limit) => options.onExceeded(limit, request),
        };
      }
    };
  }

  function watch(socket: Socket): WatchedConnection {
    const push = socket.push.bind(socket);
    const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
    let count: ResponseCount | undefined;
    /** Bytes of the requests before the open one. */
    let bytesBefore = 0;

    endParsing(socket);
    socket.write = (...args: unknown[]) => {
      if (starting !== undefined) bytesBefore = socket.bytesWritten;
      count = starting ?? count;
      starting = undefined;
      return write(...args);
    };
    socket.push = (data: unknown, encoding?: BufferEncoding) => {
      if (!Buffer.isBuffer(data) || count === undefined) {
        return push(data, encoding);
      }
      if (count.isComplete) {
        socket.destroy();
        return false;
      }
      countHead(count, data);
      const limit = tryFindExceeded(count, socket.readableLength);
      count.received += data.length;
      if (limit === undefined) return push(data, encoding);
      count.handleExceeded(limit);
      count = undefined;
      socket.destroy(createLimitError(limit));
      return false;
    };
    return {
      getOpenRequestBytes: () =>
        count === undefined || count.isComplete
          ? 0
          : socket.bytesWritten - bytesBefore,
    };
  }
}

/**
 * Ends the parsing of a connection that the library closes for its headers or
 * trailers. The library would parse the rest of what was read, with an error
 * for each of them.
 */
function endParsing(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  const read = socket.read.bind(socket);
  socket.destroy = (error) => {
    destroy(error);
    // Only an error that is thrown here ends the call of the parser.
    if (hasCode(error, headersOverflowCode)) throw error;
    return socket;
  };
  socket.read = (size?: number): unknown =>
    socket.destroyed ? null : read(size);
}

/** Counts the bytes of a head up to its end, behind which a body may follow. */
function countHead(count: ResponseCount, data: Buffer): void {
  if (count.headBytes === undefined) return;
  count.headBytes = data.includes(headEnd)
    ? undefined
    : count.headBytes + data.length;
}

/** Counts an interim response; the error that it throws closes the connection. */
function countInterim(count: ResponseCount): void {
  count.headBytes = 0;
  if (++count.interimResponses <= maxInterimResponses) return;
  count.handleExceeded("interim_responses");
  throw createLimitError("interim_responses");
}

/** Checks the bytes that were received, without those that wait to be read. */
function tryFindExceeded(
  { received, receivedAtContent, headBytes = 0 }: ResponseCount,
  waitingBytes: number,
): ResponseLimit | undefined {
  if (received > maxResponseBytes) return "response_bytes";
  const withoutContent = received - waitingBytes - receivedAtContent;
  return withoutContent > maxBytesWithoutContent || headBytes > maxHeadBytes
    ? "bytes_without_content"
    : undefined;
}

/** Creates the error of a response that exceeded a limit. */
export function createLimitError(limit: ResponseLimit): Error {
  return Object.assign(
    new Error(`The response exceeds the limit of ${limit}`),
    { code: limitErrorCode },
  );
}

/** Returns true for the error of a response that exceeded a limit. */
export function isLimitError(error: unknown): boolean {
  return error instanceof Error &&
    (error as NodeJS.ErrnoException).code === limitErrorCode;
}
