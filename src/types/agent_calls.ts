/** The calls from routers to agents, as a narrow host. */

import type { Refusal, ResponseEvent } from "./response.ts";
import type { Attempt } from "./attempt.ts";
import type { Work } from "./work.ts";

/** The address of one incarnation of an agent. */
export interface Target {
  /** Id of the agent in the member table. */
  readonly id: string;
  /** IP address. */
  readonly address: string;
  readonly grpcPort: number;
  /** The only incarnation that the calls are meant for. */
  readonly incarnation: number;
}

/** One attempt as it is sent to a target. */
export interface Dispatch {
  readonly attempt: Attempt;
  readonly target: Target;
  readonly work: Work;
  /** Number of known target crashes with the request in flight. */
  readonly crashes: number;
  /** Hash of the workspace, service and idempotency key, or empty. */
  readonly claim: string;
  readonly configurationVersion: number;
  /**
   * Loads that targets reported when they refused this request, in work units
   * per weight of 100.
   */
  readonly observedLoads: readonly number[];
  /** Number of the service's targets that recently did not respond. */
  readonly silentTargets: number;
  /** Hash of the conversation key; 0 for a request without one. */
  readonly conversationHash: number;
  /** True when the target must refuse unless it holds the chat's context. */
  readonly onlyIfHeld: boolean;
}

/**
 * The connection ended before the last event. The request may have run unless
 * `sent` is false, which means that no byte of it left this process.
 */
export interface ConnectionLoss {
  readonly kind: "lost";
  readonly sent: boolean;
}

/** A refusal with the load of the target, in work units per weight of 100. */
export interface RefusalWithLoad extends Refusal {
  readonly load: number;
}

/** One event of a response, as a router receives it. */
export type AgentEvent =
  | Exclude<ResponseEvent, Refusal>
  | RefusalWithLoad
  | ConnectionLoss;

/**
 * The events of one call, at the pace of the reader. The last one is a refusal,
 * an end, a failure or a connection loss. Calling `return` closes the stream
 * but does not cancel the attempt.
 */
export type AgentEvents = AsyncIterableIterator<AgentEvent>;

/**
 * The state of an attempt that a router asked an agent to settle. After
 * `not_run` the attempt never runs. `done_answer_gone` means that the attempt
 * has run and its response is no longer retained. `no_answer` means that the
 * agent did not respond.
 */
export type SettleState =
  | "not_run"
  | "running"
  | "done"
  | "done_answer_gone"
  | "wrong_incarnation"
  | "no_answer";

/** The states that an agent can return. */
export const settleStates: readonly SettleState[] = [
  "not_run",
  "running",
  "done",
  "done_answer_gone",
  "wrong_incarnation",
];

/** An attempt and the target that it is meant for. */
export interface PlacedAttempt {
  readonly attempt: Attempt;
  readonly target: Target;
}

/** The calls to agents. */
export interface AgentCalls {
  /** Starts an attempt and returns its events; calls back when it was sent. */
  run(dispatch: Dispatch, onSent?: () => void): AgentEvents;
  /** Returns the events of an existing attempt from an offset in bytes. */
  attach(placed: PlacedAttempt, offset: number): AgentEvents;
  /** Writes a tombstone if the attempt has not started; returns its state. */
  settle(placed: PlacedAttempt): Promise<SettleState>;
  /** Cancels an attempt without waiting for the response. */
  cancel(placed: PlacedAttempt): void;
}
