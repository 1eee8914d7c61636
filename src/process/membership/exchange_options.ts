/** Numbers that set what the exchange with the fleet sends. */

import type { Member } from "../../types/member.ts";
import type { createMean } from "../admission/mean_estimate.ts";

/** Numbers that set how much is sent. */
export interface ExchangeOptions {
  readonly self: Member;
  /** Peers of the own service that are probed a second. */
  readonly peersPerSecond: number;
  /** Turns a second through all peers of a small service. */
  readonly smallServiceCyclesPerSecond: number;
  /** Members of any kind that are probed a second. */
  readonly membersPerSecond: number;
  /** Members believed dead that are probed a second. */
  readonly deadPerSecond: number;
  /** Members that each round of news is sent to. */
  readonly fanOut: number;
  /** How the mean load is worked out; see `createMean`. */
  readonly mean: Parameters<typeof createMean>[0];
  /** Random numbers from 0 up to 1. */
  readonly random: () => number;
}

/** The usual numbers. */
export const defaultExchangeOptions = {
  peersPerSecond: 4,
  smallServiceCyclesPerSecond: 1,
  membersPerSecond: 1,
  deadPerSecond: 0.5,
  fanOut: 3,
  mean: { windowMs: 2_000, peerMeanWeight: 0 },
} as const;
