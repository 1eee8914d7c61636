import { type Either, EitherAsync, Left, Right } from "purify-ts";
import type {
  Changes,
  DirectoryError,
  Listing,
} from "../../../types/directory.ts";
import { createLog, createSilentLog } from "../../telemetry/log.ts";
import { createDirectoryReplica } from "./directory_replica.ts";
import { createDirectorySync } from "./directory_sync.ts";

type Step =
  | { readonly kind: "pending"; readonly result: Promise<Changes> }
  | { readonly kind: "listing"; readonly listing: Listing }
  | { readonly kind: "changes"; readonly changes: Changes }
  | {
    readonly kind: "error";
    readonly error: DirectoryError;
    /** Era that the response names, if any. */
    readonly era?: number;
  };

/** Creates a store that responds with the script's steps, then not at all. */
function createScriptedStore(script: readonly Step[]) {
  const calls: string[] = [];
  const steps = [...script];

  let era = 0;
  return {
    calls,
    list: () => answer<Listing>("list"),
    watch,
    resolveKey: () => undefined,
    getEra: () => era,
    /** Names an era in the response to another call. */
    nameEra: (named: number) => {
      era = named;
    },
  };

  function watch({ afterRevision }: { readonly afterRevision: number }) {
    return answer<Changes>(`watch ${afterRevision}`);
  }

  function answer<T>(call: string): EitherAsync<DirectoryError, T> {
    calls.push(call);
    const step = steps.shift();
    return EitherAsync.fromPromise(async () => {
      if (step === undefined) return await new Promise<never>(() => undefined);
      if (step.kind === "pending") {
        return Right(await step.result as unknown as T);
      }
      if (step.kind === "error") {
        era = Math.max(era, step.era ?? 0);
        return Left(step.error);
      }
      const value = step.kind === "listing" ? step.listing : step.changes;
      era = Math.max(era, value.position.era);
      return Right(value as unknown as T);
    });
  }
}

const unavailable: Step = {
  kind: "error",
  error: { kind: "unavailable", message: "down" },
};

describe("directory synchronization", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  function start(script: readonly Step[]) {
    const store = createScriptedStore(script);
    const changes: string[] = [];
    const pushed: string[] = [];
    const returns: number[] = [];
    const watchers = {
      shouldWatch: true,
      watchersAhead: 0,
      lastWatchedAt: Number.NEGATIVE_INFINITY,
    };
    const replica = createDirectoryReplica();
    const sync = createDirectorySync({
      selfId: "self",
      store,
      replica,
      watchers: {
        shouldWatch: () => watchers.shouldWatch,
        countWatchersAhead: () => watchers.watchersAhead,
        getLastWatchedAt: () => watchers.lastWatchedAt,
      },
      pushChanges: (events, { position: { revision } }) =>
        events.forEach(({ key }) => pushed.push(`${key} after ${revision}`)),
      pushUrgent: (events) =>
        events.forEach(({ key }) => pushed.push(`${key} at once`)),
      handleReturn: () => returns.push(performance.now()),
      handleOutageRevised: () => undefined,
      tellSilent: () => undefined,
      log: createSilentLog(),
      handleChanges: (events, source) =>
        events.forEach(({ key }) => changes.push(`${key} by ${source}`)),
      countCall: () => undefined,
    });
    sync.start();
    return { store, changes, pushed, returns, sync, watchers, replica };
  }

  describe("before the first response", () => {
    it("needs no peers while a healthy store may still respond", async () => {
      const { sync } = start([]);
      await jest.advanceTimersByTimeAsync(400);
      expect(sync.needsPeers()).toBe(false);
    });

    it("needs peers when the store is unresponsive", async () => {
      const { sync } = start([]);
      await jest.advanceTimersByTimeAsync(600);
      expect(sync.needsPeers()).toBe(true);
    });

    it("needs peers at once when the store is unavailable", async () => {
      const { sync } = start([unavailable]);
      await jest.advanceTimersByTimeAsync(1);
      expect(sync.needsPeers()).toBe(true);
    });
  });

  describe("after a restart of all routers during an outage", () => {
    const hanging: Step = {
      kind: "pending",
      result: new Promise(() => undefined),
    };

    it("lists as soon as a peer has read the store", async () => {
      const { sync, changes } = start([hanging, listing]);
      await jest.advanceTimersByTimeAsync(200);
      sync.recordPeerRead();
      await jest.advanceTimersByTimeAsync(0);
      expect(changes).toEqual(["a by listing"]);
    });

    it("lists again although no peer reports the end of it", async () => {
      const { changes } = start([hanging, listing]);
      await jest.advanceTimersByTimeAsync(600);
      expect(changes).toEqual(["a by listing"]);
    });

    it("makes few calls, whatever peers report", async () => {
      const { sync, store } = start(Array(20).fill(hanging));
      for (let report = 0; report < 100; report++) {
        sync.recordPeerRead();
        await jest.advanceTimersByTimeAsync(30);
      }
      expect(store.calls.length).toBeLessThanOrEqual(3);
    });

    it("knows that the store fails while other calls hang", async () => {
      const { sync } = start([hanging, unavailable, hanging]);
      await jest.advanceTimersByTimeAsync(600);
      expect(sync.hasFailed()).toBe(true);
    });
  });

  const listing: Step = {
    kind: "listing",
    listing: {
      entries: [{ key: "a", value: "x", revision: 3 }],
      position: { era: 1, revision: 4 },
    },
  };

  it("lists, then watches from the revision of the listing", async () => {
    const { store, changes } = start([listing, {
      kind: "changes",
      changes: {
        events: [{ key: "b", value: "y", revision: 6 }],
        position: { era: 1, revision: 8 },
      },
    }]);
    await jest.advanceTimersByTimeAsync(0);
    expect(changes).toEqual(["a by listing", "b by watch"]);
    await jest.advanceTimersByTimeAsync(399);
    expect(store.calls).toEqual(["list", "watch 4"]);
    await jest.advanceTimersByTimeAsync(1);
    expect(store.calls).toEqual(["list", "watch 4", "watch 8"]);
  });

  it("batches changes that arrive in a burst", async () => {
    const { changes, store } = start([
      listing,
      ...[6, 7, 8].map((
        revision,
      ): Step => ({
        kind: "changes",
        changes: {
          events: [{ key: `k${revision}`, value: "y", revision }],
          position: { era: 1, revision },
        },
      })),
    ]);
    await jest.advanceTimersByTimeAsync(800);
    expect(store.calls)
      .toEqual(["list", "watch 4", "watch 6", "watch 7"]);
    expect(changes.length).toBe(4);
  });

  it("lists again at once when the history is compacted", async () => {
    const gone: Step = {
      kind: "error",
      error: { kind: "compacted", message: "gone" },
    };
    const { store, sync } = start([listing, gone, listing]);
    await jest.advanceTimersByTimeAsync(0);
    expect(store.calls).toEqual(["list", "watch 4", "list", "watch 4"]);
    expect(sync.isConnected()).toBe(true);
  });

  it("logs no failed store call when it is stopped", async () => {
    const lines: string[] = [];
    const log = createLog({ writeLine: (line) => lines.push(line) }, {
      level: "info",
      fields: {},
    });
    let endWatch: (result: Either<DirectoryError, Changes>) => void;
    const watchResult = new Promise<Either<DirectoryError, Changes>>(
      (resolve) => {
        endWatch = resolve;
      },
    );
    const sync = createDirectorySync({
      selfId: "self",
      store: {
        list: createScriptedStore([listing]).list,
        resolveKey: () => undefined,
        getEra: () => 1,
        watch: () => EitherAsync.fromPromise(() => watchResult),
      },
      replica: createDirectoryReplica(),
      watchers: {
        shouldWatch: () => true,
        countWatchersAhead: () => 0,
        getLastWatchedAt: () => Number.NEGATIVE_INFINITY,
      },
      pushChanges: () => undefined,
      pushUrgent: () => undefined,
      log,
      handleChanges: () => undefined,
      handleReturn: () => undefined,
      handleOutageRevised: () => undefined,
      tellSilent: () => undefined,
      countCall: () => undefined,
    });
    sync.start();
    await jest.advanceTimersByTimeAsync(0);
    sync.stop();
    endWatch!(Left({ kind: "unavailable", message: "client destroyed" }));
    await jest.advanceTimersByTimeAsync(100);
    expect(lines.filter((line) => line.includes("Store call failed")))
      .toEqual([]);
  });

  describe("an outage", () => {
    it("does not include a single interrupted watch", async () => {
      const { sync } = start([listing, unavailable, listing]);
      await jest.advanceTimersByTimeAsync(500);
      expect(sync.isConnected()).toBe(true);
      expect(sync.getOutageEndedAt()).toBe(Number.NEGATIVE_INFINITY);
    });

    it("ends with the first response after more than two seconds", async () => {
      const failures = Array.from({ length: 16 }, () => unavailable);
      const { sync } = start([listing, ...failures, listing]);
      await jest.advanceTimersByTimeAsync(1_000);
      expect(sync.isConnected()).toBe(false);
      await jest.advanceTimersByTimeAsync(8_500);
      expect(sync.isConnected()).toBe(true);
      expect(sync.getOutageEndedAt()).toBeGreaterThan(0);
    });

    it("is none while a peer reads the store", async () => {
      const failures = Array.from({ length: 16 }, () => unavailable);
      const { sync } = start([listing, ...failures, listing]);
      for (let contactMs = 250; contactMs <= 9_500; contactMs += 250) {
        await jest.advanceTimersByTimeAsync(250);
        sync.recordPeerContact("p", { contactMs, ageMs: 0, silentMs: 0 });
      }
      expect(sync.isConnected()).toBe(true);
      expect(sync.getOutageEndedAt()).toBe(Number.NEGATIVE_INFINITY);
    });

    it("is none once a peer that read the store is heard again", async () => {
      const failures = Array.from({ length: 16 }, () => unavailable);
      const { sync } = start([listing, ...failures, listing]);
      await jest.advanceTimersByTimeAsync(9_500);
      const endedAt = sync.getOutageEndedAt();
      sync.recordPeerContact("p", {
        ...{ contactMs: 16_000, ageMs: 0, silentMs: 0 },
      });
      expect(sync.getOutageEndedAt()).toBeLessThan(endedAt - 10_000);
    });

    it("ended when the first router reached the store", async () => {
      const failures = Array.from({ length: 16 }, () => unavailable);
      const { sync } = start([listing, ...failures, listing]);
      await jest.advanceTimersByTimeAsync(9_500);
      const endedAt = sync.getOutageEndedAt();
      sync.recordPeerContact("p", {
        contactMs: performance.now() - endedAt + 300,
        ...{ ageMs: 0, silentMs: 0 },
      });
      expect(sync.getOutageEndedAt()).toBe(endedAt - 300);
    });
  });

  it("applies a peer's changes while the store is unavailable", async () => {
    const { sync, changes } = start([unavailable]);
    await jest.advanceTimersByTimeAsync(0);
    sync.applyPeerCopy({
      position: { era: 1, revision: 9 },
      isComplete: true,
      lostEntries: [],
      changes: [{ key: "c", value: "z", revision: 9 }],
    });
    sync.applyPeerCopy({
      position: { era: 1, revision: 7 },
      isComplete: false,
      lostEntries: [],
      changes: [{ key: "c", value: "old", revision: 7 }],
    });
    expect(changes).toEqual(["c by peer"]);
  });

  describe("of a router that reads the store for others", () => {
    const change: Step = {
      kind: "changes",
      changes: {
        events: [
          { key: "b", value: "y", revision: 6 },
          { key: "c", value: "z", revision: 7 },
        ],
        position: { era: 1, revision: 8 },
      },
    };

    it("pushes what it watches, but not the listing", async () => {
      const { pushed, sync } = start([listing, change]);
      await jest.advanceTimersByTimeAsync(0);
      expect(pushed).toEqual(["b after 4", "c after 4"]);
      expect(sync.isWatching()).toBe(true);
    });

    it("pushes nothing that it knows from another's push", async () => {
      const { pushed, sync } = start([listing]);
      await jest.advanceTimersByTimeAsync(0);
      sync.applyPush({
        afterRevision: 3,
        position: { era: 1, revision: 6 },
        changes: [{ key: "b", value: "y", revision: 6 }],
      });
      expect(pushed).toEqual([]);
    });

    it("watches less often than one of higher rank", async () => {
      const { store, watchers } = start([listing, change]);
      watchers.watchersAhead = 1;
      await jest.advanceTimersByTimeAsync(599);
      expect(store.calls).toEqual(["list", "watch 4"]);
      await jest.advanceTimersByTimeAsync(1);
      expect(store.calls).toEqual(["list", "watch 4", "watch 8"]);
    });

    it("reports it through a pause and a watch without changes", async () => {
      const { sync, watchers } = start([listing, change]);
      watchers.watchersAhead = 1;
      await jest.advanceTimersByTimeAsync(600 + 1_000);
      expect(sync.isWatching()).toBe(true);
    });

    it("no longer reports it half a second after a response is due", async () => {
      const { sync } = start([listing]);
      await jest.advanceTimersByTimeAsync(1_400);
      expect(sync.isWatching()).toBe(true);
      await jest.advanceTimersByTimeAsync(200);
      expect(sync.isWatching()).toBe(false);
    });
  });

  describe("of a router that others read the store for", () => {
    it("lists once and does not watch", async () => {
      const { store, watchers, sync } = start([listing]);
      watchers.shouldWatch = false;
      await jest.advanceTimersByTimeAsync(5_000);
      expect(store.calls).toEqual(["list"]);
      expect(sync.isWatching()).toBe(false);
    });

    it("watches from what it knows once it has to", async () => {
      const { store, watchers, sync } = start([listing]);
      watchers.shouldWatch = false;
      await jest.advanceTimersByTimeAsync(200);
      sync.applyPush({
        afterRevision: 4,
        position: { era: 1, revision: 6 },
        changes: [{ key: "b", value: "y", revision: 6 }],
      });
      sync.applyPush({
        afterRevision: 3,
        position: { era: 1, revision: 9 },
        changes: [{ key: "d", value: "y", revision: 9 }],
      });
      watchers.shouldWatch = true;
      await jest.advanceTimersByTimeAsync(100);
      expect(store.calls).toEqual(["list", "watch 9"]);
    });

    it("reads what it has missed with one call", async () => {
      const { store, watchers, changes, sync } = start([listing, {
        kind: "changes",
        changes: {
          events: [{ key: "b", value: "y", revision: 6 }],
          position: { era: 1, revision: 6 },
        },
      }]);
      watchers.shouldWatch = false;
      await jest.advanceTimersByTimeAsync(0);
      await expect(sync.catchUp(1)).resolves.toBe(true);
      await jest.advanceTimersByTimeAsync(1_000);
      expect(store.calls).toEqual(["list", "watch 4"]);
      expect(changes).toEqual(["a by listing", "b by watch"]);
    });

    it("is told when the store rejects the call", async () => {
      const { watchers, sync } = start([listing, unavailable]);
      watchers.shouldWatch = false;
      await jest.advanceTimersByTimeAsync(0);
      await expect(sync.catchUp(1)).resolves.toBe(false);
    });

    const noChanges: Step = {
      kind: "changes",
      changes: { events: [], position: { era: 1, revision: 4 } },
    };

    it("does not take a time without any reader for an outage", async () => {
      const { watchers, sync } = start([listing, noChanges]);
      watchers.shouldWatch = false;
      await jest.advanceTimersByTimeAsync(200);
      watchers.lastWatchedAt = performance.now();
      await jest.advanceTimersByTimeAsync(4_000);
      watchers.shouldWatch = true;
      await jest.advanceTimersByTimeAsync(100);
      expect(sync.isWatching()).toBe(true);
      expect(sync.getOutageEndedAt()).toBe(Number.NEGATIVE_INFINITY);
    });

    it("notices soon that the store is silent when nobody reads", async () => {
      const { store, watchers, sync } = start([listing]);
      watchers.shouldWatch = false;
      await jest.advanceTimersByTimeAsync(1_500);
      watchers.shouldWatch = true;
      await jest.advanceTimersByTimeAsync(600);
      // The second watch is a probe, as the response to the first is owed.
      expect(store.calls).toEqual(["list", "watch 4", "watch 4"]);
      expect(sync.getOwnContact().silentMs).toBeGreaterThan(0);
    });

    it("knows of outages from its peers", async () => {
      const { watchers, sync } = start([listing]);
      watchers.shouldWatch = false;
      await jest.advanceTimersByTimeAsync(2_500);
      sync.recordPeerContact("p", { contactMs: 0, ageMs: 0, silentMs: 400 });
      await jest.advanceTimersByTimeAsync(100);
      sync.recordPeerContact("p", { contactMs: 60, ageMs: 0, silentMs: 0 });
      expect(sync.getOutageEndedAt()).toBe(performance.now() - 60);
      expect(sync.getOwnContact().contactMs).toBe(0);
    });
  });

  describe("after a return of the store", () => {
    const compacted: Step = {
      kind: "error",
      era: 2,
      error: { kind: "compacted", message: "gone" },
    };

    function createListing(era: number, revision: number): Step {
      return {
        kind: "listing",
        listing: {
          entries: [{ key: "a", value: `of era ${era}`, revision }],
          position: { era, revision },
        },
      };
    }

    function createChanges(era: number, revision: number): Step {
      return {
        kind: "changes",
        changes: {
          events: [{ key: "b", value: "y", revision }],
          position: { era, revision },
        },
      };
    }

    it("lists when a watch finds its revision gone", async () => {
      const { store, replica, returns } = start([
        listing,
        compacted,
        createListing(2, 2),
      ]);
      await jest.advanceTimersByTimeAsync(0);
      expect(store.calls).toEqual(["list", "watch 4", "list", "watch 2"]);
      expect(replica.getPosition()).toEqual({ era: 2, revision: 2 });
      expect(returns.length).toBe(1);
    });

    it("lists when a watch goes on in a newer era", async () => {
      const { store, changes, pushed } = start([
        listing,
        createChanges(2, 7),
        createListing(2, 9),
      ]);
      await jest.advanceTimersByTimeAsync(0);
      expect(store.calls).toEqual(["list", "watch 4", "list", "watch 9"]);
      expect(changes).toEqual(["a by listing", "a by listing"]);
      expect(pushed).toEqual([]);
    });

    it.each([true, false])(
      "lists when another call has named a newer era (watches: %s)",
      async (watches) => {
        const { store, watchers, replica } = start([
          listing,
          createChanges(1, 8),
          createListing(2, 2),
        ].filter((step) => watches || step.kind === "listing"));
        watchers.shouldWatch = watches;
        await jest.advanceTimersByTimeAsync(0);
        store.nameEra(2);
        await jest.advanceTimersByTimeAsync(450);
        expect(store.calls).toEqual(
          watches ? ["list", "watch 4", "list", "watch 2"] : ["list", "list"],
        );
        expect(replica.getPosition()).toEqual({ era: 2, revision: 2 });
      },
    );

    it("lists after a refusal that names a newer era", async () => {
      const refusal: Step = { ...unavailable, era: 2 };
      const { store } = start([listing, refusal, createListing(2, 2)]);
      await jest.advanceTimersByTimeAsync(100);
      expect(store.calls).toEqual(["list", "watch 4", "list", "watch 2"]);
    });

    it("lists once when peers report it", async () => {
      const { store, watchers, sync, replica } = start([
        listing,
        createListing(2, 2),
      ]);
      watchers.shouldWatch = false;
      await jest.advanceTimersByTimeAsync(0);
      await expect(sync.catchUp(2)).resolves.toBe(true);
      await jest.advanceTimersByTimeAsync(1_000);
      expect(store.calls).toEqual(["list", "list"]);
      expect(replica.getPosition()).toEqual({ era: 2, revision: 2 });
    });

    it("lists when a catch-up finds a newer era", async () => {
      const { store, watchers, sync, replica } = start([
        listing,
        createChanges(2, 9),
        createListing(2, 2),
      ]);
      watchers.shouldWatch = false;
      await jest.advanceTimersByTimeAsync(0);
      await sync.catchUp(1);
      expect(store.calls).toEqual(["list", "watch 4", "list"]);
      expect(replica.getPosition()).toEqual({ era: 2, revision: 2 });
    });

    it("begins with the first report of the era", async () => {
      const { sync, watchers } = start([listing, createListing(2, 2)]);
      watchers.shouldWatch = false;
      await jest.advanceTimersByTimeAsync(100);
      sync.recordPeerEra(2);
      const reportedAt = performance.now();
      await jest.advanceTimersByTimeAsync(300);
      sync.recordPeerEra(2);
      await sync.catchUp(2);
      expect(sync.getReturnedAt()).toBe(reportedAt);
    });

    it("does not take the first listing for a return", async () => {
      const { sync, returns } = start([createListing(7, 2)]);
      await jest.advanceTimersByTimeAsync(0);
      expect(returns).toEqual([]);
      expect(sync.getReturnedAt()).toBe(Number.NEGATIVE_INFINITY);
    });

    it("ignores a push of the era before", async () => {
      const { sync, changes, watchers } = start([createListing(2, 2)]);
      watchers.shouldWatch = false;
      await jest.advanceTimersByTimeAsync(0);
      sync.applyPush({
        afterRevision: 2,
        position: { era: 1, revision: 9 },
        changes: [{ key: "late", value: "y", revision: 9 }],
      });
      expect(changes).toEqual(["a by listing"]);
    });

    it("does not watch from a revision of the era before", async () => {
      const { store, sync } = start([
        listing,
        createChanges(1, 8),
        createListing(2, 9),
      ]);
      await jest.advanceTimersByTimeAsync(100);
      sync.applyPeerCopy({
        position: { era: 2, revision: 2 },
        isComplete: true,
        lostEntries: [],
        changes: [{ key: "a", value: "x", revision: 2 }],
      });
      await jest.advanceTimersByTimeAsync(300);
      expect(store.calls).toEqual(["list", "watch 4", "list", "watch 9"]);
    });

    it("does not use a watch that began in the era before", async () => {
      let endWatch: (changes: Changes) => void;
      const watchResult = new Promise<Changes>((resolve) => {
        endWatch = resolve;
      });
      const { sync, changes, replica } = start([listing, {
        kind: "pending",
        result: watchResult,
      }]);
      await jest.advanceTimersByTimeAsync(0);
      sync.applyPeerCopy({
        position: { era: 2, revision: 2 },
        isComplete: true,
        lostEntries: [],
        changes: [{ key: "a", value: "x", revision: 2 }],
      });
      endWatch!({
        events: [{ key: "late", value: "y", revision: 9 }],
        position: { era: 2, revision: 9 },
      });
      await jest.advanceTimersByTimeAsync(0);
      expect(changes).toEqual(["a by listing"]);
      expect(replica.getPosition()).toEqual({ era: 2, revision: 2 });
    });

    it("does not go back to an era that a peer has left", async () => {
      const { sync, replica, store } = start([listing, createChanges(1, 8)]);
      sync.applyPeerCopy({
        position: { era: 2, revision: 2 },
        isComplete: true,
        lostEntries: [],
        changes: [{ key: "a", value: "x", revision: 2 }],
      });
      await jest.advanceTimersByTimeAsync(400);
      expect(replica.getPosition()).toEqual({ era: 2, revision: 2 });
      expect(store.calls).toEqual(["list"]);
    });
  });
});
