/** Targets that register themselves, and the peers of a router. */

/** One incarnation of a target, as its entry in the store describes it. */
export interface DirectTarget {
  /** Id of the incarnation; it usually changes on a restart. */
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly zone: string;
  /** Number of requests that the target runs concurrently. */
  readonly slots: number;
  readonly state: "ready" | "draining";
  /**
   * Time left until the target has warmed up, in milliseconds, as its entry tells
   * it; NaN when it is unreadable.
   */
  readonly warmUpLeftMs: number;
  /** Version of the target's software; empty when it is unknown. */
  readonly softwareVersion: string;
  /** Start time of the process, in epoch milliseconds; 0 when unknown. */
  readonly startedAtMs: number;
}

/** A router of the fleet and the addresses at which peers reach it. */
export interface RouterPeer {
  readonly id: string;
  /** IP address. */
  readonly address: string;
  /** UDP port that receives digests. */
  readonly digestPort: number;
  /** TCP port that serves pulls. */
  readonly pullPort: number;
}
