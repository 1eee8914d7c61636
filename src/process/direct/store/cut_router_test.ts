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

/** Time after which a router is in touch once its path is back, in ms. */
const contactMs = 3_000;

/** Time from the start of a cut to the removal, in milliseconds. */
const removedAfterMs = 1_500;

/** Interval at which a router that starts is asked for its copy, in ms. */
const copyPollMs = 20;

/** Longest time from its copy to the return of its path, in milliseconds. */
const maxCutAfterCopyMs = 300;

/** Reads a second for one router of 350, of all that the store takes. */
const maxReadsPerS = 2_000 / 350;

const targetIds = ["target-0", "target-1", "target-2"];

type Fleet = ReturnType<typeof createDirectoryFleet>;

/** A fleet around the routers that are cut off. */
interface Peers {
  readonly size: number;
  /** Number of routers that are cut off. */
  readonly cut: number;
  /** True when the store forgets its history in the cut. */
  readonly isCompacted?: boolean;
  /** What becomes of the others before the cut, and when the path is back. */
  lose?(fleet: Fleet, peer: ReplayedRouter): void;
  /** True when the first router starts again in the cut, and the others freeze. */
  isRestarted?: boolean;
  regain?(fleet: Fleet, peer: ReplayedRouter): void;
}

const freeze: NonNullable<Peers["lose"]> = (_fleet, peer) =>
  void Object.assign(peer, { access: "lost", isReached: false });

const fleets: Readonly<Record<string, Peers>> = {
  "alone in its fleet": { size: 1, cut: 1 },
  "alone beside a compacted history": { size: 1, cut: 1, isCompacted: true },
  "whose peers were killed": {
    ...{ size: 5, cut: 1 },
    lose: (fleet, peer) => fleet.killRouter(peer),
  },
  "whose peers are frozen": { size: 5, cut: 1, lose: freeze },
  "whose peers start again when its path is back": {
    ...{ size: 5, cut: 1 },
    lose: (fleet, peer) => fleet.killRouter(peer),
    regain: (fleet, peer) => fleet.restartRouter(peer),
  },
  "that is cut off with the other one that is left": {
    ...{ size: 5, cut: 2 },
    lose: (fleet, peer) => fleet.killRouter(peer),
  },
  "with a peer that still reads": { size: 2, cut: 1 },
  "that starts in its cut, beside one that freezes": {
    ...{ size: 2, cut: 2, isRestarted: true },
  },
};

describe("a router", () => {
  let placementHost: PlacementHost;

  beforeAll(async () => {
    placementHost = await loadPlacementHost();
  });
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => {
    jest.restoreAllMocks();
    jest.useRealTimers();
  });

  async function startFleet(size: number, seed: number) {
    jest.spyOn(Math, "random").mockImplementation(createSeededRandom(seed));
    const store = createReturningStore();
    const fleet = createDirectoryFleet(store, createPlacement(placementHost));
    store.put("op/config", "1");
    for (const id of targetIds) {
      store.put(`servers/${id}`, encodeTarget("ready"));
    }
    for (let index = 0; index < size; index++) fleet.startRouter();
    await jest.advanceTimersByTimeAsync(6_000);
    return { store, fleet };
  }

  /** Starts the first router again; the others freeze once it has their copy. */
  async function restartFirst(
    fleet: Fleet,
    left: ReplayedRouter[],
    random: () => number,
  ) {
    fleet.killRouter(left[0]!);
    fleet.restartRouter(left[0]!);
    left[0] = fleet.routers[0]!;
    left[0].access = "lost";
    const { replica } = left[0];
    while (replica.getPosition().revision === 0) {
      await jest.advanceTimersByTimeAsync(copyPollMs);
    }
    expect(isUsed(left[0], "target-1")).toBe(true);
    left.slice(1).forEach((peer) => freeze(fleet, peer));
    await jest.advanceTimersByTimeAsync(random() * maxCutAfterCopyMs);
  }

  function isUsed({ targets }: ReplayedRouter, id: string): boolean {
    return targets.getReady(replayedService).some((target) => target.id === id);
  }

  // Its cut counted as an outage until a read that came up to 1.5 s after it.
  describe.each(Object.keys(fleets))("%s", (name) => {
    it.each(Array.from({ length: 12 }, (_, seed) => seed))(
      "drops what left in its cut before it is in touch (seed %d)",
      async (seed) => {
        const random = createSeededRandom(seed * 97 + name.length);
        const cutMs = () => removedAfterMs + 100 + random() * 4_000;
        const { size, cut, isCompacted, lose, regain, isRestarted } =
          fleets[name] as Peers;
        const { store, fleet } = await startFleet(size, seed);
        const routers = [...fleet.routers];
        const left = routers.slice(0, cut);
        routers.slice(cut).forEach((peer) => lose?.(fleet, peer));
        await jest.advanceTimersByTimeAsync(contactMs);
        left.forEach((router) => void (router.access = "lost"));
        await jest.advanceTimersByTimeAsync(removedAfterMs);
        store.remove("servers/target-1");
        if (isCompacted === true) store.compact();
        await jest.advanceTimersByTimeAsync(cutMs() - removedAfterMs);
        if (isRestarted === true) await restartFirst(fleet, left, random);
        left.filter(({ isReached }) => isReached)
          .forEach((router) => void (router.access = "serve"));
        routers.slice(cut).forEach((peer) => regain?.(fleet, peer));
        await jest.advanceTimersByTimeAsync(contactMs);
        const users = fleet.routers.filter((router) =>
          router.isReached && isUsed(router, "target-1")
        );
        expect(users.map(({ id }) => id)).toEqual([]);
      },
    );
  });

  // The same grace keeps them until they can have registered again.
  describe.each([1, 2, 5])("in a fleet of %d", (size) => {
    it.each(["lost", "silent", "refuse"] as const)(
      "uses targets whose entries lapse in an outage (store: %s)",
      async (access) => {
        for (let seed = 0; seed < 6; seed++) {
          const random = createSeededRandom(seed);
          const { store, fleet } = await startFleet(size, seed);
          const [router] = fleet.routers;
          await jest.advanceTimersByTimeAsync(random() * 1_000);
          fleet.routers.forEach((each) => void (each.access = access));
          await jest.advanceTimersByTimeAsync(3_500 + random() * 2_000);
          targetIds.forEach((id) => store.remove(`servers/${id}`));
          fleet.routers.forEach((each) => void (each.access = "serve"));
          for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += 20) {
            if (elapsedMs === 1_500) {
              for (const id of targetIds) {
                store.put(`servers/${id}`, encodeTarget("ready"));
              }
            }
            const unused = targetIds.filter((id) => !isUsed(router!, id));
            expect({ seed, elapsedMs, unused }).toMatchObject({ unused: [] });
            await jest.advanceTimersByTimeAsync(20);
          }
        }
      },
    );
  });

  it("does not read a silent store more often than it bears", async () => {
    const size = 31;
    const { store, fleet } = await startFleet(size, 1);
    fleet.routers.forEach((router) => void (router.access = "lost"));
    const from = performance.now();
    await jest.advanceTimersByTimeAsync(8_000);
    const perS = Array.from(
      { length: 8 },
      (_, second) =>
        store.getCalls().filter(({ at }) =>
          Math.floor((at - from) / 1_000) === second
        ).length,
    );
    expect(Math.max(...perS)).toBeLessThan(maxReadsPerS * size);
  });
});
