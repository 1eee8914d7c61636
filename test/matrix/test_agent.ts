/** One target with its agent and the way to it, in memory. */

import type { BodyDigests } from "../../src/process/attempts/body_digest.ts";
import type { AttemptService } from "../../src/request/attempt_service.ts";
import type { Member } from "../../src/types/member.ts";
import { createAgentParts } from "../fakes/agent_parts.ts";
import { createFakeTarget, type FakeTarget } from "../fakes/fake_target.ts";
import { service } from "../support/request_history.ts";
import { createMember } from "../support/static_fleet.ts";
import type { AgentLink } from "./agent_link.ts";

/** One place where a request can run. */
export interface TestAgent {
  readonly id: string;
  readonly link: AgentLink;
  readonly target: FakeTarget;
  /** The agent as routers know it. */
  member: Member;
  /** True when the agent takes no new work. */
  leaving: boolean;
  /** Ends the agent's process; the target runs on. */
  killAgent(): void;
  /** Starts the agent's process with a new incarnation. */
  restartAgent(): void;
}

/** One run at a target. */
export interface Draft {
  readonly requestId: string;
  readonly text: string;
}

/** What a place tells of its runs. */
export interface TestAgentHost {
  readonly drafts: Draft[];
  readonly digests: BodyDigests;
  /** True when answers are streams of events. */
  readonly isStream: boolean;
  onRun(target: string): void;
  getJitterMs(): number;
}

/** Time that one call takes at a target, in milliseconds. */
const callDurationMs = 30;

/** Time that a filler holds its slot, in milliseconds. */
const fillerDurationMs = 150;

/** Requests whose id begins so only take up slots. */
export const fillerPrefix = "filler";

const streamHeaders = [{ name: "content-type", value: "text/event-stream" }];

/** Creates a place with a live agent. */
export function createTestAgent(id: string, host: TestAgentHost): TestAgent {
  let incarnation = 1;
  const target = createFakeTarget((request) => {
    if (request.requestId.startsWith(fillerPrefix)) {
      return { delayMs: fillerDurationMs, body: [fillerPrefix], end: "whole" };
    }
    const chunks = writeDraft(request.requestId);
    // What strikes here finds the call already in effect.
    queueMicrotask(() => host.onRun(id));
    return {
      delayMs: callDurationMs,
      body: chunks,
      end: "whole",
      headers: host.isStream ? streamHeaders : [],
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
    leaving: false,
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
      isLeaving: () => testAgent.leaving,
      hasCrashed: () => hasCrashed,
    });
    return agentParts.service;
  }

  function killAgent(): void {
    // What waits in a dead process never starts.
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
