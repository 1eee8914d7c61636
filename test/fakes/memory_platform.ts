/** An in-memory platform with faults on demand. */

import { EitherAsync, Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import type {
  Platform,
  PlatformError,
  PlatformErrorKind,
  Vm,
  WatchEvent,
} from "../../src/types/platform.ts";
import { createMemoryStore, type MemoryStore } from "./memory_store.ts";

/** Faults that are active now; tests change the fields at any time. */
export interface Faults {
  /** True while every call, even a waiting watch, fails as `unavailable`. */
  outage: boolean;
  /** Time before a call takes effect, in milliseconds. */
  delayMs: number;
  /** Number of subsequent writes that take effect but lose their response. */
  lostAnswers: number;
  /**
   * Number of subsequent writes that are lost before they take effect; for the
   * writer they fail like those of `lostAnswers`.
   */
  lostRequests: number;
  /** Prefix of the keys whose requests or responses are lost. */
  lostPrefix: string;
  /** Limit of reads per second over all clients; 0 means no limit. */
  readsPerSecond: number;
  /** Limit of writes per second over all clients; 0 means no limit. */
  writesPerSecond: number;
  /** Age of the returned VM list, in milliseconds. */
  vmLagMs: number;
}

/** Number of calls by kind; a waiting watch counts as one call. */
export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  /** Number of watches that are waiting now. */
  readonly waiting: number;
}

/** A client of the in-memory platform. */
export interface MemoryPlatform extends Platform {
  /** Faults of this client only. */
  readonly faults: Faults;
  /** Faults of the service; they affect all clients. */
  readonly serviceFaults: Faults;
  /** The stored data, for access without faults. */
  readonly store: MemoryStore;
  /** Returns the number of calls of all clients. */
  getCalls(): CallCounts;
  /** Sets the current list of VMs. */
  setVms(vms: readonly Vm[]): void;
  /** Creates another client of the same service, with its own faults. */
  connect(): MemoryPlatform;
}

interface ServiceState {
  readonly store: MemoryStore;
  readonly faults: Faults;
  readonly calls: {
    reads: number;
    writes: number;
    watches: number;
    waiting: number;
  };
  readonly recentCalls: { read: number[]; write: number[] };
}

type CallKind = "read" | "write";

/** Maximum size of a value, in bytes. */
export const maxValueBytes = 1_048_576;

/** Length of the sliding window of the rate limits, in milliseconds. */
const rateWindowMs = 1000;

/** Time between two outage checks of a waiting watch, in milliseconds. */
const outagePollMs = 50;

/** Creates a set of inactive faults. */
export function createFaults(): Faults {
  return {
    outage: false,
    delayMs: 0,
    lostAnswers: 0,
    lostRequests: 0,
    lostPrefix: "",
    readsPerSecond: 0,
    writesPerSecond: 0,
    vmLagMs: 0,
  };
}

/** Creates an in-memory service and returns its first client. */
export function createMemoryPlatform(): MemoryPlatform {
  return createClient({
    store: createMemoryStore(),
    faults: createFaults(),
    calls: { reads: 0, writes: 0, watches: 0, waiting: 0 },
    recentCalls: { read: [], write: [] },
  });
}

function createClient(service: ServiceState): MemoryPlatform {
  const { store } = service;
  const faults = createFaults();

  return {
    faults,
    serviceFaults: service.faults,
    store,
    getCalls: () => ({ ...service.calls }),
    setVms: (vms) => store.setVms(vms),
    connect: () => createClient(service),
    get: (key) => read(() => store.get(key)),
    list: (prefix, options) => read(() => store.list(prefix, options)),
    listVms: () =>
      read(() =>
        store.getVms(Math.max(faults.vmLagMs, service.faults.vmLagMs))
      ),
    put: (key, value, options) =>
      write(
        key,
        () =>
          Buffer.byteLength(value) > maxValueBytes
            ? Left(createError("unavailable", "The value is too large"))
            : toEither(store.put(key, value, options)),
      ),
    remove: (key, expectedRevision) =>
      write(key, () => toEither(store.remove(key, expectedRevision))),
    createLease: (ttlMs) => write("", () => Right(store.createLease(ttlMs))),
    renewLease: (lease) => write("", () => toEither(store.renewLease(lease))),
    watch: (prefix, options) =>
      startOnce(async () => {
        service.calls.watches++;
        return await watch(prefix, options);
      }),
  };

  function read<T>(operation: () => T): EitherAsync<PlatformError, T> {
    return startOnce(async () => {
      service.calls.reads++;
      const admissionError = await admit("read");
      return admissionError === undefined
        ? Right(operation())
        : Left(admissionError);
    });
  }

  function write<T>(
    key: string,
    operation: () => Either<PlatformError, T>,
  ): EitherAsync<PlatformError, T> {
    return startOnce(async () => {
      service.calls.writes++;
      const admissionError = await admit("write");
      if (admissionError !== undefined) return Left(admissionError);
      if (tryConsumeLoss("lostRequests", key)) {
        return Left(createError("unknown", "The request was lost"));
      }
      const result = operation();
      return tryConsumeLoss("lostAnswers", key)
        ? Left(createError("unknown", "The response was lost"))
        : result;
    });
  }

  function tryConsumeLoss(
    kind: "lostAnswers" | "lostRequests",
    key: string,
  ): boolean {
    const source = [faults, service.faults].find((candidate) =>
      candidate[kind] > 0 && key.startsWith(candidate.lostPrefix)
    );
    if (source === undefined) return false;
    source[kind]--;
    return true;
  }

  async function admit(kind: CallKind): Promise<PlatformError | undefined> {
    const delayMs = Math.max(faults.delayMs, service.faults.delayMs);
    if (isDown()) return createError("unavailable", "The service is down");
    if (!tryConsumeRate(kind)) {
      return createError("unavailable", "The rate limit is reached", 100);
    }
    if (delayMs === 0) return undefined;
    await sleep(delayMs);
    return isDown()
      ? createError("unavailable", "The service is down")
      : undefined;
  }

  function isDown(): boolean {
    return faults.outage || service.faults.outage;
  }

  function tryConsumeRate(kind: CallKind): boolean {
    const limit = kind === "read"
      ? service.faults.readsPerSecond
      : service.faults.writesPerSecond;
    if (limit === 0) return true;
    const since = Date.now() - rateWindowMs;
    const recent = service.recentCalls[kind].filter((at) => at > since);
    service.recentCalls[kind] = recent;
    if (recent.length >= limit) return false;
    recent.push(Date.now());
    return true;
  }

  async function watch(
    prefix: string,
    options: { readonly afterRevision: number; readonly waitMs: number },
  ): Promise<Either<PlatformError, readonly WatchEvent[]>> {
    const admissionError = await admit("read");
    if (admissionError !== undefined) return Left(admissionError);
    service.calls.waiting++;
    const deadlineAt = Date.now() + options.waitMs;
    try {
      while (true) {
        if (isDown()) {
          return Left(createError("unavailable", "The service is down"));
        }
        const changes = store.getChanges(prefix, options.afterRevision);
        const remainingMs = deadlineAt - Date.now();
        if (changes.length > 0 || remainingMs <= 0) return Right(changes);
        await waitForChange(Math.min(remainingMs, outagePollMs));
      }
    } finally {
      service.calls.waiting--;
    }
  }

  function waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(end, waitMs);
      const unsubscribe = store.onChange(end);

      function end(): void {
        clearTimeout(timer);
        unsubscribe();
        resolve();
      }
    });
  }
}

/** Runs an operation at once, and only once however often it is awaited. */
function startOnce<T>(
  operation: () => Promise<Either<PlatformError, T>>,
): EitherAsync<PlatformError, T> {
  const result = operation();
  return EitherAsync.fromPromise(() => result);
}

function toEither<T>(result: T | "conflict"): Either<PlatformError, T> {
  return result === "conflict"
    ? Left(createError("conflict", "The revision or lease does not match"))
    : Right(result);
}

function createError(
  kind: PlatformErrorKind,
  message: string,
  retryAfterMs = 0,
): PlatformError {
  return { kind, message, retryAfterMs };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
