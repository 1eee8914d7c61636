import { createOrphanLoad, type OccupancyReport } from "./orphan_load.ts";

/** Age of the target's reports on arrival, in milliseconds. */
const reportAgeMs = 2_000;

const typicalWork = 100;

describe("orphan load", () => {
  let running: number;
  let foreignLoad: number;

  beforeEach(() => {
    jest.useFakeTimers();
    running = 0;
    foreignLoad = 0;
  });

  afterEach(() => jest.useRealTimers());

  function create() {
    return createOrphanLoad({
      getRunning: () => running,
      getTypicalWork: () => typicalWork,
      setForeignLoad: (load) => {
        foreignLoad = load;
      },
    });
  }

  function report(requests: number): OccupancyReport {
    return { requests, at: Date.now() - reportAgeMs };
  }

  it("counts requests of an earlier process until reports drop", () => {
    const orphans = create();
    orphans.recordReport(report(5));
    expect(foreignLoad).toBe(5 * typicalWork);
    jest.advanceTimersByTime(4_000);
    orphans.recordReport(report(3));
    expect(foreignLoad).toBe(3 * typicalWork);
    jest.advanceTimersByTime(1_000);
    orphans.recordReport(report(0));
    expect(foreignLoad).toBe(0);
  });

  it("does not count own requests as orphaned", () => {
    const orphans = create();
    for (let second = 0; second < 10; second++) {
      running = Math.min(4, second);
      orphans.recordReport(report(Math.max(0, Math.min(4, second - 2))));
      jest.advanceTimersByTime(1_000);
    }
    orphans.recordReport(report(4));
    expect(foreignLoad).toBe(0);
  });

  it("keeps the count while reports are missing", () => {
    const orphans = create();
    orphans.recordReport(report(5));
    jest.advanceTimersByTime(1_000);
    orphans.recordReport(undefined);
    expect(orphans.getOrphans()).toBe(5);
    expect(foreignLoad).toBe(5 * typicalWork);
  });

  it("does not grow once reports describe a time after its start", () => {
    const orphans = create();
    jest.advanceTimersByTime(10_000);
    orphans.recordReport(report(9));
    expect(foreignLoad).toBe(0);
  });
});
