/**
 * Guards against routers that keep an entry for good whose removal nobody alive has
 * seen: the routers that read it were lost, and those that started since list what
 * exists.
 */

import { createReturningStore } from "../../../../test/fakes/returning_store.ts";
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

/** Time after which a router in touch knows of a removal, in milliseconds. */
const knownMs = 2_000;

/** Time after which a router that reached nobody is in touch again, in ms. */
const contactMs = 4_000;

const leaver = "servers/target-3";
const zoneKey = "op/evacuate/zone-9";
const goneRouterKey = "routers/gone";

/** What happens between the removal and the return of the other routers. */
const laterChanges = {
  "nothing": () => undefined,
  "a new target": (store) => store.put("servers/new", encodeTarget("ready")),
  "two changes of a target": (store) => {
    store.put("servers/target-1", encodeTarget("draining"));
    store.put("servers/target-1", encodeTarget("ready"));
  },
  "a compacted history": (store) => {
    store.put("servers/new", encodeTarget("ready"));
    store.compact();
  },
  "a change that nobody can see": (store) => store.skipRevision(),
} satisfies Record<
  string,
  (store: ReturnType<typeof createReturningStore>) => void
>;

describe("a removal that no running router has seen", () => {
  let placementHost: PlacementHost;

  beforeAll(async () => {
    placementHost = await loadPlacementHost();
  });
  beforeEach(() => {
    jest.useFakeTimers();
    jest.spyOn(Math, "random").mockImplementation(createSeededRandom(31));
  });
  afterEach(() => {
    jest.restoreAllMocks();
    jest.useRealTimers();
  });

  async function startFleet(size: number) {
    const store = createReturningStore();
    const fleet = createDirectoryFleet(store, createPlacement(placementHost));
    store.put("op/config", "1");
    for (let index = 0; index < 6; index++) {
      store.put(`servers/target-${index}`, encodeTarget("ready"));
    }
    store.put(zoneKey, "");
    store.put(
      goneRouterKey,
      JSON.stringify({
        ...{ id: "gone", address: "gone", digestPort: 6, pullPort: 7 },
      }),
    );
    for (let index = 0; index < size; index++) fleet.startRouter();
    await jest.advanceTimersByTimeAsync(5_000);
    const follower = fleet.routers.find(({ sync }) => !sync.hasTurn())!;
    return { store, fleet, follower, loseOthers, returnOthers };

    /** Cuts the follower off from the store and ends all others. */
    async function loseOthers(): Promise<readonly ReplayedRouter[]> {
      follower.access = "silent";
      await jest.advanceTimersByTimeAsync(200);
      const others = fleet.routers.filter((router) => router !== follower);
      others.forEach(fleet.killRouter);
      await jest.advanceTimersByTimeAsync(800);
      return others;
    }

    async function returnOthers(
      others: readonly ReplayedRouter[],
      gapMs = 0,
    ): Promise<void> {
      await jest.advanceTimersByTimeAsync(1_000);
      for (const router of others) {
        fleet.restartRouter(router);
        await jest.advanceTimersByTimeAsync(gapMs);
      }
      await jest.advanceTimersByTimeAsync(1_000);
    }
  }

  function isUsed({ targets }: ReplayedRouter, id: string): boolean {
    return targets.getReady(replayedService).some((target) => target.id === id);
  }

  /** Returns which of the three removed entries a router still knows. */
  function findKept(router: ReplayedRouter): readonly string[] {
    return [
      ...(isUsed(router, "target-3") ? [leaver] : []),
      ...(router.evacuations.isEvacuated("zone-9") ? [zoneKey] : []),
      ...(router.tables.routers.has("gone") ? [goneRouterKey] : []),
    ];
  }

  describe.each([10, 40])("in a fleet of %d", (size) => {
    describe.each(Object.entries(laterChanges))(
      "with %s after it",
      (_, makeLaterChange) => {
        it("is known to a router once it reaches the store", async () => {
          const fleet = await startFleet(size);
          const others = await fleet.loseOthers();
          [leaver, zoneKey, goneRouterKey].forEach(fleet.store.remove);
          makeLaterChange(fleet.store);
          await fleet.returnOthers(others, 10);
          fleet.follower.access = "serve";
          await jest.advanceTimersByTimeAsync(knownMs);
          expect(findKept(fleet.follower)).toEqual([]);
        });

        it("is known to a router that reaches its peers only", async () => {
          const fleet = await startFleet(size);
          const others = await fleet.loseOthers();
          [leaver, zoneKey, goneRouterKey].forEach(fleet.store.remove);
          makeLaterChange(fleet.store);
          await fleet.returnOthers(others);
          await jest.advanceTimersByTimeAsync(knownMs);
          expect(findKept(fleet.follower)).toEqual([]);
        });
      },
    );

    it("does not hide that the target registered again", async () => {
      const { store, follower, ...fleet } = await startFleet(size);
      const others = await fleet.loseOthers();
      store.remove(leaver);
      store.put(leaver, encodeTarget("ready", 2));
      await fleet.returnOthers(others);
      await jest.advanceTimersByTimeAsync(knownMs);
      expect(isUsed(follower, "target-3")).toBe(true);
      expect(follower.targets.tryGet("target-3")?.startedAtMs).toBe(2);
    });

    it("is known when the store returns in a new era", async () => {
      const { store, follower, ...fleet } = await startFleet(size);
      const others = await fleet.loseOthers();
      store.restore(store.copy());
      store.remove(leaver);
      await fleet.returnOthers(others);
      await jest.advanceTimersByTimeAsync(knownMs);
      expect(isUsed(follower, "target-3")).toBe(false);
    });

    it("is known to a router that reached nobody meanwhile", async () => {
      const { store, fleet, follower, returnOthers } = await startFleet(size);
      Object.assign(follower, { access: "silent", isReached: false });
      const others = fleet.routers.filter((router) => router !== follower);
      store.remove(leaver);
      others.forEach(fleet.killRouter);
      await returnOthers(others);
      Object.assign(follower, { access: "serve", isReached: true });
      await jest.advanceTimersByTimeAsync(contactMs);
      expect(isUsed(follower, "target-3")).toBe(false);
    });
  });

  describe("costs no reads of the whole fleet", () => {
    it.each([false, true])(
      "when one router starts (a change that nobody sees: %s)",
      async (isSkipped) => {
        const { store, fleet } = await startFleet(60);
        const [restarted] = fleet.routers;
        fleet.killRouter(restarted!);
        store.remove(leaver);
        await jest.advanceTimersByTimeAsync(3_000);
        if (isSkipped) store.skipRevision();
        const before = store.getCalls().length;
        fleet.restartRouter(restarted!);
        await jest.advanceTimersByTimeAsync(4_000);
        const calls = store.getCalls().length - before;
        // Three routers watch, for a second each; a change that nobody sees takes
        // one read of each router.
        expect(calls).toBeLessThan(isSkipped ? 110 : 40);
      },
    );
  });
});
