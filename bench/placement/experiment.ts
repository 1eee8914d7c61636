/** Shapes of the placement experiment. */

/** One chat that returns. */
export interface Chat {
  key: string;
  /** Id of the engine that ran its last turn, if any. */
  lastEngineId: string | undefined;
  /** Grows with each turn; an engine's cache holds the turn it ran last. */
  turn: number;
  /** Moment until which the chat waits for its last answer. */
  busyUntil: number;
}

/** Size and pace of one experiment. */
export interface Experiment {
  readonly engines: number;
  /** Requests per second and engine. */
  readonly ratePerEngine: number;
  readonly chatsPerEngine: number;
  /** Contexts that one engine keeps. */
  readonly cacheSize: number;
  readonly loadMultiple: number;
  /** Multiple up to which work with no context at the engine is admitted. */
  readonly coldMultiple: number;
  /** Mean turns of a chat; then a new one takes its place. */
  readonly meanTurns: number;
  /** Age of the oldest load report in use, in seconds. */
  readonly maxReportAgeSeconds: number;
  /** Members sampled per second by each agent. */
  readonly samplesPerSecond: number;
  /** Spread of the lengths of work; 0 makes all equal. */
  readonly lengthSigma: number;
  /** Share of the traffic that one workspace sends. */
  readonly surgeShare: number;
  readonly warmUpSeconds: number;
  readonly seconds: number;
  readonly seed: number;
  readonly churn: Churn;
}

/** How engines come and go. */
export type Churn =
  | "none"
  | "leave_and_join"
  | "planned_leave_with_export"
  | "flap"
  | "zone_lost_and_back";

/** What one run gave. */
export interface Result {
  readonly policy: string;
  readonly requests: number;
  /** Returns that found their latest context, in percent. */
  readonly found: number;
  /** The same, over returns whose place had not left. */
  readonly foundOfAvoidable: number;
  readonly skewMedian: number;
  readonly skewP99: number;
  readonly skewMax: number;
  /** Highest load after admission over the bound from the true mean. */
  readonly boundExceededMax: number;
  /** Share of admissions that were above that bound, in percent. */
  readonly boundExceeded: number;
  readonly asked: number;
  /** Requests that found no place, in percent. */
  readonly refused: number;
}
