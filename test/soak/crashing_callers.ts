/**
 * Callers of a soak whose requests crash targets: one request that comes again and
 * again, and new requests that have one prompt part in common.
 */

import { Agent } from "node:http";
import { sleep } from "../harness/wait.ts";
import { type CallersHost, send } from "./callers.ts";
import type { CallerRequest, CrashCause } from "./observations.ts";
import { getLastingPrefix, lastingKey, routeKinds } from "./operator.ts";

/** The part that crashes targets. */
const crashingPart = "crashing";

/** Prompt parts by what crashes; those of the request differ at each return. */
const createParts: Readonly<
  Record<CrashCause, (prefix: string, id: string) => readonly string[]>
> = {
  part: (prefix, id) => ["shared", prefix, crashingPart, id],
  request: (prefix, id) => {
    const count = Number(id.split("-").at(-1));
    const forms = [["shared", id], ["shared", prefix, id], [id], []];
    return forms[count % forms.length] ?? [];
  },
};

/** Of so many runs, one in which the request crashes after its first event. */
const lateCrashRuns = 4;

/** Time from the start of the callers to the first request, in ms. */
const calmMs = 4_000;

/** Longest time between two requests of one cause, in milliseconds. */
const maxGapMs = 900;

/** Starts the callers; returns a function that waits for their last requests. */
export function startCrashingCallers(host: CallersHost): () => Promise<void> {
  const service = choose(host.services);
  const isLate = Number(host.run.slice(1)) % lateCrashRuns === 1;
  const kinds = { request: choose(routeKinds), part: "resumable" } as const;
  let isStopped = false;
  let sent = 0;
  const callers = (["request", "part"] as const).map(runCaller);

  return async () => {
    isStopped = true;
    await Promise.all(callers);
  };

  async function runCaller(cause: CrashCause): Promise<void> {
    await sleep(calmMs * (1 + host.random()));
    while (!isStopped) {
      const running = host.routers.filter((router) => router.isRunning());
      const router = choose(running.length > 0 ? running : host.routers);
      const request = createRequest(cause, router.id);
      host.requests.push(request);
      const agent = new Agent();
      const moment = cause === "request" && isLate ? "&moment=event" : "";
      const path = `${request.prefix}crash?crash=${cause}${moment}`;
      request.result = await send(request, { router, agent, path });
      agent.destroy();
      await sleep(host.random() * maxGapMs);
    }
  }

  function createRequest(cause: CrashCause, router: string): CallerRequest {
    const id = `${host.run}-crash-${sent++}`;
    const prefix = getLastingPrefix(kinds[cause], service);
    return {
      ...{ id, router, kind: kinds[cause], prefix, key: lastingKey, cause },
      parts: createParts[cause](prefix, id),
      ...{ resumes: undefined, leavesAfter: undefined, manner: "plain" },
      ...{ lastEventId: 0, deadlineMs: 2_000, sentAt: performance.now() },
      result: undefined,
    };
  }

  function choose<T>(values: readonly T[]): T {
    return values[Math.floor(host.random() * values.length)] as T;
  }
}
