/**
 * Opens connections to targets for the HTTP library such that the end of a
 * connection ends a response without a length only when the target closed it,
 * its bytes were read and the request has reached the target, and errors tell
 * whether the connection was established.
 */

import type { Socket } from "node:net";
import { buildConnector } from "undici";
import type { ResponseLimits, WatchedConnection } from "./response_limits.ts";

/** Error code of a connection that was reset. */
const resetErrorCode = "ANSWER_RESET";

/**
 * Size of a request, in bytes, up to which the target has it whole when it
 * responds: it fits into the first segments of a connection.
 */
const maxFirstBytes = 8 * 1024;

/**
 * Time after a request was handed to the system and its response has ended in
 * which a reset may still arrive, in milliseconds; several round trips.
 */
const resetWaitMs = 60;

/** Interval at which a request that isn't written yet is checked, in ms. */
const writeCheckIntervalMs = 10;

/** Key that marks errors of connections that were never established. */
const connectErrorKey = Symbol("connectError");

/**
 * Returns true when the connection was never established, so that nothing was
 * sent on it. The error's code does not tell: the system reports an
 * unreachable host with the same codes on an established connection.
 */
export function isConnectError(error: unknown): boolean {
  return typeof error === "object" && error !== null &&
    connectErrorKey in error;
}

/**
 * Creates a connector that marks the errors of connections that were never
 * established, and reports every reset connection as an error, because a
 * response without a length would otherwise look complete. The HTTP library
 * treats ECONNRESET as the end of such a response, so the error gets another
 * code.
 */
export function createTargetConnector(
  options: {
    readonly timeoutMs: number;
    readonly limits: Pick<ResponseLimits, "watch">;
  },
): buildConnector.connector {
  const connect = buildConnector({ timeout: options.timeoutMs });
  return (connectOptions, callback) =>
    connect(connectOptions, (...[error, socket]) => {
      if (error !== null) {
        return callback(
          Object.assign(error, { [connectErrorKey]: true }),
          null,
        );
      }
      socket.prependListener("error", (cause: NodeJS.ErrnoException) => {
        if (cause.code === "ECONNRESET") cause.code = resetErrorCode;
      });
      checkEnd(socket, () => connection.getOpenRequestBytes());
      const connection = options.limits.watch(socket);
      callback(null, socket);
    });
}

/**
 * Checks the end of a connection before the HTTP library sees it:
 *
 * - The runtime reports a reset that arrives together with data as an end
 *   without an error. It becomes an error here.
 * - The library throws an uncaught error when a connection ends while it has
 *   paused reading for a slow reader. The end is held until it reads on.
 * - A target that ends while a request is on its way to it closes its side first
 *   and resets the connection when more of the request arrives. The end of a
 *   response is held until the request is written and a reset would have come.
 */
function checkEnd(
  socket: Socket,
  getOpenRequestBytes: WatchedConnection["getOpenRequestBytes"],
): void {
  const push = socket.push.bind(socket);
  const unshift = socket.unshift.bind(socket);
  const read = socket.read.bind(socket);
  let isPaused = false;
  let heldEnd: (() => void) | undefined;

  socket.push = (data: unknown, encoding?: BufferEncoding) => {
    if (data !== null) return push(data, encoding);
    // The runtime would read the end again and again.
    socket._read = () => undefined;
    if (getOpenRequestBytes() <= maxFirstBytes) handleEnd();
    else waitForReset();
    return false;
  };

  // The library puts back what it can't take yet, even no bytes, when it
  // pauses, and reads without a size only while it isn't paused.
  socket.unshift = (data: unknown, encoding?: BufferEncoding) => {
    isPaused = true;
    unshift(data, encoding);
  };
  socket.read = (size?: number) => {
    const data: unknown = read(size);
    if (size !== undefined) return data;
    isPaused = false;
    if (data === null && heldEnd !== undefined) {
      process.nextTick(heldEnd);
      heldEnd = undefined;
    }
    return data;
  };

  function waitForReset(): void {
    if (socket.destroyed) return;
    const isWritten = socket.writableLength === 0;
    setTimeout(
      isWritten ? handleEnd : waitForReset,
      isWritten ? resetWaitMs : writeCheckIntervalMs,
    ).unref();
  }

  function handleEnd(): void {
    if (socket.destroyed) return;
    // The peer's address must not be read earlier, because the runtime caches
    // it; it is gone once the connection was reset.
    const end = socket.remoteAddress === undefined ? reset : close;
    if (isPaused || socket.readableLength > 0) heldEnd = end;
    else end();
  }

  function close(): void {
    push(null);
  }

  function reset(): void {
    const error: NodeJS.ErrnoException = new Error("The connection was reset");
    error.code = resetErrorCode;
    socket.destroy(error);
  }
}
