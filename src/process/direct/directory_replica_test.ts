import { createDirectoryReplica } from "./directory_replica.ts";

describe("directory replica", () => {
  it("never replaces a newer revision with an older one", () => {
    const replica = createDirectoryReplica();
    replica.applyChanges([{ key: "a", value: "new", revision: 5 }]);
    const late = [{ key: "a", value: "old", revision: 4 }];
    expect(replica.applyChanges(late)).toEqual([]);
    expect(replica.getNewestRevision()).toBe(5);
  });

  it("does not restore a removed key from an old listing", () => {
    const replica = createDirectoryReplica();
    replica.applyChanges([{ key: "a", value: "x", revision: 5 }]);
    replica.applyChanges([{ key: "a", value: undefined, revision: 6 }]);
    const stale = replica.applyListing({
      entries: [{ key: "a", value: "x", revision: 5 }],
      position: { era: 0, revision: 5 },
    });
    expect(stale).toEqual([]);
  });

  describe("a listing", () => {
    it("removes keys that it lacks", () => {
      const replica = createDirectoryReplica();
      replica.applyChanges([{ key: "a", value: "x", revision: 5 }]);
      const changes = replica.applyListing({
        entries: [],
        position: { era: 0, revision: 9 },
      });
      expect(changes).toEqual([{ key: "a", value: undefined, revision: 9 }]);
    });

    it("keeps keys that were written after it", () => {
      const replica = createDirectoryReplica();
      replica.applyChanges([{ key: "a", value: "x", revision: 10 }]);
      expect(
        replica.applyListing({
          entries: [],
          position: { era: 0, revision: 9 },
        }),
      ).toEqual([]);
    });
  });

  it("returns all changes after a revision, removals included", () => {
    const replica = createDirectoryReplica();
    replica.applyChanges([
      { key: "a", value: "x", revision: 5 },
      { key: "b", value: "y", revision: 6 },
      { key: "a", value: undefined, revision: 7 },
    ]);
    const peer = createDirectoryReplica();
    peer.applyChanges([{ key: "a", value: "x", revision: 5 }]);
    const keys = peer.applyChanges(replica.getSince(5)).map(({ key }) => key);
    expect(keys).toEqual(["b", "a"]);
    expect(peer.getNewestRevision()).toBe(7);
  });

  describe("with a push of a peer", () => {
    function createAtRevision4() {
      const replica = createDirectoryReplica();
      replica.applyChanges([{ key: "a", value: "x", revision: 4 }]);
      return replica;
    }

    it("knows all changes up to the push that follows its own", () => {
      const replica = createAtRevision4();
      const changes = [{ key: "b", value: "y", revision: 6 }];
      expect(replica.applyPush({ afterRevision: 3, revision: 6, changes }))
        .toEqual(changes);
      expect(replica.getNewestRevision()).toBe(6);
    });

    it("applies a push after a gap, and still misses the gap", () => {
      const replica = createAtRevision4();
      const changes = [{ key: "b", value: "y", revision: 9 }];
      expect(replica.applyPush({ afterRevision: 7, revision: 9, changes }))
        .toEqual(changes);
      expect(replica.getNewestRevision()).toBe(4);
      // A peer would take them for all changes up to the last of them.
      expect(replica.getSince(3)).toEqual([
        { key: "a", value: "x", revision: 4 },
      ]);
      replica.applyChanges([
        { key: "c", value: "z", revision: 6 },
        ...changes,
      ]);
      expect(replica.getNewestRevision()).toBe(9);
      expect(replica.getSince(4).map(({ revision }) => revision))
        .toEqual([6, 9]);
    });
  });
});
