/**
 * Knows which responses are open on a connection, so that the refusal of a
 * malformed request, which has no response of its own, is not taken for the
 * response to another request or for a part of one.
 */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The open responses of all connections of a server. */
export interface OpenResponses {
  /** Adds a response until it closes. */
  add(response: ServerResponse): void;
  /**
   * Returns true when the next bytes on the connection are read as the response
   * to the request that is being received.
   */
  canRefuse(socket: Socket): boolean;
}

/** Creates an empty record of open responses. */
export function createOpenResponses(): OpenResponses {
  const responses = new WeakMap<Socket, Set<ServerResponse>>();

  return { add, canRefuse };

  function add(response: ServerResponse): void {
    const { socket } = response.req;
    const open = responses.get(socket) ?? new Set();
    responses.set(socket, open);
    open.add(response);
    response.on("close", () => open.delete(response));
  }

  function canRefuse(socket: Socket): boolean {
    const open = [...responses.get(socket) ?? []];
    return open.every(({ headersSent, req }) => !headersSent && !req.complete);
  }
}
