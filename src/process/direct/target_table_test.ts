import { createTarget } from "../../../test/support/direct.ts";
import { createTargetTable } from "./target_table.ts";

describe("the table of targets", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  function getIds(table: ReturnType<typeof createTargetTable>) {
    return table.getReady("cards").map(({ id }) => id);
  }

  it("gives no new work to a target from the moment that it drains", () => {
    const table = createTargetTable();
    table.put(createTarget("a"));
    table.put(createTarget("b"));
    table.put(createTarget("a", { state: "draining" }));
    expect(getIds(table)).toEqual(["b"]);
    expect(table.getLeaving("cards").map(({ id }) => id)).toEqual(["a"]);
  });

  it("gives no new work to a target whose entry is gone", () => {
    const table = createTargetTable();
    table.put(createTarget("a"));
    table.remove("a", performance.now());
    expect(getIds(table)).toEqual([]);
  });

  describe("an entry that lapsed in an outage", () => {
    it("counts until it should be back", () => {
      const table = createTargetTable();
      table.put(createTarget("a"));
      table.remove("a", performance.now() + 2_000);
      expect(getIds(table)).toEqual(["a"]);
      jest.advanceTimersByTime(2_001);
      expect(getIds(table)).toEqual([]);
    });

    it("counts on when it comes back", () => {
      const table = createTargetTable();
      table.put(createTarget("a"));
      table.remove("a", performance.now() + 2_000);
      expect(table.put(createTarget("a"))).toBe(false);
      jest.advanceTimersByTime(5_000);
      expect(getIds(table)).toEqual(["a"]);
    });
  });

  it("tells a restart under the same id", () => {
    const table = createTargetTable();
    expect(table.put(createTarget("a"))).toBe(true);
    expect(table.put(createTarget("a", { slots: 3 }))).toBe(false);
    expect(table.put(createTarget("a", { startedAtMs: 2 }))).toBe(true);
  });
});
