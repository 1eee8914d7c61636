/** The calls that a router makes to agents, as a narrow host. */

import type { Refusal, ResponseEvent } from "./response.ts";
import type { Attempt } from "./attempt.ts";
import type { Work } from "./work.ts";

/** Where an agent incarnation is reached. */
export interface Target {
  /** Id of the agent, as the members know it. */
  readonly id: string;
  /** IP number. */
  readonly address: string;
  readonly grpcPort: number;
  /** Calls are meant for this incarnation only. */
  readonly incarnation: number;
}

/** One attempt as it is sent to a target. */
export interface Dispatch {
  readonly attempt: Attempt;
  readonly target: Target;
  readonly work: Work;
  /** Crashes that the request is known to have taken part in. */
  readonly crashes: number;
  /** Hash of the workspace, service and idempotency key, or empty. */
  readonly claim: string;
  readonly configurationVersion: number;
  /** Loads of the targets that refused this request just before. */
  readonly observedLoads: readonly number[];
  /** Targets of the service that gave no answer just before. */
  readonly silentTargets: number;
  /** Hash of the conversation's key, 0 for a request without one. */
  readonly conversationHash: number;
  /** The target refuses unless it holds the chat's latest context. */
  readonly onlyIfHeld: boolean;
}

/**
 * The connection gave no further events. It proves nothing unless `sent` is
 * false: then no byte of the request left this process.
 */
export interface ConnectionLoss {
  readonly kind: "lost";
  readonly sent: boolean;
}

/** A refusal with the load of the target, in work units per weight of 100. */
export interface RefusalWithLoad extends Refusal {
  readonly load: number;
}

/** One event as a router receives it. */
export type AgentEvent =
  | Exclude<ResponseEvent, Refusal>
  | RefusalWithLoad
  | ConnectionLoss;

/**
 * Events of one call at the pace of the reader; a refusal, an end, a failure
 * or a loss is the last one. `return` of the iterator closes the connection's
 * stream and leaves the attempt alone.
 */
export type AgentEvents = AsyncIterableIterator<AgentEvent>;

/**
 * What an agent says of an attempt when it is asked to settle it. After
 * `not_run` the attempt never runs. `no_answer`: the agent was not reached.
 */
export type SettleState =
  | "not_run"
  | "running"
  | "done"
  | "done_answer_gone"
  | "wrong_incarnation"
  | "no_answer";

/** All states that an agent itself can answer. */
export const settleStates: readonly SettleState[] = [
  "not_run",
  "running",
  "done",
  "done_answer_gone",
  "wrong_incarnation",
];

/** An attempt at the target that it was meant for. */
export interface PlacedAttempt {
  readonly attempt: Attempt;
  readonly target: Target;
}

/** Calls to agents. */
export interface AgentCalls {
  /** Runs an attempt and returns its events. */
  run(dispatch: Dispatch): AgentEvents;
  /** Joins an attempt that the agent holds, from an offset in bytes. */
  attach(placed: PlacedAttempt, offset: number): AgentEvents;
  /** Makes a tombstone of an attempt that has not started, or tells its state. */
  settle(placed: PlacedAttempt): Promise<SettleState>;
  /** Stops an attempt; the answer is not awaited. */
  cancel(placed: PlacedAttempt): void;
}
