/** A platform in memory, with faults on demand. */

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

/** What goes wrong now; change the fields at any moment. */
export interface Faults {
  /** Every call fails with `unavailable`, also watches that wait. */
  outage: boolean;
  /** Time before a call takes effect, in milliseconds. */
  delayMs: number;
  /** Writes to come that take effect while their answer is lost. */
  lostAnswers: number;
  /** Writes to come that are lost themselves; the writer cannot tell. */
  lostRequests: number;
  /** Only writes to keys with this prefix are lost. */
  lostPrefix: string;
  /** Reads per second over all clients; 0 means no limit. */
  readsPerSecond: number;
  /** Writes per second over all clients; 0 means no limit. */
  writesPerSecond: number;
  /** Age of the VM list that is answered, in milliseconds. */
  vmLagMs: number;
}

/** Number of calls by kind; a waiting watch counts as one. */
export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  /** Watches that wait now. */
  readonly waiting: number;
}

/** A client of the platform in memory. */
export interface MemoryPlatform extends Platform {
  /** Faults of this client alone. */
  readonly faults: Faults;
  /** Faults of the service, which all clients meet. */
  readonly serviceFaults: Faults;
  /** The data, for set-up and for looking behind the faults. */
  readonly store: MemoryStore;
  /** Calls of all clients. */
  getCalls(): CallCounts;
  /** Sets the true list of VMs. */
  setVms(vms: readonly Vm[]): void;
  /** Another client of the same service, with faults of its own. */
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

/** Largest value that the service holds, in bytes. */
export const maxValueBytes = 1_048_576;

/** Length of the window in which the rate limits count. */
const rateWindowMs = 1000;

/** How often a waiting watch looks for an outage. */
const outagePollMs = 50;

/** Returns faults that change nothing. */
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

/** Creates a service in memory and returns its first client. */
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
        ? Left(createError("unknown", "The answer was lost"))
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

/** Starts at once and runs one time, however often the result is read. */
function startOnce<T>(
  operation: () => Promise<Either<PlatformError, T>>,
): EitherAsync<PlatformError, T> {
  const result = operation();
  return EitherAsync.fromPromise(() => result);
}

function toEither<T>(result: T | "conflict"): Either<PlatformError, T> {
  return result === "conflict"
    ? Left(createError("conflict", "The revision is another"))
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
