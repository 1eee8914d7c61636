/**
 * Guards against routers that take a loss of those that read the store for an
 * outage, and keep a target that has left; and against routers that take an outage
 * in which the store is silent for none, and drop all targets of a service.
 */

import {
  createReturningStore,
  type StoreLink,
} from "../../../../test/fakes/returning_store.ts";
import {
  createDirectoryFleet,
  encodeTarget,
  type ReplayedRouter,
  replayedService,
} from "../../../../test/support/directory_fleet.ts";
import { createSeededRandom } from "../../../../test/support/seeded_random.ts";
import {
  createPlacement,
  loadPlacementHost,
  type PlacementHost,
} from "../../placement/placement.ts";

/** Time after the removal of an entry within which its target is used, in ms. */
const drainMs = 3_000;

/** Time after an outage in which entries that expired in it are back, in ms. */
const registrationMs = 1_500;

/** Over this link a response of `largeChars` takes 8 s. */
const slowLink: StoreLink = { bytesPerMs: 60, bodyTimeoutMs: 20_000 };
const largeChars = 360_000;

const targetIds = ["target-0", "target-1", "target-2"];

describe("routers that read the store", () => {
  let placementHost: PlacementHost;

  beforeAll(async () => {
    placementHost = await loadPlacementHost();
  });
  beforeEach(() => {
    jest.useFakeTimers();
    jest.spyOn(Math, "random").mockImplementation(createSeededRandom(41));
  });
  afterEach(() => {
    jest.restoreAllMocks();
    jest.useRealTimers();
  });

  async function startFleet(size: number, phaseMs: number, link?: StoreLink) {
    const store = createReturningStore();
    const fleet = createDirectoryFleet(store, createPlacement(placementHost));
    store.put("op/config", "1");
    for (const id of targetIds) {
      store.put(`servers/${id}`, encodeTarget("ready"));
    }
    for (let index = 0; index < size; index++) fleet.startRouter(link);
    await jest.advanceTimersByTimeAsync(6_000 + phaseMs);
    const readers = fleet.routers.filter(({ sync }) => sync.hasTurn());
    const followers = fleet.routers.filter((router) =>
      !readers.includes(router)
    );
    return { store, fleet, readers, followers };
  }

  function isUsed({ targets }: ReplayedRouter, id: string): boolean {
    return targets.getReady(replayedService).some((target) => target.id === id);
  }

  function setAccess(
    routers: readonly ReplayedRouter[],
    access: ReplayedRouter["access"],
  ): void {
    routers.forEach((router) => Object.assign(router, { access }));
  }

  const phases = [0, 230, 470, 710, 950];

  describe.each([10, 40])("in a fleet of %d", (size) => {
    /** Advances until a leave has to be in force; returns who uses the target. */
    async function findLateUses(
      removedAt: number,
      routers: readonly ReplayedRouter[],
    ): Promise<readonly string[]> {
      const leftMs = removedAt + drainMs - performance.now();
      await jest.advanceTimersByTimeAsync(leftMs);
      return routers.filter((router) => isUsed(router, "target-0"))
        .map(({ id }) => id);
    }

    describe.each(phases)("%d ms after the last change", (phaseMs) => {
      it.each(["readers", "all but one"] as const)(
        "and are lost (%s) leave no outage behind",
        async (lost) => {
          const { store, fleet, readers, followers } = await startFleet(
            size,
            phaseMs,
          );
          const last = followers.at(-1)!;
          store.put("servers/new", encodeTarget("ready"));
          await jest.advanceTimersByTimeAsync(50);
          store.remove("servers/target-0");
          const removedAt = performance.now();
          await jest.advanceTimersByTimeAsync(100);
          const killed = lost === "readers"
            ? readers
            : fleet.routers.filter((router) => router !== last);
          killed.forEach(fleet.killRouter);
          const alive = fleet.routers.filter((router) =>
            !killed.includes(router)
          );
          expect(await findLateUses(removedAt, alive)).toEqual([]);
        },
      );

      it("and are frozen leave no outage behind", async () => {
        const { store, readers, followers } = await startFleet(size, phaseMs);
        // Nothing of a frozen process arrives, and it hears nothing.
        readers.forEach((router) =>
          Object.assign(router, { access: "silent", isReached: false })
        );
        store.remove("servers/target-0");
        const removedAt = performance.now();
        expect(await findLateUses(removedAt, followers)).toEqual([]);
      });

      it("and are cut off from it leave no outage behind", async () => {
        const { store, readers, fleet } = await startFleet(size, phaseMs);
        setAccess(readers, "silent");
        await jest.advanceTimersByTimeAsync(300);
        store.remove("servers/target-0");
        const removedAt = performance.now();
        setTimeout(() => setAccess(readers, "serve"), 2_000);
        expect(await findLateUses(removedAt, fleet.routers)).toEqual([]);
      });
    });
  });

  describe.each([4, 10])("with long responses, in a fleet of %d", (size) => {
    it.each(phases)(
      "leave no outage to a router that starts cut off (phase %d ms)",
      async (phaseMs) => {
        const { store, fleet } = await startFleet(size, phaseMs, slowLink);
        store.put("op/config", "2".padEnd(largeChars));
        await jest.advanceTimersByTimeAsync(2_300);
        const [first] = fleet.routers;
        fleet.killRouter(first!);
        fleet.restartRouter(first!);
        const started = fleet.routers[0]!;
        started.access = "silent";
        // It hears its peers at first, and has their copy.
        await jest.advanceTimersByTimeAsync(850);
        expect(isUsed(started, "target-0")).toBe(true);
        started.isReached = false;
        store.remove("servers/target-0");
        const removedAt = performance.now();
        await jest.advanceTimersByTimeAsync(900);
        Object.assign(started, { access: "serve", isReached: true });
        const leftMs = removedAt + drainMs - performance.now();
        await jest.advanceTimersByTimeAsync(leftMs);
        const late = fleet.routers.filter((router) =>
          isUsed(router, "target-0")
        );
        expect(late.map(({ id }) => id)).toEqual([]);
      },
    );
  });

  describe.each([5, 10, 40])("of a silent store, in a fleet of %d", (size) => {
    /**
     * Holds all bytes back; the entries of all targets expire at the end, and are
     * back a while later. Returns how often a running router lacked a target.
     */
    async function countMissing(
      phaseMs: number,
      { outageMs, act = () => undefined }: {
        readonly outageMs: number;
        act?(fleet: Awaited<ReturnType<typeof startFleet>>): void;
      },
    ): Promise<number> {
      const started = await startFleet(size, phaseMs);
      const { store, fleet } = started;
      setAccess(fleet.routers, "silent");
      act(started);
      await jest.advanceTimersByTimeAsync(outageMs - 60);
      targetIds.forEach((id) => store.remove(`servers/${id}`));
      await jest.advanceTimersByTimeAsync(60);
      const alive = fleet.routers.filter(({ access }) => access === "silent");
      setAccess(alive, "serve");
      setTimeout(
        () =>
          targetIds.forEach((id) =>
            store.put(`servers/${id}`, encodeTarget("ready"))
          ),
        registrationMs,
      );
      let missing = 0;
      for (let elapsedMs = 0; elapsedMs < 3_000; elapsedMs += 50) {
        await jest.advanceTimersByTimeAsync(50);
        missing += alive.filter((router) =>
          !targetIds.every((id) => isUsed(router, id))
        ).length;
      }
      return missing;
    }

    it.each(phases)("keep all targets (phase %d ms)", async (phaseMs) => {
      expect(await countMissing(phaseMs, { outageMs: 2_500 })).toBe(0);
    });

    it.each(phases)(
      "keep all targets when the readers die in it (phase %d ms)",
      async (phaseMs) => {
        const missing = await countMissing(phaseMs, {
          outageMs: 3_500,
          act: ({ fleet, readers, followers }) => {
            if (followers.length === 0) return;
            setTimeout(() => readers.forEach(fleet.killRouter), 400);
          },
        });
        expect(missing).toBe(0);
      },
    );

    it("drop a target whose entry stays away after it", async () => {
      const { store, fleet } = await startFleet(size, 0);
      setAccess(fleet.routers, "silent");
      await jest.advanceTimersByTimeAsync(2_500);
      store.remove("servers/target-0");
      setAccess(fleet.routers, "serve");
      await jest.advanceTimersByTimeAsync(4_000);
      expect(fleet.routers.filter((router) => isUsed(router, "target-0")))
        .toEqual([]);
    });
  });
});
