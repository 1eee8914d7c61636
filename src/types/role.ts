/** The components of one process. */

import type { Member } from "./member.ts";
import type { Patch } from "./configuration.ts";
import type {
  ConfigurationView,
  CrashView,
  LimitView,
  MeanLoadView,
  MemberView,
} from "./view.ts";

/** A JSON value of a diagnostic dump. */
export type Dump =
  | string
  | number
  | boolean
  | undefined
  | readonly Dump[]
  | { readonly [name: string]: Dump };

/** The view that one process has of the fleet, and its announcements to it. */
export interface Fleet {
  readonly members: MemberView;
  readonly means: MeanLoadView;
  readonly crashes: CrashView;
  readonly limits: LimitView;
  /** Returns the member record that this process currently announces. */
  getSelf(): Member;
  /** Sets how this process's load is read, in work units per weight of 100. */
  setLoadSource(read: () => number): void;
  /** Starts to gossip a new patch to all members immediately. */
  spreadPatch(patch: Patch): void;
  /** Announces that this process accepts no new work. */
  announceLeaving(): void;
  /**
   * Starts the gossip and joins the fleet; resolves when the member table is in
   * sync with another member's, or after a timeout.
   */
  start(): Promise<void>;
  /** Stops the gossip. */
  stop(): Promise<void>;
  /** Returns the state of the view for diagnosis. */
  dump(): Dump;
}

/** The configuration of one process, kept in sync with the platform. */
export interface ConfigurationStore extends ConfigurationView {
  /** Returns the 32-bit checksum of the configuration in force. */
  getChecksum(): number;
  /**
   * Applies patches that a member propagated, in the order of their versions.
   * Known patches are ignored, and a gap triggers a pull from the sender.
   */
  offerPatches(texts: readonly string[], sender: Member): void;
  /**
   * Handles the version and checksum that a member announced. A newer version
   * triggers a pull, and another checksum of the same version a check.
   */
  handleVersion(version: number, checksum: number, sender: Member): void;
  /** Loads the configuration from the platform or from a member. */
  start(): Promise<void>;
  /** Stops following the configuration. */
  stop(): Promise<void>;
  /** Returns the state of the store for diagnosis. */
  dump(): Dump;
}

/** The result of a graceful shutdown. */
export interface StopResult {
  /** Number of requests still running when the time limit was reached. */
  readonly cutOff: number;
  /** Duration of the shutdown, in milliseconds. */
  readonly tookMs: number;
}

/** A running router or agent. */
export interface Role {
  /** Returns true when the load balancer may send new work. */
  isReady(): boolean;
  /** Stops accepting new work; work in flight continues. */
  drain(operator: string): void;
  /** Drains, waits up to `shutdownMs` for work in flight, and stops. */
  stop(): Promise<StopResult>;
  /** Returns the state of the role for diagnosis. */
  dump(): Dump;
}
