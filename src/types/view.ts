/** Views of the fleet and of the configuration, as roles use them. */

import type { Configuration, Patch } from "./configuration.ts";
import type { Member } from "./member.ts";

/** The members as this process knows them now. */
export interface MemberView {
  /** Returns a service's agents that may receive new work, in order of id. */
  getAvailableAgents(service: string): readonly Member[];
  /** Returns the record of a member in any state. */
  tryGetMember(id: string): Member | undefined;
  /** Returns all records, in order of id. */
  getMembers(): readonly Member[];
  /** Records whether a member responded to a direct call. */
  recordContact(id: string, contact: "answered" | "failed"): void;
}

/** The mean load that an agent's load gate uses as its reference. */
export interface MeanLoadView {
  /** Returns the estimated mean load of a service. */
  getMean(service: string): MeanLoadEstimate;
}

/** An estimate of the mean load of one service. */
export interface MeanLoadEstimate {
  /** Mean load, in work units per weight of 100. */
  readonly mean: number;
  /** Number of live targets of the service that this process knows. */
  readonly targets: number;
  /** Age of the newest report from another member, in milliseconds. */
  readonly ageMs: number;
}

/** The configuration in force in this process. */
export interface ConfigurationView {
  /** Returns the configuration in force. */
  getConfiguration(): Configuration;
  /** Calls the listener after each change, by a patch or by a snapshot. */
  onChange(listener: () => void): void;
  /** Calls the listener after each patch that takes effect individually. */
  onPatch(listener: (patch: Patch) => void): void;
}

/** Requests that were in flight when targets crashed. */
export interface CrashView {
  /** Returns the number of crashes recorded for a fingerprint, 0 if none. */
  getCrashes(fingerprint: string): number;
  /** Records one crash and gossips the record. */
  recordCrash(fingerprint: string): void;
  /**
   * Clears a record after the request ran with no other suspect and its target
   * survived.
   */
  clearCrashes(fingerprint: string): void;
}

/** The fleet-wide limits of workspaces. */
export interface LimitView {
  /** Decides on one request; resolves at once when a grant is available. */
  acquire(workspace: string): Promise<LimitDecision>;
}

/** The decision whether a workspace's limit admits a request. */
export type LimitDecision =
  | { readonly kind: "granted" }
  | { readonly kind: "refused"; readonly retryAfterMs: number };
