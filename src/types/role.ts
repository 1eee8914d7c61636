/** How the parts of one process are put together. */

import type { Member } from "./member.ts";
import type { Patch } from "./configuration.ts";
import type {
  ConfigurationView,
  CrashView,
  LimitView,
  MeanLoadView,
  MemberView,
} from "./view.ts";

/** JSON values of a dump. */
export type Dump =
  | string
  | number
  | boolean
  | undefined
  | readonly Dump[]
  | { readonly [name: string]: Dump };

/** What one process knows of and says to the rest of the fleet. */
export interface Fleet {
  readonly members: MemberView;
  readonly means: MeanLoadView;
  readonly crashes: CrashView;
  readonly limits: LimitView;
  /** The own record as it is announced now. */
  getSelf(): Member;
  /** Sets where the own load is read, in work units per weight of 100. */
  setLoadSource(read: () => number): void;
  /** Passes a new patch on to all members at once. */
  spreadPatch(patch: Patch): void;
  /** Announces that this process takes no new work. */
  announceLeaving(): void;
  /** Finds members and begins the exchange; resolves when one is known. */
  start(): Promise<void>;
  /** Ends the exchange. */
  stop(): Promise<void>;
  dump(): Dump;
}

/** The configuration of one process, kept in step with the platform. */
export interface ConfigurationStore extends ConfigurationView {
  /** Checksum of the configuration in force, 32 bits. */
  getChecksum(): number;
  /**
   * Takes patches that a member passed on. They come into force in order;
   * known ones are ignored and a gap starts a pull from the sender.
   */
  offerPatches(texts: readonly string[], sender: Member): void;
  /** Takes the version and checksum that a member announced. */
  handleVersion(version: number, checksum: number, sender: Member): void;
  /** Loads the configuration from the platform, or from a member. */
  start(): Promise<void>;
  stop(): Promise<void>;
  dump(): Dump;
}

/** What became of a graceful shutdown. */
export interface StopResult {
  /** Requests that were still running when the bound was reached. */
  readonly cutOff: number;
  readonly tookMs: number;
}

/** A running router or agent. */
export interface Role {
  /** False while the process should get no new work from the balancer. */
  isReady(): boolean;
  /** Begins to leave: no new work, work in flight goes on. */
  drain(operator: string): void;
  /** Drains, waits for work in flight up to `shutdownMs`, then ends. */
  stop(): Promise<StopResult>;
  dump(): Dump;
}
