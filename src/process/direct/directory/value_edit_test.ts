import {
  createPlacement,
  loadPlacementHost,
} from "../../placement/placement.ts";
import { createReturningStore } from "../../../../test/fakes/returning_store.ts";
import { createDirectoryFleet } from "../../../../test/support/directory_fleet.ts";
import { createDirectoryReplica } from "./directory_replica.ts";
import { applyPieces, findPieces } from "./value_edit.ts";

/** A configuration like those of the platform, with a route that differs. */
function createValue(version: number, routes: number, changed = 0): string {
  return JSON.stringify({
    Version: version,
    Routes: Array.from({ length: routes }, (_, index) => ({
      Name: `r-${index}`,
      Prefix: `/some/long/prefix-${index}/`,
      TimeoutMs: index === changed ? version : 1_000,
    })),
  });
}

describe("an edit of a large value", () => {
  const base = createValue(1, 1_900);

  it.each([0, 950, 1_899])("makes the value (route %d differs)", (changed) => {
    const value = createValue(2, 1_900, changed);
    const pieces = findPieces(base, value) ?? [];
    expect(JSON.stringify(pieces).length).toBeLessThan(1_000);
    expect(applyPieces(base, { pieces, length: value.length })).toBe(value);
  });

  it("makes a value with fewer and with more routes", () => {
    for (const routes of [1_890, 1_910]) {
      const value = createValue(2, routes);
      const pieces = findPieces(base, value) ?? [];
      expect(applyPieces(base, { pieces, length: value.length })).toBe(value);
    }
  });

  it("is not made of a value that is mostly new", () => {
    expect(findPieces(base, createValue(2, 6_000))).toBeUndefined();
  });

  it("does not fit a base of another length", () => {
    const value = createValue(2, 1_900);
    const pieces = findPieces(base, value) ?? [];
    const edit = { pieces, length: value.length };
    expect(applyPieces(base.slice(0, -9), edit)).toBeUndefined();
  });

  describe("in a push", () => {
    const key = "op/config";
    const value = createValue(2, 1_900);
    const edit = {
      ...{ key, revision: 6, baseRevision: 4, length: value.length },
      pieces: findPieces(base, value) ?? [],
    };
    const push = {
      ...{ afterRevision: 5, position: { era: 1, revision: 6 }, changes: [] },
      edits: [edit],
    };

    function createReplica(revision: number) {
      const replica = createDirectoryReplica();
      replica.applyListing({
        entries: [{ key, value: base, revision }],
        position: { era: 1, revision: 5 },
      });
      // The listing tells the position of its newest entry.
      replica.applyPush({
        ...{ afterRevision: revision, changes: [] },
        position: { era: 1, revision: 5 },
      });
      return replica;
    }

    it("is applied to the entry that it was made from", () => {
      const replica = createReplica(4);
      expect(replica.applyPush(push)).toEqual([{ key, value, revision: 6 }]);
      expect(replica.getPosition()).toEqual({ era: 1, revision: 6 });
    });

    it("leaves a gap where another entry is known", () => {
      const replica = createReplica(3);
      expect(replica.applyPush(push)).toEqual([]);
      expect(replica.getPosition()).toEqual({ era: 1, revision: 5 });
    });
  });

  describe("in a fleet", () => {
    beforeEach(() => void jest.useFakeTimers());
    afterEach(() => void jest.useRealTimers());

    it("saves the routers the reading of the whole value", async () => {
      const store = createReturningStore();
      const fleet = createDirectoryFleet(
        store,
        createPlacement(await loadPlacementHost()),
        { decodeVersion: (text) => JSON.parse(text).Version },
      );
      store.put("op/config", base);
      for (let index = 0; index < 20; index++) fleet.startRouter();
      await jest.advanceTimersByTimeAsync(5_000);
      const callsBefore = store.getCalls().length;
      store.put("op/config", createValue(2, 1_900));
      await jest.advanceTimersByTimeAsync(500);
      for (const { tables } of fleet.routers) {
        expect(tables.getVersion()).toBe(2);
      }
      // Three routers watch, and each watch lasts for a second at most.
      expect(store.getCalls().length - callsBefore).toBeLessThan(10);
    });
  });
});
