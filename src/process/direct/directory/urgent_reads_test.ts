import { EitherAsync, Left, Right } from "purify-ts";
import type { Changes, DirectoryError } from "../../../types/directory.ts";
import { createDirectoryReplica } from "./directory_replica.ts";
import { createUrgentReads } from "./urgent_reads.ts";

describe("urgent reads beside a long response", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  const leave = { key: "servers/a", value: "draining", revision: 6 };

  function start({ isCompacted = false, hasTurn = true } = {}) {
    const replica = createDirectoryReplica();
    replica.applyListing({
      entries: [
        { key: "servers/a", value: "ready", revision: 4 },
        { key: "servers/gone", value: "ready", revision: 3 },
        { key: "routers/r", value: "x", revision: 2 },
      ],
      position: { era: 1, revision: 4 },
    });
    const calls: string[] = [];
    const handled: string[] = [];
    const pushed: string[] = [];
    const reads = createUrgentReads({
      replica,
      store: {
        resolveKey: (key) =>
          key.startsWith("servers/")
            ? { kind: "target", id: key.slice(8) }
            : { kind: "router", id: key },
        watch: ({ kind, afterRevision, waitMs }) => {
          calls.push(`watch ${kind} after ${afterRevision}`);
          return EitherAsync.fromPromise(async () => {
            if (isCompacted) {
              return Left<DirectoryError, Changes>({
                ...{ kind: "compacted", message: "gone" },
              });
            }
            const isKnown = kind !== "target" || afterRevision >= 6;
            if (isKnown) await jestSleep(waitMs);
            return Right({
              events: isKnown ? [] : [leave],
              position: { era: 1, revision: 7 },
            });
          });
        },
        list: ({ kind } = {}) => {
          calls.push(`list ${kind}`);
          return EitherAsync.fromPromise(async () =>
            Right({
              entries: kind === "target" ? [leave] : [],
              position: { era: 1, revision: 7 },
            })
          );
        },
      },
      hasTurn: () => hasTurn,
      handleChanges: (changes) =>
        changes.forEach(({ key }) => handled.push(key)),
      pushUrgent: (changes) => changes.forEach(({ key }) => pushed.push(key)),
      recordProgress: () => undefined,
      countCall: () => undefined,
    });
    return { replica, reads, calls, handled, pushed };
  }

  function jestSleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  }

  it("makes no call before one", async () => {
    const { calls } = start();
    await jest.advanceTimersByTimeAsync(2_000);
    expect(calls).toEqual([]);
  });

  it("applies a leave, pushes it and keeps the position", async () => {
    const { replica, reads, handled, pushed } = start();
    reads.begin();
    await jest.advanceTimersByTimeAsync(10);
    expect(handled).toEqual(["servers/a"]);
    expect(pushed).toEqual(["servers/a"]);
    expect(replica.getPosition()).toEqual({ era: 1, revision: 4 });
  });

  it("pushes nothing at a router that takes changes from others", async () => {
    const { reads, handled, pushed } = start({ hasTurn: false });
    reads.begin();
    await jest.advanceTimersByTimeAsync(10);
    expect(handled).toEqual(["servers/a"]);
    expect(pushed).toEqual([]);
  });

  // Targets that had left were used until the long response had arrived.
  it("finds what is gone when the history is compacted", async () => {
    const { replica, reads, handled, pushed } = start({ isCompacted: true });
    reads.begin();
    await jest.advanceTimersByTimeAsync(10);
    expect(handled).toEqual(["servers/a", "servers/gone"]);
    expect(pushed).toEqual(handled);
    expect(replica.tryGet("servers/gone")).toBeUndefined();
    expect(replica.tryGet("routers/r")).toBeDefined();
    expect(replica.getPosition()).toEqual({ era: 1, revision: 4 });
  });

  it("ends with the last of the long responses", async () => {
    const { reads, calls } = start();
    const ends = [reads.begin(), reads.begin()];
    ends[0]?.();
    ends[0]?.();
    await jest.advanceTimersByTimeAsync(2_000);
    const during = calls.length;
    expect(during).toBeGreaterThan(4);
    ends[1]?.();
    await jest.advanceTimersByTimeAsync(600);
    const after = calls.length;
    await jest.advanceTimersByTimeAsync(3_000);
    expect(calls.length).toBe(after);
  });
});
