/** Encodes and decodes messages of the agent service, on the agent's side. */

import type {
  Attempt as AttemptMessage,
  RunEvent,
  RunRequest,
} from "../generated/mimosatray/v1/agent.ts";
import type { ResponseEvent } from "../types/response.ts";
import type { Attempt } from "../types/attempt.ts";
import type { RunOrder } from "../types/run_order.ts";

/** Parses an attempt; undefined when it is missing or has no router. */
export function tryParseAttempt(
  message: AttemptMessage | undefined,
): Attempt | undefined {
  if (message === undefined || message.router === "") return undefined;
  const { router, routerIncarnation, number } = message;
  return { router, routerIncarnation, number };
}

/** Parses a request to run an attempt; undefined without a valid attempt. */
export function tryParseRunOrder(message: RunRequest): RunOrder | undefined {
  const attempt = tryParseAttempt(message.attempt);
  if (attempt === undefined) return undefined;
  return {
    attempt,
    targetIncarnation: message.targetIncarnation,
    requestId: message.requestId,
    service: message.service,
    workspace: message.workspace,
    priority: message.priority === "background" ? "background" : "interactive",
    deadlineAt: Date.now() + message.deadlineMs,
    repeatable: message.repeatable,
    fingerprint: message.fingerprint,
    estimate: {
      promptTokens: message.promptTokens,
      outputTokens: message.outputTokens,
      cachedTokens: message.cachedTokens,
    },
    crashes: message.crashes,
    method: message.method,
    path: message.path,
    headers: message.headers,
    body: message.body,
    isChat: message.isChat,
    claim: message.claim,
    observedLoads: message.observedLoads,
    silentTargets: message.silentTargets,
    conversationHash: message.conversationHash,
    messageCount: message.messageCount,
    onlyIfHeld: message.onlyIfHeld,
  };
}

/** Builds the message of one event, with the load of the target. */
export function toRunEvent(event: ResponseEvent, load: number): RunEvent {
  return { event: toEventCase(event), load: Math.max(0, Math.round(load)) };
}

function toEventCase(event: ResponseEvent): RunEvent["event"] {
  switch (event.kind) {
    case "refusal":
      return { $case: "refusal", value: event };
    case "head": {
      const { status, headers } = event;
      return { $case: "head", value: { status, headers: [...headers] } };
    }
    case "chunk": {
      const { buffer, byteOffset, byteLength } = event.data;
      const data = Buffer.from(buffer, byteOffset, byteLength);
      return { $case: "chunk", value: { offset: event.offset, data } };
    }
    case "end": {
      const { length, digest, usage } = event;
      return { $case: "end", value: { length, digest, ...usage } };
    }
    case "failure":
      return { $case: "failure", value: event };
  }
}
