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
      revision: 5,
    });
    expect(stale).toEqual([]);
  });

  describe("a listing", () => {
    it("removes keys that it lacks", () => {
      const replica = createDirectoryReplica();
      replica.applyChanges([{ key: "a", value: "x", revision: 5 }]);
      const changes = replica.applyListing({ entries: [], revision: 9 });
      expect(changes).toEqual([{ key: "a", value: undefined, revision: 9 }]);
    });

    it("keeps keys that were written after it", () => {
      const replica = createDirectoryReplica();
      replica.applyChanges([{ key: "a", value: "x", revision: 10 }]);
      expect(replica.applyListing({ entries: [], revision: 9 })).toEqual([]);
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
});
