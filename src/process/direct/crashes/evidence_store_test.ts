import { EitherAsync, Left, Right } from "purify-ts";
import type {
  DirectoryError,
  SavedEvidence,
} from "../../../types/directory.ts";
import { createSilentLog } from "../../telemetry/log.ts";
import type { CrashEvidence } from "./crash_evidence.ts";
import { createEvidenceStore, type EvidenceStore } from "./evidence_store.ts";

const record: CrashEvidence = {
  ...{ key: "request:1", generation: 2, lives: [1, 2, 3], trials: 1 },
  ...{ trialInMs: 8_000, expiresInMs: 1_200_000 },
};

describe("what is quarantined, in the store", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => {
    routers.forEach((router) => router.stop());
    jest.useRealTimers();
  });

  let routers: EvidenceStore[];
  let records: readonly CrashEvidence[];
  let merged: CrashEvidence[];
  let calls: string[];
  let isAway: boolean;
  let mayStay: (key: string) => boolean;
  const entries = new Map<string, SavedEvidence>();

  beforeEach(() => {
    routers = [];
    records = [];
    merged = [];
    calls = [];
    isAway = false;
    mayStay = (key) => records.some((saved) => saved.key === key);
    entries.clear();
  });

  /** Starts routers of one fleet, which hear of changes after a short time. */
  function startRouters(count: number): void {
    routers = Array.from({ length: count }, (_, rank) =>
      createEvidenceStore({
        log: createSilentLog(),
        getRank: () => rank,
        getRecords: () => records,
        mayStaySaved: (key) => mayStay(key),
        merge: (evidence) => merged.push(evidence),
        store: {
          decodeEvidence: ({ key, value }) => ({
            key,
            evidence: value === ""
              ? undefined
              : JSON.parse(value) as SavedEvidence,
          }),
          saveEvidence: (evidence) => write(evidence.key, evidence),
          removeEvidence: (key) => write(key, undefined),
        },
      }));
    routers.forEach((router) => router.start());
  }

  function write(
    key: string,
    evidence: SavedEvidence | undefined,
  ): EitherAsync<DirectoryError, void> {
    calls.push(evidence === undefined ? "remove" : "save");
    return EitherAsync.liftEither(
      isAway
        ? Left<DirectoryError>({ kind: "unavailable", message: "away" })
        : Right(tell(key, evidence)),
    );
  }

  function tell(key: string, evidence: SavedEvidence | undefined): void {
    const value = evidence && JSON.stringify(evidence);
    setTimeout(
      () =>
        routers.forEach((router) =>
          router.apply([{ key, value, revision: 1 }])
        ),
      400,
    );
  }

  it("is written by one router of hundreds", async () => {
    startRouters(300);
    records = [record];
    await jest.advanceTimersByTimeAsync(30_000);
    expect(calls).toEqual(["save"]);
  });

  it("is written again when it has changed, and removed at its end", async () => {
    startRouters(5);
    records = [record];
    await jest.advanceTimersByTimeAsync(3_000);
    records = [{ ...record, trials: 2 }];
    await jest.advanceTimersByTimeAsync(3_000);
    records = [];
    await jest.advanceTimersByTimeAsync(30_000);
    expect(calls).toEqual(["save", "save", "remove"]);
  });

  it("is written once the store is back", async () => {
    startRouters(1);
    isAway = true;
    records = [record];
    await jest.advanceTimersByTimeAsync(10_000);
    // Two calls a second at most, however long it is away.
    expect(calls.length).toBeLessThanOrEqual(20);
    isAway = false;
    calls = [];
    await jest.advanceTimersByTimeAsync(10_000);
    expect(calls).toEqual(["save"]);
  });

  it("is known to a router that reads it, until it expires", () => {
    startRouters(1);
    const saved = { ...record, expiresAtMs: Date.now() + 5_000 };
    routers[0]?.apply([{
      ...{ key: record.key, value: JSON.stringify(saved), revision: 1 },
    }]);
    expect(merged).toMatchObject([{ lives: [1, 2, 3], expiresInMs: 5_000 }]);
    jest.advanceTimersByTime(5_001);
    routers[0]?.apply([{
      ...{ key: record.key, value: JSON.stringify(saved), revision: 2 },
    }]);
    expect(merged).toHaveLength(1);
  });

  it("is written early for two crashes, and kept by other routers", async () => {
    startRouters(300);
    records = [{ ...record, lives: [1, 2] }];
    await jest.advanceTimersByTimeAsync(1_500);
    expect(calls).toEqual(["save"]);
    const kept = records;
    mayStay = (key) => kept.some((saved) => saved.key === key);
    records = [];
    await jest.advanceTimersByTimeAsync(60_000);
    expect(calls).toEqual(["save"]);
    mayStay = () => false;
    await jest.advanceTimersByTimeAsync(3_000);
    expect(calls).toEqual(["save", "remove"]);
  });

  it("has few entries about two crashes", async () => {
    startRouters(1);
    records = Array.from({ length: 500 }, (_, index) => ({
      ...{ ...record, lives: [1, 2] },
      key: `request:${index}`,
    }));
    await jest.advanceTimersByTimeAsync(120_000);
    expect(calls).toHaveLength(32);
  });

  it("has a bounded number of entries", async () => {
    startRouters(1);
    records = Array.from({ length: 500 }, (_, index) => ({
      ...record,
      key: `request:${index}`,
    }));
    await jest.advanceTimersByTimeAsync(120_000);
    expect(new Set(calls)).toEqual(new Set(["save"]));
    expect(calls).toHaveLength(64);
  });
});
