/**
 * Opens connections to targets that report a reset as an error, so that a
 * response without a length doesn't look complete when it was broken off.
 */

import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Error code of a connection that was reset. */
const resetErrorCode = "ANSWER_RESET";

/**
 * Creates a connector that reports every reset connection as an error, because
 * a response without a length would otherwise look complete. The HTTP library
 * treats ECONNRESET as the end of such a response, so the error gets another
 * code. The runtime reports a reset that arrives together with data as an end
 * without an error, which `failOnResetEnd` detects.
 */
export function createTargetConnector(
  options: { readonly timeoutMs: number },
): buildConnector.connector {
  const connect = buildConnector({ timeout: options.timeoutMs });
  return (connectOptions, callback) =>
    connect(connectOptions, (...[error, socket]) => {
      if (error !== null) return callback(error, null);
      socket.prependListener("error", (cause: NodeJS.ErrnoException) => {
        if (cause.code === "ECONNRESET") cause.code = resetErrorCode;
      });
      failOnResetEnd(socket);
      callback(null, socket);
    });
}

/**
 * Turns the end of a connection into an error when the connection was reset,
 * which shows in that the runtime no longer knows the peer's address.
 */
function failOnResetEnd(socket: Socket): void {
  const emit: (event: string | symbol, ...args: unknown[]) => boolean = socket
    .emit.bind(socket);
  socket.emit = (event: string | symbol, ...args: unknown[]) => {
    // The address must not be read earlier, because the runtime caches it.
    if (event !== "end" || socket.remoteAddress !== undefined) {
      return emit(event, ...args);
    }
    const resetError: NodeJS.ErrnoException = new Error(
      "The connection was reset",
    );
    resetError.code = resetErrorCode;
    socket.destroy(resetError);
    return true;
  };
}
