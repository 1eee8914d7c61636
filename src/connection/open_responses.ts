/**
 * Knows which responses are open on a connection. The refusal of a malformed
 * request, which has no response of its own, is then not taken for the response
 * to another request or for a part of one, and responses that still wait for
 * their turn close with the connection.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The open responses of all connections of a server. */
export interface OpenResponses {
  /** Adds a response until it closes. */
  add(response: ServerResponse): void;
  /** Returns the number of open responses on all connections. */
  count(): number;
  /**
   * Returns true when the next bytes on the connection are read as the response
   * to the request that is being received.
   */
  canRefuse(socket: Socket): boolean;
  /** Returns the request whose body is being received; undefined if none is. */
  tryGetRequest(socket: Socket): IncomingMessage | undefined;
}

/** Creates an empty record of open responses. */
export function createOpenResponses(): OpenResponses {
  const responses = new WeakMap<Socket, Set<ServerResponse>>();
  const all = new Set<ServerResponse>();

  return { add, count: () => all.size, canRefuse, tryGetRequest };

  function add(response: ServerResponse): void {
    const { socket } = response.req;
    const open = responses.get(socket) ?? addConnection(socket);
    open.add(response);
    all.add(response);
    response.on("close", () => {
      open.delete(response);
      all.delete(response);
    });
  }

  function addConnection(socket: Socket): Set<ServerResponse> {
    const open = new Set<ServerResponse>();
    responses.set(socket, open);
    socket.on("close", () => {
      for (const response of open) {
        // Node closes only the response whose turn it is.
        if (response.socket === null) response.emit("close");
      }
    });
    return open;
  }

  function getOpen(socket: Socket): readonly ServerResponse[] {
    return [...responses.get(socket) ?? []];
  }

  function tryGetRequest(socket: Socket): IncomingMessage | undefined {
    return getOpen(socket).find(({ req }) => !req.complete)?.req;
  }

  function canRefuse(socket: Socket): boolean {
    return getOpen(socket).every(({ headersSent, req }) =>
      !headersSent && !req.complete
    );
  }
}
