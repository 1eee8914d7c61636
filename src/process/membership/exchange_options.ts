/** Defines how much the exchange sends, and the defaults. */

import type { Member } from "../../types/member.ts";
import type { createMeanEstimator } from "../admission/mean_estimator.ts";

/** Rates and limits of the exchange. */
export interface ExchangeOptions {
  readonly self: Member;
  /** Peers of the same service probed per second, in a large service. */
  readonly peersPerSecond: number;
  /** Times per second that all peers are probed, in a small service. */
  readonly smallServiceCyclesPerSecond: number;
  /** Members of any role and service probed per second. */
  readonly membersPerSecond: number;
  /** Dead members probed per second, to find those that came back. */
  readonly deadPerSecond: number;
  /** Number of members that each gossip round is sent to. */
  readonly fanOut: number;
  /** How the mean load is computed; see `createMeanEstimator`. */
  readonly mean: Parameters<typeof createMeanEstimator>[0];
  /** Returns a random number from 0 up to, but not including, 1. */
  readonly random: () => number;
}

/** The defaults of a running process. */
export const defaultExchangeOptions = {
  peersPerSecond: 4,
  smallServiceCyclesPerSecond: 1,
  membersPerSecond: 1,
  deadPerSecond: 0.5,
  fanOut: 3,
  mean: { windowMs: 2_000, peerMeanWeight: 0 },
} as const;
