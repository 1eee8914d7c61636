/** Encodes and decodes messages of the agent service, on the router's side. */

import type { RunEvent, RunRequest } from "../generated/mimosatray/v1/agent.ts";
import type { AgentEvent, Dispatch } from "../types/agent_calls.ts";
import { type DiagnosticCode, isDiagnosticCode } from "../types/diagnostics.ts";
import { isFinalStatus } from "../types/response_status.ts";

/** Maximum value of an unsigned 32-bit field. */
const maxUint32 = 0xffff_ffff;

/** Builds the request to run one attempt. */
export function toRunRequest(dispatch: Dispatch): RunRequest {
  const { work } = dispatch;
  return {
    attempt: dispatch.attempt,
    targetIncarnation: dispatch.target.incarnation,
    requestId: work.requestId,
    service: work.service,
    workspace: work.workspace,
    priority: work.priority,
    deadlineMs: clampUint32(work.deadlineAt - Date.now()),
    repeatable: work.repeatable,
    fingerprint: work.fingerprint,
    promptTokens: clampUint32(work.estimate.promptTokens),
    outputTokens: clampUint32(work.estimate.outputTokens),
    cachedTokens: clampUint32(work.estimate.cachedTokens),
    crashes: dispatch.crashes,
    method: work.method,
    path: work.path,
    headers: work.headers.map((header) => ({ ...header })),
    body: Buffer.from(
      work.body.buffer,
      work.body.byteOffset,
      work.body.byteLength,
    ),
    isChat: work.kind === "chat",
    claim: dispatch.claim,
    configurationVersion: dispatch.configurationVersion,
    observedLoads: [...dispatch.observedLoads],
    silentTargets: dispatch.silentTargets,
    conversationHash: dispatch.conversationHash,
    messageCount: work.messageCount,
    onlyIfHeld: dispatch.onlyIfHeld,
  };
}

/** Parses one event; undefined for a kind that this version does not know. */
export function tryParseRunEvent(message: RunEvent): AgentEvent | undefined {
  const { event } = message;
  if (event === undefined) return undefined;
  switch (event.$case) {
    case "refusal":
      return {
        kind: "refusal",
        code: parseCode(event.value.code, "target_full"),
        retryAfterMs: event.value.retryAfterMs,
        load: message.load,
      };
    case "head":
      return isFinalStatus(event.value.status)
        ? { kind: "head", ...event.value }
        : { kind: "failure", code: "target_error", mayHaveRun: true };
    case "chunk":
      return { kind: "chunk", ...event.value };
    case "end": {
      const { length, digest, ...usage } = event.value;
      return { kind: "end", length, digest, usage };
    }
    case "failure":
      return {
        kind: "failure",
        code: parseCode(event.value.code, "target_error"),
        mayHaveRun: event.value.mayHaveRun,
      };
  }
}

/** Parses a code; returns the fallback for a code of a newer version. */
function parseCode(text: string, fallback: DiagnosticCode): DiagnosticCode {
  return isDiagnosticCode(text) ? text : fallback;
}

/** Rounds a count and clamps it to the range of an unsigned 32-bit field. */
function clampUint32(value: number): number {
  return Math.min(maxUint32, Math.max(0, Math.round(value)));
}
