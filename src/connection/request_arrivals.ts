/**
 * Knows when requests arrived, and whether connections wait to be accepted. After a
 * turn of the event loop without a new connection, none does.
 */

import type { Socket } from "node:net";
import type { ListenQueue } from "../process/admission/listen_queue.ts";
import type { LoopTurn, LoopTurns } from "../process/telemetry/loop_turns.ts";
import type { RequestArrival } from "../types/direct_request.ts";

/** The arrivals at one server. */
export interface RequestArrivals {
  /** Records that a connection was accepted. */
  recordConnection(socket: Socket): void;
  /** Starts to time a request whose head was read from a connection. */
  begin(socket: Socket): ArrivalTimes;
}

/** The times of one request. */
export interface ArrivalTimes {
  /** Records that the body is complete. */
  recordBody(): void;
  /** Records that the process has a turn for the request. */
  recordTurn(): void;
  get(): RequestArrival;
}

/** Creates the arrivals of a server that has accepted nothing. */
export function createRequestArrivals(
  host: {
    readonly turns: Pick<LoopTurns, "getTurn">;
    readonly queue: Pick<
      ListenQueue,
      "isOverdue" | "recordAccepted" | "recordEmpty" | "recordReset"
    >;
    /** Turns away the connections that wait to be accepted. */
    resetWaiting(): void;
  },
): RequestArrivals {
  const { queue, turns } = host;
  /** The turns in which connections were accepted, with their arrivals. */
  const acceptTurns = new WeakMap<Socket, LoopTurn>();
  let isWatching = false;
  let hasAccepted = false;

  return {
    recordConnection,
    begin: (socket) => startTimes(getArrivedAt(socket)),
  };

  function recordConnection(socket: Socket): void {
    const turn = turns.getTurn();
    const arrivedAt = queue.recordAccepted(turn);
    acceptTurns.set(socket, { ...turn, arrivedAt });
    hasAccepted = true;
    if (isWatching) return;
    isWatching = true;
    setImmediate(endTurn);
  }

  /** Runs in each turn until one has brought no connection. */
  function endTurn(): void {
    const isOverdue = queue.isOverdue();
    if (isOverdue || !hasAccepted) {
      isWatching = false;
      if (isOverdue) resetWaiting();
      else queue.recordEmpty();
      return;
    }
    hasAccepted = false;
    setImmediate(endTurn);
  }

  function resetWaiting(): void {
    host.resetWaiting();
    queue.recordReset();
  }

  /**
   * A connection is read in a later turn than that in which it is accepted. What
   * is read in the next one can have arrived with the connection.
   */
  function getArrivedAt(socket: Socket): number {
    const { arrivedAt } = turns.getTurn();
    const accepted = acceptTurns.get(socket);
    return accepted !== undefined && arrivedAt <= accepted.startedAt
      ? Math.min(arrivedAt, accepted.arrivedAt)
      : arrivedAt;
  }
}

function startTimes(arrivedAt: number): ArrivalTimes {
  const readAt = performance.now();
  let bodyAt = readAt;
  let turnAt = readAt;

  return {
    recordBody: () => {
      bodyAt = performance.now();
      turnAt = bodyAt;
    },
    recordTurn: () => {
      turnAt = performance.now();
    },
    get: () => ({
      at: arrivedAt,
      unreadMs: readAt - arrivedAt,
      bodyMs: bodyAt - readAt,
      turnMs: turnAt - bodyAt,
    }),
  };
}
