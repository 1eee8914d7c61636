/**
 * Closes a server for callers without cutting off a request that was received
 * or a response that is still being read. The runtime counts a connection as
 * idle while the last response on it is being sent, and while a request on it
 * has arrived but not been read.
 */

import type { Server } from "node:http";
import type { CallerListener } from "./caller_listener.ts";
import type { OpenResponses } from "./open_responses.ts";

/**
 * Time without an open response until connections are closed, in milliseconds.
 * A request may be on its way on a connection that was accepted or kept.
 */
const quietMs = 100;

/** Interval at which open responses are counted, in milliseconds. */
const pollIntervalMs = 10;

/**
 * Stops accepting connections, waits up to `timeoutMs` until no response is
 * open, and closes all connections. Returns the number of responses cut off.
 */
export async function closeServer(
  server: Server,
  { listener, openResponses, timeoutMs }: {
    readonly listener: Pick<CallerListener, "close">;
    readonly openResponses: Pick<OpenResponses, "count">;
    readonly timeoutMs: number;
  },
): Promise<number> {
  const endAt = performance.now() + timeoutMs;
  await waitForPoll();
  // The server's own method would close connections that it takes for idle.
  listener.close();
  let busyAt = performance.now();
  while (performance.now() < Math.min(endAt, busyAt + quietMs)) {
    await sleep(Math.min(pollIntervalMs, timeoutMs));
    await waitForPoll();
    if (openResponses.count() > 0) busyAt = performance.now();
  }
  const cutOff = openResponses.count();
  server.close();
  server.closeAllConnections();
  return cutOff;
}

/**
 * Waits until connections that have arrived are accepted and requests that
 * have arrived are read.
 */
async function waitForPoll(): Promise<void> {
  for (let turn = 0; turn < 2; turn++) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
