/**
 * Makes the calls of a router that reads the store, one after the other, with
 * probes beside those that stay silent.
 */

import type { EitherAsync } from "purify-ts";
import type {
  Changes,
  DirectoryError,
  DirectoryStore,
  Listing,
  ListOptions,
} from "../../../types/directory.ts";
import type { StorePosition } from "../../../types/store_position.ts";
import { getBackOffMs } from "../../membership/jitter.ts";
import type { StoreContact } from "../store/store_contact.ts";
import { readBesideUrgent } from "./missed_changes.ts";
import { createStoreProbes, responseToleranceMs } from "./store_probes.ts";
import type { UrgentReads } from "./urgent_reads.ts";

/** What the calls need from the process. */
export interface WatcherCallsHost {
  readonly contact: Pick<
    StoreContact,
    | "beginCall"
    | "getFailures"
    | "recordFailure"
    | "recordHead"
    | "recordSuccess"
  >;
  readonly urgentReads: UrgentReads;
  readonly store: Pick<DirectoryStore, "watch">;
  getPosition(): StorePosition;
  isStopped(): boolean;
  /** Returns true while this router has the turn to watch the store. */
  mayProbe(): boolean;
  countCall(call: "watch"): void;
}

/** The calls of one router. */
export interface WatcherCalls {
  /**
   * Makes a call that the store may hold for `waitMs`, in milliseconds; returns
   * undefined after a failure and a delay.
   */
  tryCall<T extends Pick<Listing, "position">>(
    waitMs: number,
    call: (options: ListOptions) => EitherAsync<DirectoryError, T>,
  ): Promise<T | undefined>;
  /**
   * Reads changes of targets as soon as the store responds; returns undefined
   * after a failure and a delay.
   */
  tryReach(): Promise<Changes | undefined>;
  /** Returns true when the last call failed without a response in time. */
  wasSilent(): boolean;
}

/**
 * Delay after failed calls. It is short compared with the seconds within which
 * a change must take effect.
 */
const failureBackOff = { firstMs: 60, maxMs: 500 } as const;

/** Creates the calls; none is made before the first `tryCall`. */
export function createWatcherCalls(host: WatcherCallsHost): WatcherCalls {
  const { contact, urgentReads } = host;
  const probes = createStoreProbes({
    ...{ store: host.store, countCall: host.countCall },
    getRevision: () => host.getPosition().revision,
    isNeeded: () => !host.isStopped() && host.mayProbe(),
    ...{ recordHead: contact.recordHead, recordFailure: contact.recordFailure },
  });

  let wasSilent = false;

  return {
    tryCall: (waitMs, call) =>
      tryCallAlone(
        waitMs,
        (options) => probes.runBeside(waitMs, options, call),
      ),
    tryReach: () => tryCallAlone(0, probes.run),
    wasSilent: () => wasSilent,
  };

  async function tryCallAlone<T extends Pick<Listing, "position">>(
    waitMs: number,
    call: (options: ListOptions) => EitherAsync<DirectoryError, T>,
  ): Promise<T | undefined> {
    const endCall = contact.beginCall(waitMs);
    const owedAt = performance.now() + waitMs + responseToleranceMs;
    const result = await readBesideUrgent(
      urgentReads,
      (onLongBody) => call({ onLongBody, onHead: contact.recordHead }),
    );
    endCall();
    wasSilent = result.isLeft() && performance.now() >= owedAt;
    return await result.caseOf<Promise<T | undefined>>({
      Left: async (error) => {
        // Stopping closes the client, which fails the pending call.
        if (host.isStopped()) return undefined;
        contact.recordFailure(error);
        if (error.kind !== "compacted") await backOff();
        return undefined;
      },
      Right: (value) => {
        contact.recordSuccess(value.position);
        return Promise.resolve(value);
      },
    });
  }

  function backOff(): Promise<void> {
    return new Promise((resolve) => {
      const delayMs = getBackOffMs(contact.getFailures(), failureBackOff);
      setTimeout(resolve, delayMs).unref();
    });
  }
}
