import {
  originPosition,
  type StorePosition,
} from "../../../types/store_position.ts";
import { createSilentLog } from "../../telemetry/log.ts";
import { createMetrics } from "../../telemetry/metrics.ts";
import { createWatcherChoice } from "../peers/watcher_choice.ts";
import { createVersionStore } from "../streams/version_store.ts";
import { createStoreContact } from "./store_contact.ts";

/** Guards against versions of streams that a router takes from an old copy. */
describe("the copy of the store's entries", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  /** Starts a router that has heard of nothing. */
  function start() {
    let position: StorePosition = originPosition;
    const watchers = createWatcherChoice({
      selfId: "r",
      placement: { rankTargets: () => [] },
      getRouterIds: () => ["r", "peer"],
    });
    const contact = createStoreContact({
      selfId: "self",
      log: createSilentLog(),
      getPosition: () => position,
      getLastWatchedAt: watchers.getLastWatchedAt,
      handleOutageRevised: () => undefined,
      handleSilent: () => undefined,
    });
    const none = () => {
      throw new Error("not expected");
    };
    const versions = createVersionStore({
      ...{ log: createSilentLog(), metrics: createMetrics() },
      ...{ getTargets: () => [], getRank: () => 0, hash: () => 1 },
      getEra: () => position.era,
      getAgeMs: contact.getCopyAgeMs,
      store: {
        ...{ getEra: () => position.era, resolveKey: () => undefined },
        decodeVersions: () => undefined,
        ...{ saveVersions: none, removeVersions: none },
      },
    });
    return { contact, setRevision, receive, ...versions };

    function setRevision(revision: number): void {
      position = { era: 1, revision };
    }

    /** Receives the digest of a router that reads the store. */
    function receive(revision: number, storeAgeMs = 0): void {
      watchers.recordPeer("peer", { isWatching: true, storeAgeMs });
      contact.recordPeerPosition({ era: 1, revision });
    }
  }

  it("is not current before anyone has read the store", () => {
    const { contact, setRevision, tryGetCurrentEra } = start();
    jest.advanceTimersByTime(400);
    contact.recordFailure({ kind: "unavailable", message: "down" });
    setRevision(7);
    jest.advanceTimersByTime(200);
    expect(tryGetCurrentEra()).toBeUndefined();
    contact.recordSuccess({ era: 1, revision: 7 });
    expect(tryGetCurrentEra()).toBe(1);
  });

  it("is as old as the reads of the peer that reports them", () => {
    const { setRevision, receive, tryGetCurrentEra } = start();
    setRevision(7);
    receive(7, 900);
    jest.advanceTimersByTime(600);
    expect(tryGetCurrentEra()).toBe(1);
    jest.advanceTimersByTime(1);
    receive(7, 1_501);
    expect(tryGetCurrentEra()).toBeUndefined();
  });

  it("is not current while a push is missing", () => {
    const { contact, setRevision, receive, tryGetCurrentEra } = start();
    contact.recordSuccess({ era: 1, revision: 7 });
    setRevision(7);
    receive(8);
    expect(tryGetCurrentEra()).toBeUndefined();
    // A digest of a peer that is behind too.
    receive(7);
    expect(tryGetCurrentEra()).toBeUndefined();
    setRevision(8);
    expect(tryGetCurrentEra()).toBe(1);
  });

  it("is current without a change that its listing included", () => {
    const { contact, setRevision, receive, tryGetCurrentEra } = start();
    // The change at 8 removed an entry, so the listing has none of it.
    contact.recordSuccess({ era: 1, revision: 8 });
    setRevision(7);
    receive(8);
    expect(tryGetCurrentEra()).toBe(1);
  });

  it("is current again after a wrong position that nobody repeats", () => {
    const { setRevision, receive, tryGetCurrentEra } = start();
    setRevision(7);
    receive(999_999);
    jest.advanceTimersByTime(2_100);
    receive(7);
    expect(tryGetCurrentEra()).toBe(1);
  });
});

/** Guards against turns that a router keeps whose link is too slow for them. */
describe("a read of the store that takes long", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  it("ends the turn, and is no outage while the store responds", () => {
    const contact = createStoreContact({
      selfId: "self",
      log: createSilentLog(),
      getPosition: () => originPosition,
      getLastWatchedAt: () => Number.NEGATIVE_INFINITY,
      handleOutageRevised: () => undefined,
      handleSilent: () => undefined,
    });
    contact.recordSuccess({ era: 1, revision: 1 });
    contact.recordTurn();
    contact.recordSuccess({ era: 1, revision: 2 });
    for (let tick = 0; tick < 16; tick++) {
      jest.advanceTimersByTime(500);
      contact.recordProgress();
    }
    expect(contact.hasReadWithin(2_000)).toBe(false);
    contact.recordSuccess({ era: 1, revision: 3 });
    expect(contact.hasReadWithin(2_000)).toBe(true);
    expect(contact.getOutageEndedAt()).toBe(Number.NEGATIVE_INFINITY);
  });
});
