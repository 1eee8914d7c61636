/**
 * Knows which requests the engines of a service cannot hold.
 *
 * Load pattern: a caller sends requests that are larger than the memory of any
 * engine. Each engine refuses them as if it were full, so that each costs several
 * engines a request and the service its retries. The configuration names the
 * memory, but engines may have more; its word counts once an engine has refused
 * such a request.
 */

import { createReport, type Report } from "../../../types/diagnostics.ts";
import type { DirectRequest } from "../../../types/direct_request.ts";
import type { Prompt } from "../../../types/prompt.ts";
import type { EngineTraits } from "../../../types/route_table.ts";

/** Time for which a refusal counts, in milliseconds. */
const refusalTtlMs = 60_000;

/** A request, as far as its size is concerned. */
type SizedRequest = Pick<DirectRequest, "deadlineAt" | "prompt" | "service">;

/** What is known of the memory of all engines. */
export interface EngineMemory {
  /** Returns why no engine can run a request, if an engine has shown so. */
  tryGetRefusal(request: SizedRequest): Report | undefined;
  /** Records that an engine had no room for a request. */
  recordRefusal(request: SizedRequest): void;
}

/** The smallest request that was larger than the memory and was refused. */
interface Refusal {
  readonly tokens: number;
  readonly memory: number;
  readonly at: number;
}

/** Creates the record of a router that has met no refusal. */
export function createEngineMemory(
  host: {
    tryGetEngine(
      service: string,
    ): Pick<EngineTraits, "cacheTokens"> | undefined;
  },
): EngineMemory {
  const refusals = new Map<string, Refusal>();

  return { tryGetRefusal, recordRefusal };

  /** Returns the tokens of a request that is larger than the memory. */
  function tryGetExcess(
    { prompt, service }: SizedRequest,
  ): { readonly tokens: number; readonly memory: number } | undefined {
    const memory = host.tryGetEngine(service)?.cacheTokens ?? 0;
    if (prompt === undefined || memory <= 0) return undefined;
    const tokens = getTotalTokens(prompt);
    return tokens > memory ? { tokens, memory } : undefined;
  }

  function tryGetRefusal(request: SizedRequest): Report | undefined {
    const excess = tryGetExcess(request);
    if (excess === undefined) return undefined;
    const { service, deadlineAt } = request;
    const { tokens, memory } = excess;
    const refusal = refusals.get(service);
    const isCurrent = refusal?.memory === memory &&
      performance.now() - refusal.at <= refusalTtlMs;
    if (!isCurrent || tokens < refusal.tokens) return undefined;
    // A return before the deadline can't help.
    return createReport("request_too_large", { tokens, memory, service }, {
      retryAfterMs: Math.max(0, deadlineAt - performance.now()),
    });
  }

  function recordRefusal(request: SizedRequest): void {
    const excess = tryGetExcess(request);
    if (excess === undefined || tryGetRefusal(request) !== undefined) return;
    refusals.set(request.service, { ...excess, at: performance.now() });
  }
}

function getTotalTokens(
  { parts, promptTokens, maxOutputTokens }: Prompt,
): number {
  const partTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
  return Math.max(promptTokens, partTokens) + maxOutputTokens;
}
