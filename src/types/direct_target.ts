/** Targets that register themselves, and the routers beside this one. */

/** One incarnation of a target as the registry knows it. */
export interface DirectTarget {
  /** Names the incarnation; a restart mostly brings another one. */
  readonly id: string;
  readonly service: string;
  /** IP number and port. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Time that the target stays slow after its start, in milliseconds. */
  readonly warmUpLeftMs: number;
  /** Start of the process, epoch milliseconds; 0 when it is not told. */
  readonly startedAtMs: number;
}

/** A router of the fleet and where its peers reach it. */
export interface RouterPeer {
  readonly id: string;
  /** IP number. */
  readonly address: string;
  /** UDP port of digests. */
  readonly digestPort: number;
  /** TCP port of pulls. */
  readonly pullPort: number;
}
