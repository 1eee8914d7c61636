import type { WatchEvent } from "../../../types/platform.ts";
import { originPosition } from "../../../types/store_position.ts";
import {
  createDirectoryReplica,
  type DirectoryReplica,
} from "./directory_replica.ts";

/** Applies changes of an era. */
function applyChanges(
  replica: DirectoryReplica,
  events: readonly WatchEvent[],
  era = 0,
) {
  const revision = events.at(-1)?.revision ?? 0;
  return replica.applyChanges({ events, position: { era, revision } });
}

describe("directory replica", () => {
  it("never replaces a newer revision with an older one", () => {
    const replica = createDirectoryReplica();
    applyChanges(replica, [{ key: "a", value: "new", revision: 5 }]);
    const late = [{ key: "a", value: "old", revision: 4 }];
    expect(applyChanges(replica, late)).toEqual([]);
    expect(replica.getPosition()).toEqual({ era: 0, revision: 5 });
  });

  it("does not restore a removed key from an old listing", () => {
    const replica = createDirectoryReplica();
    applyChanges(replica, [{ key: "a", value: "x", revision: 5 }]);
    applyChanges(replica, [{ key: "a", value: undefined, revision: 6 }]);
    const stale = replica.applyListing({
      entries: [{ key: "a", value: "x", revision: 5 }],
      position: { era: 0, revision: 5 },
    });
    expect(stale).toEqual([]);
  });

  // A router that had just started got back, and used, a target that had left.
  describe.each([true, false])(
    "with a copy (all entries: %s)",
    (isComplete) => {
      it("takes no entry that its newer listing lacks", () => {
        const replica = createDirectoryReplica();
        const kept = { key: "b", value: "y", revision: 4 };
        const position = { era: 0, revision: 9 };
        replica.applyListing({ entries: [kept], position });
        const gone = { key: "a", value: "x", revision: 7 };
        const later = { key: "c", value: "z", revision: 10 };
        const copied = replica.applyCopy({
          ...{ position: { era: 0, revision: 5 }, isComplete },
          ...{ changes: [kept, gone, later], lostEntries: [] },
        });
        expect(copied).toEqual([later]);
        expect(replica.tryGet("a")).toBeUndefined();
      });
    },
  );

  describe("a listing", () => {
    it("removes keys that it lacks", () => {
      const replica = createDirectoryReplica();
      applyChanges(replica, [{ key: "a", value: "x", revision: 5 }]);
      const changes = replica.applyListing({
        entries: [],
        position: { era: 0, revision: 9 },
      });
      expect(changes).toEqual([{ key: "a", value: undefined, revision: 9 }]);
    });

    it("keeps keys that were written after it", () => {
      const replica = createDirectoryReplica();
      applyChanges(replica, [{ key: "a", value: "x", revision: 10 }]);
      const listing = { entries: [], position: { era: 0, revision: 9 } };
      expect(replica.applyListing(listing)).toEqual([]);
    });

    it.each([0, 1])(
      "may lack changes after its first page (era %d)",
      (era) => {
        const replica = createDirectoryReplica();
        replica.applyListing({
          entries: [
            { key: "a", value: "x", revision: 4 },
            { key: "b", value: "of a later page", revision: 7 },
          ],
          position: { era, revision: 5 },
        });
        expect(replica.getPosition()).toEqual({ era, revision: 5 });
      },
    );
  });

  it("returns all changes after a revision, removals included", () => {
    const replica = createDirectoryReplica();
    applyChanges(replica, [
      { key: "a", value: "x", revision: 5 },
      { key: "b", value: "y", revision: 6 },
      { key: "a", value: undefined, revision: 7 },
    ]);
    const peer = createDirectoryReplica();
    applyChanges(peer, [{ key: "a", value: "x", revision: 5 }]);
    const copy = replica.getCopyAfter(peer.getPosition());
    expect(copy.isComplete).toBe(false);
    expect(peer.applyCopy(copy).map(({ key }) => key)).toEqual(["b", "a"]);
    expect(peer.getPosition()).toEqual({ era: 0, revision: 7 });
  });

  describe("after a listing, which does not tell what was removed", () => {
    const kept = { key: "kept", value: "x", revision: 2 };

    /** Creates a router that knows of an entry that is gone since. */
    function createPeer() {
      const peer = createDirectoryReplica();
      applyChanges(peer, [kept, { key: "gone", value: "x", revision: 3 }]);
      return peer;
    }

    function createListed() {
      const replica = createDirectoryReplica();
      const position = { era: 0, revision: 5 };
      replica.applyListing({ entries: [kept], position });
      return replica;
    }

    it("names the keys that exist to a peer from before it", () => {
      const peer = createPeer();
      const copy = createListed().getCopyAfter(peer.getPosition());
      expect(copy).toMatchObject({ isComplete: false, keys: ["kept"] });
      expect(peer.applyCopy(copy))
        .toEqual([{ key: "gone", value: undefined, revision: 5 }]);
      expect(peer.getPosition()).toEqual({ era: 0, revision: 5 });
      // The peer does not know either what else was removed up to there.
      expect(peer.getCopyAfter({ era: 0, revision: 4 }).keys)
        .toEqual(["kept"]);
    });

    it("names none to a peer that has known all since", () => {
      const replica = createListed();
      applyChanges(replica, [{ ...kept, value: undefined, revision: 6 }]);
      expect(replica.getCopyAfter({ era: 0, revision: 5 }).keys)
        .toBeUndefined();
    });

    it("keeps what a peer has written after the copy", () => {
      const peer = createPeer();
      const copy = createListed().getCopyAfter(peer.getPosition());
      const added = { key: "added", value: "x", revision: 6 };
      applyChanges(peer, [added]);
      peer.applyCopy(copy);
      expect(peer.tryGet("added")).toEqual(added);
    });

    it("lacks a removal once its record was evicted", () => {
      const replica = createDirectoryReplica();
      const removals = Array.from({ length: 4_097 }, (_, index) => ({
        key: `key-${index}`,
        value: undefined,
        revision: index + 1,
      }));
      applyChanges(replica, removals);
      expect(replica.getCopyAfter({ era: 0, revision: 0 }).keys).toEqual([]);
      expect(replica.getCopyAfter({ era: 0, revision: 1 }).keys)
        .toBeUndefined();
    });
  });

  describe("with a push of a peer", () => {
    function createAtRevision4() {
      const replica = createDirectoryReplica();
      applyChanges(replica, [{ key: "a", value: "x", revision: 4 }]);
      return replica;
    }

    it("knows all changes up to the push that follows its own", () => {
      const replica = createAtRevision4();
      const changes = [{ key: "b", value: "y", revision: 6 }];
      const position = { era: 0, revision: 6 };
      expect(replica.applyPush({ afterRevision: 3, position, changes }))
        .toEqual(changes);
      expect(replica.getPosition()).toEqual(position);
    });

    it("applies a push after a gap, and still misses the gap", () => {
      const replica = createAtRevision4();
      const changes = [{ key: "b", value: "y", revision: 9 }];
      const position = { era: 0, revision: 9 };
      expect(replica.applyPush({ afterRevision: 7, position, changes }))
        .toEqual(changes);
      expect(replica.getPosition()).toEqual({ era: 0, revision: 4 });
      // A peer would take them for all changes up to the last of them.
      expect(replica.getCopyAfter({ era: 0, revision: 3 }).changes).toEqual([
        { key: "a", value: "x", revision: 4 },
      ]);
      applyChanges(replica, [
        { key: "c", value: "z", revision: 6 },
        ...changes,
      ]);
      expect(replica.getPosition()).toEqual({ era: 0, revision: 9 });
      const { changes: newer } = replica.getCopyAfter({ era: 0, revision: 4 });
      expect(newer.map(({ revision }) => revision)).toEqual([6, 9]);
    });

    it.each([0, 2])("ignores a push of era %d in era 1", (era) => {
      const replica = createDirectoryReplica();
      replica.applyListing({
        entries: [{ key: "a", value: "x", revision: 4 }],
        position: { era: 1, revision: 4 },
      });
      const push = {
        afterRevision: 4,
        position: { era, revision: 9 },
        changes: [{ key: "a", value: "y", revision: 9 }],
      };
      expect(replica.applyPush(push)).toEqual([]);
      expect(replica.getPosition()).toEqual({ era: 1, revision: 4 });
    });
  });

  describe("after a return of the store", () => {
    const target = { key: "servers/a", value: "ready", revision: 50 };

    /** Creates a replica at revision 100 of era 1. */
    function createBefore(...events: readonly WatchEvent[]) {
      const replica = createDirectoryReplica();
      replica.applyListing({
        entries: [{ key: "other", value: "x", revision: 100 }, target],
        position: { era: 1, revision: 100 },
      });
      applyChanges(replica, events, 1);
      return replica;
    }

    /** Lists era 2, of which `other` is unchanged. */
    function listNext(
      replica: DirectoryReplica,
      entries: readonly (WatchEvent & { readonly value: string })[],
      era = 2,
    ) {
      return replica.applyListing({
        entries: [{ key: "other", value: "x", revision: 20 }, ...entries],
        position: { era, revision: 90 },
      });
    }

    it("replaces all entries by a listing of lower revisions", () => {
      const replica = createBefore();
      const written = { key: "new", value: "y", revision: 85 };
      expect(listNext(replica, [target, written])).toEqual([written]);
      expect(replica.getPosition()).toEqual({ era: 2, revision: 90 });
      const next = { key: "new", value: "z", revision: 86 };
      expect(applyChanges(replica, [next], 2)).toEqual([next]);
    });

    it("ignores changes and listings of the era before", () => {
      const replica = createBefore();
      listNext(replica, [target]);
      const late = { key: "servers/a", value: "late", revision: 101 };
      expect(applyChanges(replica, [late], 1)).toEqual([]);
      expect(replica.applyListing({
        entries: [late],
        position: { era: 1, revision: 101 },
      })).toEqual([]);
      expect(replica.getPosition().era).toBe(2);
    });

    it("needs all entries to begin an era", () => {
      const replica = createBefore();
      const later = { key: "servers/a", value: "later", revision: 101 };
      expect(applyChanges(replica, [later], 2)).toEqual([]);
      expect(replica.applyCopy({
        position: { era: 2, revision: 101 },
        isComplete: false,
        lostEntries: [],
        changes: [later],
      })).toEqual([]);
      expect(replica.getPosition()).toEqual({ era: 1, revision: 100 });
    });

    it("marks entries and removals that may be older than known", () => {
      const changed = { ...target, value: "draining", revision: 101 };
      const added = { key: "servers/b", value: "ready", revision: 102 };
      const replica = createBefore(changed, added);
      expect(listNext(replica, [target])).toEqual([
        { ...target, isRestored: true },
        { key: "servers/b", value: undefined, revision: 90, isRestored: true },
      ]);
    });

    it("does not mark an entry with a higher revision than known", () => {
      const replica = createBefore();
      const written = { ...target, value: "draining", revision: 51 };
      expect(listNext(replica, [written])).toEqual([written]);
    });

    it("marks an entry that was removed before", () => {
      const removal = { ...target, value: undefined, revision: 101 };
      const replica = createBefore(removal);
      expect(listNext(replica, [target]))
        .toEqual([{ ...target, isRestored: true }]);
    });

    it("marks an entry that was removed two returns before", () => {
      const replica = createBefore(
        { ...target, value: undefined, revision: 101 },
      );
      listNext(replica, []);
      expect(listNext(replica, [target], 3))
        .toEqual([{ ...target, isRestored: true }]);
    });

    it("marks an entry that was newer two returns before", () => {
      const replica = createBefore(
        { ...target, value: "draining", revision: 101 },
      );
      listNext(replica, [target]);
      const warm = { ...target, value: "ready and warm", revision: 60 };
      expect(listNext(replica, [warm], 3))
        .toEqual([{ ...warm, isRestored: true }]);
    });

    it("keeps what an earlier return has lost, as an evacuation", () => {
      const evacuation = { key: "zone", value: "evacuated", revision: 105 };
      const replica = createBefore(evacuation);
      // The removal counts as one at the newest revision of the copy.
      replica.applyListing({
        entries: [
          { key: "other", value: "x", revision: 20 },
          { ...target, revision: 130 },
        ],
        position: { era: 2, revision: 130 },
      });
      expect(replica.countLostEntries()).toBe(1);
      listNext(replica, [target], 3);
      expect(replica.countLostEntries()).toBe(1);
    });

    it("takes an entry for current once it changes in the new era", () => {
      const replica = createBefore(
        { ...target, value: "draining", revision: 101 },
      );
      listNext(replica, [target]);
      const written = { ...target, value: "ready", revision: 91 };
      expect(applyChanges(replica, [written], 2)).toEqual([written]);
    });

    it("is taken from a peer that has it", () => {
      const peer = createBefore();
      const written = { key: "new", value: "y", revision: 85 };
      listNext(peer, [target, written]);
      applyChanges(
        peer,
        [{ key: "other", value: undefined, revision: 91 }],
        2,
      );
      const replica = createBefore();
      const copy = peer.getCopyAfter(replica.getPosition());
      expect(copy.isComplete).toBe(true);
      expect(replica.applyCopy(copy)).toEqual([
        written,
        { key: "other", value: undefined, revision: 91, isRestored: true },
      ]);
      expect(replica.getPosition().era).toBe(2);
    });

    it("is not taken back from a peer that has not seen it", () => {
      const replica = createBefore();
      listNext(replica, [target]);
      const copy = createBefore().getCopyAfter(replica.getPosition());
      expect(replica.applyCopy(copy)).toEqual([]);
      expect(replica.getPosition().era).toBe(2);
    });

    describe("tells what was lost to a router that starts", () => {
      const draining = { ...target, value: "draining", revision: 101 };
      const restored = { ...target, revision: 40 };

      /** Returns a router that knew of a change which the store has lost. */
      function createWitness(...lost: readonly WatchEvent[]) {
        const witness = createBefore(...lost);
        listNext(witness, [restored]);
        return witness;
      }

      function createStarted() {
        const started = createDirectoryReplica();
        started.applyListing({
          entries: [restored],
          position: { era: 2, revision: 50 },
        });
        return started;
      }

      it("which then knows it too", () => {
        const witness = createWitness(draining);
        const started = createStarted();
        expect(started.countLostEntries()).toBe(0);
        const copy = witness.getCopyAfter(started.getPosition());
        expect(started.applyCopy(copy)).toEqual(
          expect.arrayContaining([{ ...draining, isLost: true }]),
        );
        expect(started.countLostEntries()).toBe(witness.countLostEntries());
        expect(started.applyCopy(copy)).toEqual([]);
      });

      it("unless the entry has changed there", () => {
        const witness = createWitness(draining);
        const started = createStarted();
        const copy = witness.getCopyAfter(started.getPosition());
        applyChanges(started, [{ ...target, value: "ready", revision: 51 }], 2);
        expect(started.applyCopy(copy).map(({ key }) => key))
          .not.toContain(target.key);
      });

      it("until the entry changes", () => {
        const witness = createWitness(draining);
        const before = witness.countLostEntries();
        applyChanges(witness, [{ ...draining, revision: 51 }], 2);
        expect(witness.countLostEntries()).toBe(before - 1);
      });

      it("but not that an entry was removed which is only missing", () => {
        const added = { key: "servers/b", value: "ready", revision: 102 };
        const copy = createWitness(added).getCopyAfter(
          { era: 2, revision: 10 },
        );
        expect(copy.changes.map(({ key }) => key)).not.toContain(added.key);
        expect(copy.lostEntries).toContainEqual(
          { ...added, restoredRevision: 0 },
        );
      });
    });

    it("gives a router that starts a copy without marks", () => {
      const peer = createBefore();
      listNext(peer, [{ ...target, revision: 40 }]);
      const replica = createDirectoryReplica();
      const copy = peer.getCopyAfter(originPosition);
      expect(replica.applyCopy(copy)).toEqual([
        { key: "other", value: "x", revision: 20 },
        { ...target, revision: 40 },
      ]);
    });
  });
});
