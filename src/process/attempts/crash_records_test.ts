import { crashRecordTtlMs, createCrashRecords } from "./crash_records.ts";

describe("crash records", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it("count crashes and expire", () => {
    const records = createCrashRecords();
    records.recordCrash("a");
    records.recordCrash("a");
    expect(records.getCrashes("a")).toBe(2);
    jest.advanceTimersByTime(crashRecordTtlMs);
    expect(records.getCrashes("a")).toBe(0);
  });

  it("are withdrawn only by a later update", () => {
    const records = createCrashRecords();
    const early = records.recordCrash("a");
    jest.advanceTimersByTime(10);
    const cleared = records.clear("a");
    expect(records.merge(early)).toBe(false);
    expect(records.getCrashes("a")).toBe(0);
    const other = createCrashRecords();
    if (cleared !== undefined) other.merge(cleared);
    other.merge(early);
    expect(other.getCrashes("a")).toBe(0);
  });

  it("are bounded in number and in time", () => {
    const records = createCrashRecords();
    for (let number = 0; number < 5_000; number++) {
      records.recordCrash(`f${number}`);
    }
    expect(records.getAll()).toHaveLength(4_096);
    const expiresAtMs = Date.now() + crashRecordTtlMs * 100;
    expect(records.merge({ fingerprint: "x", crashes: 9, expiresAtMs }))
      .toBe(false);
  });
});
