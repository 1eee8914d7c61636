import { createTarget } from "../../../test/support/direct.ts";
import { createTargetTable } from "./target_table.ts";

describe("target table", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  function getIds(table: ReturnType<typeof createTargetTable>) {
    return table.getReady("cards").map(({ id }) => id);
  }

  it("does not return a draining target as ready", () => {
    const table = createTargetTable();
    table.put(createTarget("a"));
    table.put(createTarget("b"));
    table.put(createTarget("a", { state: "draining" }));
    expect(getIds(table)).toEqual(["b"]);
    expect(table.getLeaving("cards").map(({ id }) => id)).toEqual(["a"]);
  });

  it("does not return a removed target as ready", () => {
    const table = createTargetTable();
    table.put(createTarget("a"));
    table.remove("a", performance.now());
    expect(getIds(table)).toEqual([]);
  });

  describe("an entry that expired in an outage", () => {
    it("is used until its grace period ends", () => {
      const table = createTargetTable();
      table.put(createTarget("a"));
      table.remove("a", performance.now() + 2_000);
      expect(getIds(table)).toEqual(["a"]);
      jest.advanceTimersByTime(2_001);
      expect(getIds(table)).toEqual([]);
    });

    it("stays in use when it is registered again", () => {
      const table = createTargetTable();
      table.put(createTarget("a"));
      table.remove("a", performance.now() + 2_000);
      expect(table.put(createTarget("a"))).toBe(false);
      jest.advanceTimersByTime(5_000);
      expect(getIds(table)).toEqual(["a"]);
    });
  });

  it("detects a restart under the same id", () => {
    const table = createTargetTable();
    expect(table.put(createTarget("a"))).toBe(true);
    expect(table.put(createTarget("a", { slots: 3 }))).toBe(false);
    expect(table.put(createTarget("a", { startedAtMs: 2 }))).toBe(true);
  });
});
