/** Types of the placement experiment. */

/** A returning chat. */
export interface Chat {
  key: string;
  /** Id of the engine that ran the last turn, if any. */
  lastEngineId: string | undefined;
  /** Number of turns run; an engine caches the last turn that it ran. */
  turn: number;
  /** Time at which the last response ends, in simulated seconds. */
  busyUntil: number;
}

/** Parameters of one experiment. */
export interface Experiment {
  readonly engines: number;
  /** Requests per second per engine. */
  readonly ratePerEngine: number;
  readonly chatsPerEngine: number;
  /** Maximum number of contexts in the cache of one engine. */
  readonly cacheSize: number;
  readonly loadMultiple: number;
  /** Load multiple for work whose context the engine does not hold. */
  readonly coldMultiple: number;
  /** Mean number of turns of a chat before a new chat replaces it. */
  readonly meanTurns: number;
  /** Maximum age of a load report in use, in seconds. */
  readonly maxReportAgeSeconds: number;
  /** Members that each agent samples per second. */
  readonly samplesPerSecond: number;
  /** Sigma of the log-normal output length; 0 makes all lengths equal. */
  readonly lengthSigma: number;
  /**
   * Share of the requests drawn from a fixed twentieth of the chats, as if one
   * workspace sent them.
   */
  readonly surgeShare: number;
  readonly warmUpSeconds: number;
  readonly seconds: number;
  readonly seed: number;
  readonly churn: Churn;
}

/** How engines leave and join during the experiment. */
export type Churn =
  | "none"
  | "leave_and_join"
  | "planned_leave_with_export"
  | "flap"
  | "zone_lost_and_back";

/** Measurements of one run. */
export interface ExperimentResult {
  readonly policy: string;
  readonly requests: number;
  /** Returns that found their latest context, in percent. */
  readonly found: number;
  /** `found` relative to the returns whose last engine had not left. */
  readonly foundOfAvoidable: number;
  /** Median over the snapshots of the maximum load divided by the mean. */
  readonly skewMedian: number;
  readonly skewP99: number;
  readonly skewMax: number;
  /** Maximum ratio of a load after admission to the bound by the true mean. */
  readonly boundExceededMax: number;
  /** Admissions above the bound by the true mean, in percent of requests. */
  readonly boundExceeded: number;
  /** Mean number of engines asked per request. */
  readonly asked: number;
  /** Requests that no engine admitted, in percent. */
  readonly refused: number;
}
