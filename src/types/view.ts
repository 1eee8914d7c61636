/** What a role reads of the fleet and of the configuration. */

import type { Configuration, Patch } from "./configuration.ts";
import type { Member } from "./member.ts";

/** The members as this process knows them now. */
export interface MemberView {
  /** Agents of a service that may receive new work, in order of id. */
  getAvailableAgents(service: string): readonly Member[];
  /** The record of a member, whatever its state. */
  tryGetMember(id: string): Member | undefined;
  /** All records, in order of id. */
  getMembers(): readonly Member[];
  /** Tells the view that a direct call to a member failed or succeeded. */
  recordContact(id: string, contact: "answered" | "failed"): void;
}

/** The load mean that an agent's gate is held to. */
export interface MeanLoadView {
  /**
   * The mean load of the service, in work units per weight of 100, with the
   * number of members behind it and the age of the oldest report used.
   */
  getMean(service: string): MeanLoadEstimate;
}

/** An estimate of the mean load of one service. */
export interface MeanLoadEstimate {
  readonly mean: number;
  /** Live targets of the service that this process knows of. */
  readonly targets: number;
  /** Age of the newest report from another member, in milliseconds. */
  readonly ageMs: number;
}

/** The configuration in force in this process. */
export interface ConfigurationView {
  getConfiguration(): Configuration;
  /** Calls back after each change, by a patch or by a snapshot. */
  onChange(listener: () => void): void;
  /** Calls back after each patch that comes into force by itself. */
  onPatch(listener: (patch: Patch) => void): void;
}

/** Requests that took part in crashes of targets. */
export interface CrashView {
  /** Number of crashes on record for the fingerprint, 0 when unknown. */
  getCrashes(fingerprint: string): number;
  /** Adds one crash and spreads the record. */
  recordCrash(fingerprint: string): void;
  /** Withdraws a record: the request ran alone and its target lived. */
  clearCrashes(fingerprint: string): void;
}

/** Fleet-wide limits of workspaces. */
export interface LimitView {
  /** Asks for one request; resolves at once when a grant is at hand. */
  acquire(workspace: string): Promise<LimitDecision>;
}

/** The answer to one request for admission under a workspace's limit. */
export type LimitDecision =
  | { readonly kind: "granted" }
  | { readonly kind: "refused"; readonly retryAfterMs: number };
