/**
 * Reads the store until it responds, by further calls while earlier ones are
 * silent.
 *
 * Load pattern: the store, or the path of a router to it, is away for seconds. A
 * call that was made in that time gets no response after it either. All routers
 * restart meanwhile, and each would wait for its timeout while its callers are
 * refused; or one was cut off, and would know of what has left only then. So a
 * further call is made when a peer shows that it has read the store, and at
 * intervals before that. The first response counts, also one without a result.
 * Calls in flight are bounded.
 */

import { type Either, EitherAsync, Left } from "purify-ts";
import type { DirectoryError } from "../../../types/directory.ts";

/** What the reads need from the process. */
export interface RepeatedReadHost<Read> {
  /** Time without a response after which another call is made, in ms. */
  readonly intervalMs: number;
  /** Reads, and calls `onHead` when the response begins. */
  read(onHead: () => void): EitherAsync<DirectoryError, Read>;
  recordHead(): void;
  /** Returns false once no further call is wanted. */
  isNeeded(): boolean;
  /** True to fail then, where no response has begun; false to wait for one. */
  readonly givesUp: boolean;
  /** Records that a call has failed while others are in flight. */
  recordFailure(error: DirectoryError): void;
}

/** Reads of which the first that succeeds counts. */
export interface RepeatedRead<Read> {
  /** Returns what the first response says; an error when there is none. */
  run(): EitherAsync<DirectoryError, Read>;
  /** Reports that a peer has read the store, so that a call may succeed now. */
  reportPeerRead(): void;
}

/** Minimum time between two calls after reports of peers, in milliseconds. */
const peerCallIntervalMs = 150;

/** Maximum number of calls in flight. */
const maxCalls = 3;

/** Returns the failure of calls to which the store has sent nothing. */
export function createSilentError(): DirectoryError {
  return {
    kind: "unavailable",
    message: "The store has not responded to a call",
  };
}

/** Any other error than an unavailable store is a response of it. */
export function hasResponded(
  result: Either<DirectoryError, unknown>,
): boolean {
  return result.caseOf({
    Left: ({ kind }) => kind !== "unavailable",
    Right: () => true,
  });
}

/** Creates reads of which no call was made. */
export function createRepeatedRead<Read>(
  host: RepeatedReadHost<Read>,
): RepeatedRead<Read> {
  let lastCallAt = Number.NEGATIVE_INFINITY;
  let startCall: () => void = () => undefined;

  return {
    run: () => EitherAsync.fromPromise(run),
    reportPeerRead: () => {
      if (performance.now() - lastCallAt >= peerCallIntervalMs) startCall();
    },
  };

  async function run(): Promise<Either<DirectoryError, Read>> {
    let calls = 0;
    let hasBegun = false;
    const onHead = (): void => {
      hasBegun = true;
      host.recordHead();
    };
    let timer: NodeJS.Timeout | undefined;
    try {
      return await new Promise((resolve) => {
        startCall = () => {
          if (calls >= maxCalls || (calls > 0 && !host.isNeeded())) return;
          calls++;
          lastCallAt = performance.now();
          void host.read(onHead).run().then((result) => {
            calls--;
            if (calls === 0 || hasResponded(result)) resolve(result);
            else result.ifLeft(host.recordFailure);
          });
        };
        startCall();
        timer = setInterval(() => {
          if (host.isNeeded()) startCall();
          // Calls that were lost would hold up what the reader does next.
          else if (host.givesUp && !hasBegun) {
            resolve(Left(createSilentError()));
          }
        }, host.intervalMs).unref();
      });
    } finally {
      clearInterval(timer);
      startCall = () => undefined;
    }
  }
}
