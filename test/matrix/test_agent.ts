/** An agent in memory, with its target and the link to it. */

import type { BodyDigests } from "../../src/process/attempts/body_digest.ts";
import type { AttemptService } from "../../src/request/attempt_service.ts";
import type { Member } from "../../src/types/member.ts";
import { createAgentParts } from "../fakes/agent_parts.ts";
import {
  type BreakableTarget,
  createFakeTarget,
} from "../fakes/fake_target.ts";
import { service } from "../support/request_history.ts";
import { createMember } from "../support/static_fleet.ts";
import type { AgentLink } from "./agent_link.ts";

/** An agent with its target and the link to it. */
export interface TestAgent {
  readonly id: string;
  readonly link: AgentLink;
  readonly target: BreakableTarget;
  /** Member record of the agent, as routers see it. */
  member: Member;
  /** True when the agent accepts no new work. */
  isLeaving: boolean;
  /** Ends the agent's process; the target keeps running. */
  killAgent(): void;
  /** Starts the agent's process with a new incarnation. */
  restartAgent(): void;
}

/** The body that one run at a target wrote. */
export interface Draft {
  readonly requestId: string;
  readonly text: string;
}

/** What an agent needs from the run of a cell. */
export interface TestAgentHost {
  readonly drafts: Draft[];
  readonly digests: BodyDigests;
  /** True when responses are event streams. */
  readonly isStream: boolean;
  onRun(target: string): void;
  getJitterMs(): number;
}

/** Duration of one call at a target, in milliseconds. */
const callDurationMs = 30;

/** Time that a filler request occupies its slot, in milliseconds. */
const fillerDurationMs = 150;

/** Prefix of the ids of requests that only occupy slots. */
export const fillerPrefix = "filler";

const streamHeaders = [{ name: "content-type", value: "text/event-stream" }];

/** Creates a running agent. */
export function createTestAgent(id: string, host: TestAgentHost): TestAgent {
  let incarnation = 1;
  const target = createFakeTarget((request) => {
    if (request.requestId.startsWith(fillerPrefix)) {
      return { delayMs: fillerDurationMs, body: [fillerPrefix], end: "whole" };
    }
    const chunks = writeDraft(request.requestId);
    // The call has taken effect before a fault is injected here.
    queueMicrotask(() => host.onRun(id));
    return {
      delayMs: callDurationMs,
      body: chunks,
      end: "whole",
      ...(host.isStream
        ? {
          headers: streamHeaders,
          streamId: `${id}-${host.drafts.length}`,
        }
        : {}),
    };
  });
  const testAgent: TestAgent = {
    id,
    target,
    link: {
      delayMs: 3,
      getJitterMs: host.getJitterMs,
      toAgentBlockedUntil: 0,
      fromAgentBlockedUntil: 0,
      service: undefined,
      generation: 1,
    },
    member: createMember({ id, role: "agent", service, incarnation }),
    isLeaving: false,
    killAgent,
    restartAgent,
  };
  testAgent.link.service = startAgent();
  return testAgent;

  function writeDraft(requestId: string): readonly string[] {
    const number = host.drafts.length + 1;
    const words = ["one", "two", "three"].map((word) =>
      `${id}/${number}/${word} `
    );
    const chunks = host.isStream
      ? [...words, "[DONE]"].map((word) => `data: ${word}\n\n`)
      : words;
    host.drafts.push({ requestId, text: chunks.join("") });
    return chunks;
  }

  function startAgent(): AttemptService {
    let hasCrashed = false;
    const agentParts = createAgentParts({
      ...target,
      send: (request) =>
        target.send(request).ifLeft((error) => {
          hasCrashed = error.kind === "lost";
        }),
    }, {
      incarnation,
      digests: host.digests,
      slots: 1,
      isLeaving: () => testAgent.isLeaving,
      hasCrashed: () => hasCrashed,
    });
    return agentParts.service;
  }

  function killAgent(): void {
    // Attempts that are queued in a killed process never start.
    testAgent.link.service?.refuseQueued();
    testAgent.link.service = undefined;
    testAgent.link.generation++;
  }

  function restartAgent(): void {
    incarnation++;
    testAgent.link.generation++;
    testAgent.link.service = startAgent();
  }
}
