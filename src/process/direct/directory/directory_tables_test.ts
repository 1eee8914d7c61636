import {
  createTable,
  createTarget,
  createTestLimits,
} from "../../../../test/support/direct.ts";
import type { RouterPeer } from "../../../types/direct_target.ts";
import type { DirectoryRecord } from "../../../types/directory.ts";
import { createSilentLog } from "../../telemetry/log.ts";
import { createStoreAvailability } from "../store/store_availability.ts";
import { createDirectoryTables } from "./directory_tables.ts";
import { createCachedParts } from "../placement/cached_parts.ts";
import { createTargetTable } from "../targets/target_table.ts";
import { createZoneEvacuations } from "../targets/zone_evacuations.ts";

describe("directory tables", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  function create(records: Readonly<Record<string, DirectoryRecord>>) {
    const versions: number[] = [];
    const evacuations = createZoneEvacuations({ log: createSilentLog() });
    const targets = createTargetTable({ evacuations });
    const cachedParts = createCachedParts();
    let outageEndedAt = Number.NEGATIVE_INFINITY;
    let returnedAt = Number.NEGATIVE_INFINITY;
    const directory = createDirectoryTables({
      store: {
        decode: ({ value }) =>
          records[value] ?? { kind: "unreadable", reason: "malformed" },
        resolveKey: (key) =>
          key.startsWith("t/") ? { kind: "target", id: key.slice(2) } : {
            kind: key.startsWith("e/") ? "evacuation" : "router",
            id: key.slice(2),
          },
      },
      ...{ targets, evacuations, limits: createTestLimits() },
      cachedParts,
      health: { forget: () => undefined },
      log: createSilentLog(),
      expiryGraceMs: 2_200,
      getOutageEndedAt: () => outageEndedAt,
      describeContact: createStoreAvailability().describe,
      getReturnedAt: () => returnedAt,
      getEra: () => 1,
      handleRouteTable: ({ version }) => versions.push(version),
    });
    let revision = 0;
    return {
      ...{ directory, targets, evacuations, versions },
      endOutage: () => {
        outageEndedAt = performance.now();
      },
      reviseOutage: (endedAt: number) => {
        outageEndedAt = endedAt;
        directory.handleOutageRevised();
      },
      apply: (key: string, value: string | undefined) =>
        directory.apply([{ key, value, revision: ++revision }], "watch"),
      /** Tells what a peer knows and the store has lost. */
      tell: (key: string, value: string | undefined) =>
        directory.apply(
          [{ key, value, revision: 9, isLost: true }],
          "peer",
        ),
      /** Lets the store return with an older content of an entry. */
      restore: (key: string, value: string | undefined) => {
        returnedAt = performance.now();
        directory.apply(
          [{ key, value, revision: 1, isRestored: true }],
          "listing",
        );
      },
    };
  }

  const target = createTarget("a");
  const records: Readonly<Record<string, DirectoryRecord>> = {
    v5: { kind: "route_table", table: createTable({ version: 5 }) },
    v4: { kind: "route_table", table: createTable({ version: 4 }) },
    a: { kind: "target", target },
    draining: {
      kind: "target",
      target: createTarget("a", { state: "draining" }),
    },
    next: {
      kind: "target",
      target: createTarget("a", { startedAtMs: target.startedAtMs + 9 }),
    },
    evacuation: { kind: "evacuation", zone: "zone-a" },
    router: { kind: "router", router: createRouter(1) },
    movedRouter: { kind: "router", router: createRouter(2) },
  };

  function createRouter(digestPort: number): RouterPeer {
    return { id: "r", address: "10.0.0.1", digestPort, pullPort: 7 };
  }

  it("never return to an older configuration", () => {
    const { directory, apply, versions } = create(records);
    apply("c", "v5");
    apply("c", "v4");
    expect(versions).toEqual([5]);
    expect(directory.getVersion()).toBe(5);
  });

  describe("an evacuation", () => {
    it("lasts from its entry to the removal", () => {
      const { apply, targets, evacuations } = create(records);
      apply("t/a", "a");
      apply("e/zone-a", "evacuation");
      apply("e/zone-a", "evacuation");
      expect(targets.getReady("cards")).toEqual([]);
      expect(evacuations.getAll()).toEqual(["zone-a"]);
      apply("e/zone-a", undefined);
      expect(targets.getReady("cards")).toEqual([target]);
    });

    it("outlasts a return of the store from an older copy", () => {
      const { apply, restore, evacuations } = create(records);
      apply("e/zone-a", "evacuation");
      restore("e/zone-a", undefined);
      expect(evacuations.isEvacuated("zone-a")).toBe(true);
      apply("e/zone-a", undefined);
      expect(evacuations.isEvacuated("zone-a")).toBe(false);
    });

    it("that the store lost is told to a router that starts", () => {
      const { tell, evacuations } = create(records);
      tell("e/zone-a", "evacuation");
      expect(evacuations.isEvacuated("zone-a")).toBe(true);
    });

    it("whose removal the store lost is in force again", () => {
      const { apply, restore, tell, evacuations } = create(records);
      apply("e/zone-a", "evacuation");
      apply("e/zone-a", undefined);
      restore("e/zone-a", "evacuation");
      tell("e/zone-a", undefined);
      expect(evacuations.isEvacuated("zone-a")).toBe(true);
    });
  });

  it("remove a target when its entry is removed", () => {
    const { apply, targets } = create(records);
    apply("t/a", "a");
    expect(targets.getReady(target.service).length).toBe(1);
    apply("t/a", undefined);
    expect(targets.getReady(target.service)).toEqual([]);
  });

  it("remove a target when its entry cannot be read", () => {
    const { apply, targets } = create(records);
    apply("t/a", "a");
    apply("t/a", "corrupted");
    expect(targets.getReady(target.service)).toEqual([]);
  });

  it("keep a target for a time if its entry expired in an outage", async () => {
    const { apply, targets, endOutage } = create(records);
    apply("t/a", "a");
    endOutage();
    apply("t/a", undefined);
    expect(targets.getReady(target.service).length).toBe(1);
    await jest.advanceTimersByTimeAsync(2_300);
    expect(targets.getReady(target.service)).toEqual([]);
  });

  it("drop a target once the outage turns out to be none", async () => {
    const { apply, targets, endOutage, reviseOutage } = create(records);
    apply("t/a", "a");
    endOutage();
    apply("t/a", undefined);
    await jest.advanceTimersByTimeAsync(100);
    expect(targets.getReady(target.service).length).toBe(1);
    reviseOutage(performance.now() - 10_000);
    expect(targets.getReady(target.service)).toEqual([]);
    // A later outage does not bring it back.
    reviseOutage(performance.now());
    expect(targets.getReady(target.service)).toEqual([]);
  });

  it("keep a target for the time since an earlier end of the outage", async () => {
    const { apply, targets, endOutage, reviseOutage } = create(records);
    apply("t/a", "a");
    endOutage();
    apply("t/a", undefined);
    reviseOutage(performance.now() - 1_000);
    await jest.advanceTimersByTimeAsync(1_199);
    expect(targets.getReady(target.service).length).toBe(1);
    await jest.advanceTimersByTimeAsync(1);
    expect(targets.getReady(target.service)).toEqual([]);
  });

  describe("after a return of the store from an older copy", () => {
    const graceMs = 2_600;

    function createWithTarget() {
      const tables = create(records);
      tables.apply("t/a", "a");
      return {
        ...tables,
        countReady: () => tables.targets.getReady(target.service).length,
      };
    }

    it("keep a newer configuration until it is written again", () => {
      const { directory, apply, restore, versions } = create(records);
      apply("c", "v5");
      restore("c", "v4");
      expect(directory.getVersion()).toBe(5);
      apply("c", "v5");
      expect(versions).toEqual([5]);
    });

    it("keep a draining target so until its entry changes", () => {
      const { apply, restore, countReady } = createWithTarget();
      apply("t/a", "draining");
      restore("t/a", "a");
      expect(countReady()).toBe(0);
      apply("t/a", "a");
      expect(countReady()).toBe(1);
    });

    it("do not use a removed target until its entry changes", () => {
      const { apply, restore, countReady } = createWithTarget();
      apply("t/a", undefined);
      restore("t/a", "a");
      expect(countReady()).toBe(0);
      apply("t/a", "a");
      expect(countReady()).toBe(1);
    });

    it("do not use a target whose draining entry is missing", async () => {
      const { apply, restore, countReady } = createWithTarget();
      apply("t/a", "draining");
      restore("t/a", undefined);
      expect(countReady()).toBe(0);
      await jest.advanceTimersByTimeAsync(60_000);
      restore("t/a", "a");
      expect(countReady()).toBe(0);
    });

    it("use a new process under the id of a removed one", () => {
      const { apply, restore, countReady } = createWithTarget();
      apply("t/a", undefined);
      restore("t/a", "next");
      expect(countReady()).toBe(1);
    });

    it("keep a live target without an entry for a time", async () => {
      const { restore, countReady } = createWithTarget();
      restore("t/a", undefined);
      await jest.advanceTimersByTimeAsync(graceMs - 1);
      expect(countReady()).toBe(1);
      await jest.advanceTimersByTimeAsync(1);
      expect(countReady()).toBe(0);
    });

    it("keep a live target that registers again in that time", async () => {
      const { apply, restore, countReady } = createWithTarget();
      restore("t/a", undefined);
      await jest.advanceTimersByTimeAsync(graceMs - 1);
      apply("t/a", "a");
      await jest.advanceTimersByTimeAsync(graceMs);
      expect(countReady()).toBe(1);
    });

    it("keep a process whose predecessor has the entry for a time", async () => {
      const { apply, restore, targets, countReady } = createWithTarget();
      apply("t/a", "next");
      restore("t/a", "a");
      expect(targets.tryGet("a")?.startedAtMs).toBe(target.startedAtMs + 9);
      expect(countReady()).toBe(1);
      await jest.advanceTimersByTimeAsync(graceMs);
      expect(countReady()).toBe(0);
    });

    it("stop to use a target that is removed after the return", () => {
      const { apply, restore, countReady } = createWithTarget();
      restore("t/b", undefined);
      apply("t/a", undefined);
      expect(countReady()).toBe(0);
    });

    describe("take from a peer what the store has lost", () => {
      it("a newer configuration, and no older one", () => {
        const { apply, tell, versions } = create(records);
        apply("c", "v4");
        tell("c", "v5");
        tell("c", "v4");
        expect(versions).toEqual([4, 5]);
      });

      it("that a target drains, until its entry changes", () => {
        const { apply, tell, countReady } = createWithTarget();
        tell("t/a", "draining");
        expect(countReady()).toBe(0);
        apply("t/a", "a");
        expect(countReady()).toBe(1);
      });

      it("that a target is gone, until its entry changes", () => {
        const { apply, tell, restore, countReady } = createWithTarget();
        tell("t/a", undefined);
        expect(countReady()).toBe(0);
        restore("t/a", "a");
        expect(countReady()).toBe(0);
        apply("t/a", "a");
        expect(countReady()).toBe(1);
      });

      it("that a later process has the id", () => {
        const { apply, tell, countReady } = createWithTarget();
        tell("t/a", "next");
        expect(countReady()).toBe(0);
        apply("t/a", "next");
        expect(countReady()).toBe(1);
      });

      it("no target whose entry is missing", () => {
        const { tell, targets } = create(records);
        tell("t/a", "a");
        expect(targets.getReady(target.service)).toEqual([]);
      });

      it("the address of a router whose entry is missing", () => {
        const { tell, directory } = create(records);
        tell("r/r", "router");
        expect(directory.routers.get("r")).toEqual(createRouter(1));
        expect(directory.tryGetRegistered("r")).toBeUndefined();
      });
    });

    it("keep the addresses of routers, and tell which are lost", () => {
      const { apply, restore, directory } = create(records);
      apply("r/r", "router");
      restore("r/r", "movedRouter");
      expect(directory.routers.get("r")).toEqual(createRouter(1));
      expect(directory.tryGetRegistered("r")).toEqual(createRouter(2));
      restore("r/r", undefined);
      expect(directory.routers.get("r")).toEqual(createRouter(1));
      expect(directory.tryGetRegistered("r")).toBeUndefined();
    });
  });
});
