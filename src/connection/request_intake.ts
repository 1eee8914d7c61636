/**
 * Takes connections and requests in and bounds each wait before a request is
 * handled: to be accepted, and for a turn of the process.
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";
import { createListenQueue } from "../process/admission/listen_queue.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { LoopTurns } from "../process/telemetry/loop_turns.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import {
  type CallerListener,
  createCallerListener,
} from "./caller_listener.ts";
import {
  type ArrivalTimes,
  createRequestArrivals,
} from "./request_arrivals.ts";
import { createRequestPacer, type RequestPacer } from "./request_pacer.ts";

/** What the intake needs from the process. */
export interface RequestIntakeHost {
  readonly turns: Omit<LoopTurns, "stop">;
  readonly log: Pick<Log, "warn">;
  readonly metrics: Pick<Metrics, "count" | "gauge">;
}

/** The intake of one server. */
export interface RequestIntake extends RequestPacer {
  readonly listener: CallerListener;
  /** Starts to time a request whose head was read from a connection. */
  begin(socket: Socket): ArrivalTimes;
}

/**
 * Maximum number of connections that wait to be accepted. In a longer queue their
 * callers would give up before their turn.
 */
const backlog = 256;

/** Creates the intake of a server that does not listen yet. */
export function createRequestIntake(
  server: Server,
  host: RequestIntakeHost,
  address: { readonly address: string; readonly port: number },
): RequestIntake {
  const { turns } = host;
  const queue = createListenQueue({ maxWaiting: backlog });
  const listener = createCallerListener(server, host, { ...address, backlog });
  const arrivals = createRequestArrivals({
    ...{ turns, queue },
    resetWaiting: listener.reset,
  });
  const pacer = createRequestPacer({
    getAcceptTurns: queue.getAcceptTurns,
    beginRequests: () => turns.begin("request"),
  });
  host.metrics.gauge("listen_queue_wait_ms", () => queue.tryGetWaitMs() ?? 0);
  server.on(
    "connection",
    (socket) =>
      turns.measure("connection", () => arrivals.recordConnection(socket)),
  );

  return { ...pacer, listener, begin: arrivals.begin };
}
