/** Callers who send more than routers can bear. */

import { Agent } from "node:http";
import { sleep } from "../harness/wait.ts";
import { send } from "./callers.ts";
import type { CallerRequest, SoakRouteKind } from "./observations.ts";
import { getLastingPrefix, lastingKey, routeKinds } from "./operator.ts";
import type { RouterProcess } from "./router_process.ts";

/** Interval at which requests on new connections are sent, in milliseconds. */
const tickMs = 20;

/** Time for which a caller waits; far above the timeouts, in milliseconds. */
const deadlineMs = 4_000;

/** Longest work that a request asks of a target, in milliseconds. */
const maxWorkMs = 30;

/** What the callers need from the run. */
export interface PressHost {
  readonly routers: readonly RouterProcess[];
  readonly services: readonly string[];
  readonly requests: CallerRequest[];
  /** Prefix of all request ids. */
  readonly run: string;
  random(): number;
}

/** A load on each router. */
export interface PressLoad {
  /** Requests a second on new connections. */
  readonly newPerS: number;
  /** Callers who keep their connections and send one request after another. */
  readonly kept: number;
}

/** Starts callers; returns a function that waits for their last requests. */
export function startPressCallers(
  host: PressHost,
  { newPerS, kept }: PressLoad,
): () => Promise<void> {
  let isStopped = false;
  const running = host.routers.flatMap((router) => [
    sendOnNewConnections(router),
    ...Array.from({ length: kept }, () => sendOnKeptConnection(router)),
  ]);

  return async () => {
    isStopped = true;
    await Promise.all(running);
  };

  async function sendOnNewConnections(router: RouterProcess): Promise<void> {
    const sent: Promise<unknown>[] = [];
    const startedAt = performance.now();
    while (!isStopped) {
      const due = (performance.now() - startedAt) / 1_000 * newPerS;
      while (sent.length < due) {
        const agent = new Agent();
        sent.push(sendOne(router, agent).finally(() => agent.destroy()));
      }
      await sleep(tickMs);
    }
    await Promise.all(sent);
  }

  async function sendOnKeptConnection(router: RouterProcess): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isStopped) {
      await sendOne(router, agent);
      await sleep(host.random() * tickMs);
    }
    agent.destroy();
  }

  async function sendOne(router: RouterProcess, agent: Agent): Promise<void> {
    const kind = choose(routeKinds);
    const request: CallerRequest = {
      ...{ id: `${host.run}-${host.requests.length}`, router: router.id, kind },
      ...{ prefix: getPrefix(kind), key: lastingKey, parts: [] },
      ...{ cause: undefined, lastEventId: 0, resumes: undefined },
      ...{ leavesAfter: undefined, manner: "plain", deadlineMs },
      sentAt: performance.now(),
      result: undefined,
    };
    host.requests.push(request);
    const ms = Math.ceil(host.random() * maxWorkMs);
    const path = `${request.prefix}work?events=2&ms=${ms}`;
    request.result = await send(request, { router, agent, path });
  }

  function getPrefix(kind: SoakRouteKind): string {
    return getLastingPrefix(kind, choose(host.services));
  }

  function choose<T>(values: readonly T[]): T {
    return values[Math.floor(host.random() * values.length)] as T;
  }
}
