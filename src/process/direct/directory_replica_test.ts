import { createDirectoryReplica } from "./directory_replica.ts";

describe("the directory's replica", () => {
  it("never goes back to an older copy, whoever sends it", () => {
    const replica = createDirectoryReplica();
    replica.applyChanges([{ key: "a", value: "new", revision: 5 }]);
    const late = [{ key: "a", value: "old", revision: 4 }];
    expect(replica.applyChanges(late)).toEqual([]);
    expect(replica.getNewestRevision()).toBe(5);
  });

  it("does not bring a removed key back", () => {
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
    it("removes what it lacks", () => {
      const replica = createDirectoryReplica();
      replica.applyChanges([{ key: "a", value: "x", revision: 5 }]);
      const changes = replica.applyListing({ entries: [], revision: 9 });
      expect(changes).toEqual([{ key: "a", value: undefined, revision: 9 }]);
    });

    it("keeps what was written after it", () => {
      const replica = createDirectoryReplica();
      replica.applyChanges([{ key: "a", value: "x", revision: 10 }]);
      expect(replica.applyListing({ entries: [], revision: 9 })).toEqual([]);
    });
  });

  it("gives peers all changes after a revision, removals too", () => {
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
