/**
 * Finds out by small reads when a silent store responds again.
 *
 * Load pattern: the path of a router to the store is away for a second or some. The
 * call that was made in that time stays silent after it, until its timeout. Only a
 * later call shows that the path is back. While the store is silent, each router
 * that reads it makes two or three small reads a second.
 */

import { type Either, EitherAsync, Left } from "purify-ts";
import type {
  Changes,
  DirectoryError,
  DirectoryStore,
  ListOptions,
} from "../../../types/directory.ts";
import {
  createRepeatedRead,
  createSilentError,
  hasResponded,
} from "./repeated_read.ts";

/** What the probes need from the process. */
export interface StoreProbesHost {
  readonly store: Pick<DirectoryStore, "watch">;
  /** Returns the revision after which changes are of interest. */
  getRevision(): number;
  /** Returns true while this router is to find out whether the store responds. */
  isNeeded(): boolean;
  recordHead(): void;
  recordFailure(error: DirectoryError): void;
  countCall(call: "watch"): void;
}

/** A call that tells when its response begins. */
type ProbedCall<Result> = (
  options: ListOptions,
) => EitherAsync<DirectoryError, Result>;

/** The probes of one router. */
export interface StoreProbes {
  /** Reads the changes of targets as soon as the store responds. */
  run(): EitherAsync<DirectoryError, Changes>;
  /**
   * Makes a call that the store may hold for a time, in milliseconds. While its
   * response is owed, probes are made; once one of them succeeds, the call fails.
   */
  runBeside<Result>(
    waitMs: number,
    options: ListOptions,
    call: ProbedCall<Result>,
  ): EitherAsync<DirectoryError, Result>;
}

/** Wait of a probe for changes, in milliseconds; it is answered at once. */
const probeWaitMs = 1;

/**
 * Time between two probes, in milliseconds. After the first that succeeds, targets
 * can register again before a router that was cut off is in touch.
 */
const probeIntervalMs = 400;

/** Time after which the response to a call is owed, in milliseconds. */
export const responseToleranceMs = 250;

/** Creates the probes; none is made before the first call. */
export function createStoreProbes(host: StoreProbesHost): StoreProbes {
  return {
    run: () => createProbes(() => true).run(),
    runBeside: (waitMs, options, call) =>
      EitherAsync.fromPromise(() => raceProbes(waitMs, options, call)),
  };

  function createProbes(isWanted: () => boolean) {
    return createRepeatedRead({
      intervalMs: probeIntervalMs,
      read: (onHead) => {
        host.countCall("watch");
        return host.store.watch({
          ...{ afterRevision: host.getRevision(), kind: "target" },
          ...{ waitMs: probeWaitMs, onHead },
        });
      },
      isNeeded: () => isWanted() && host.isNeeded(),
      givesUp: false,
      ...{ recordHead: host.recordHead, recordFailure: host.recordFailure },
    });
  }

  function raceProbes<Result>(
    waitMs: number,
    options: ListOptions,
    call: ProbedCall<Result>,
  ): Promise<Either<DirectoryError, Result>> {
    return new Promise((resolve) => {
      let isSilent = true;
      const timer = setTimeout(() => {
        if (!host.isNeeded()) return;
        void createProbes(() => isSilent).run().run().then((probed) => {
          if (isSilent && hasResponded(probed)) {
            resolve(Left(createSilentError()));
          }
        });
      }, waitMs + responseToleranceMs).unref();
      void call({ ...options, onHead }).run().then((result) => {
        endSilence();
        resolve(result);
      });

      function onHead(): void {
        options.onHead?.();
        endSilence();
      }

      function endSilence(): void {
        isSilent = false;
        clearTimeout(timer);
      }
    });
  }
}
