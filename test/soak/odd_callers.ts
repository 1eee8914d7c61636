/**
 * Callers of a soak that state odd numbers: of tokens, of parts and of what they
 * expect. Their requests are served like others.
 */

import { Agent } from "node:http";
import { sleep } from "../harness/wait.ts";
import { type CallersHost, send } from "./callers.ts";
import type { CallerRequest } from "./observations.ts";
import { getLastingPrefix, lastingKey } from "./operator.ts";

/** Numbers that no sound sender states, or that few states can hold. */
export const oddNumbers = [
  ...["1e400", "-1e400", "Infinity", "NaN", "1e308", "1e21", "5000000000"],
  ...["4294967296", "9007199254740993", "700.25", "1e-9", "-1", "0", "x"],
] as const;

/** Longest time between two requests, in milliseconds. */
const maxGapMs = 500;

/** Starts a caller; returns a function that waits for its last request. */
export function startOddCaller(host: CallersHost): () => Promise<void> {
  let isStopped = false;
  let sent = 0;
  const caller = runCaller();

  return async () => {
    isStopped = true;
    await caller;
  };

  async function runCaller(): Promise<void> {
    while (!isStopped) {
      const running = host.routers.filter((router) =>
        router.isRunning() && !router.isStopping()
      );
      const router = choose(running.length > 0 ? running : host.routers);
      const id = `${host.run}-odd-${sent++}`;
      const prefix = getLastingPrefix("resumable", choose(host.services));
      const request: CallerRequest = {
        ...{
          id,
          router: router.id,
          kind: "resumable",
          prefix,
          key: lastingKey,
        },
        ...{
          parts: ["shared", prefix, id],
          cause: undefined,
          resumes: undefined,
        },
        ...{ leavesAfter: undefined, manner: "plain", lastEventId: 0 },
        ...{ deadlineMs: 2_000, sentAt: performance.now(), result: undefined },
      };
      host.requests.push(request);
      const agent = new Agent();
      const path = `${prefix}work?events=3&ms=5`;
      request.result = await send(request, {
        ...{ router, agent, path, headers: createHeaders(id) },
      });
      agent.destroy();
      await sleep(host.random() * maxGapMs);
    }
  }

  function createHeaders(id: string): Readonly<Record<string, string>> {
    return {
      "x-tokens": `${choose(oddNumbers)},${choose(oddNumbers)}`,
      "x-prompt-prefix": `shared:${choose(oddNumbers)},${id}:50`,
      "x-length-hint": choose(oddNumbers),
    };
  }

  function choose<T>(values: readonly T[]): T {
    return values[Math.floor(host.random() * values.length)] as T;
  }
}
