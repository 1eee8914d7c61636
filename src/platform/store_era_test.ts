import type { EraFault } from "../types/directory.ts";
import { createEraReader } from "./store_era.ts";

describe("the era of the store", () => {
  function create() {
    const faults: EraFault["kind"][] = [];
    const reader = createEraReader();
    reader.onFault(({ kind }) => faults.push(kind));
    return { reader, faults };
  }

  it("is that of the first response, whatever it is", () => {
    const { reader, faults } = create();
    expect(reader.read("7")).toEqual({ era: 7, isOutdated: false });
    expect(faults).toEqual([]);
  });

  it("follows each return of the store", () => {
    const { reader, faults } = create();
    expect(["0", "1", "1", "2"].map((text) => reader.read(text)))
      .toEqual([0, 1, 1, 2].map((era) => ({ era, isOutdated: false })));
    expect(reader.getNewest()).toBe(2);
    expect(faults).toEqual([]);
  });

  describe("that is missing", () => {
    it("is 0 before the first", () => {
      const { reader, faults } = create();
      expect(reader.read(undefined)).toEqual({ era: 0, isOutdated: false });
      expect(faults).toEqual(["missing"]);
      expect(reader.read("3")).toEqual({ era: 3, isOutdated: false });
    });

    it("stays what it was", () => {
      const { reader } = create();
      reader.read("3");
      expect(reader.read(undefined)).toEqual({ era: 3, isOutdated: false });
    });
  });

  it.each(["", "-1", "1.5", "1e3", "two", "NaN", " 4", "4, 4", "9".repeat(16)])(
    "stays what it was when it is %j",
    (text) => {
      const { reader, faults } = create();
      reader.read("3");
      expect(reader.read(text)).toEqual({ era: 3, isOutdated: false });
      expect(reader.getNewest()).toBe(3);
      expect(faults).toEqual(["malformed"]);
    },
  );

  it("marks a response from before the newest era", () => {
    const { reader, faults } = create();
    reader.read("3");
    expect(reader.read("2")).toEqual({ era: 2, isOutdated: true });
    expect(reader.getNewest()).toBe(3);
    expect(faults).toEqual(["decreased"]);
  });

  describe("that skips others", () => {
    it("counts once a second response confirms it", () => {
      const { reader, faults } = create();
      reader.read("1");
      expect(reader.read("3")).toEqual({ era: 3, isOutdated: true });
      expect(reader.getNewest()).toBe(1);
      expect(reader.read("3")).toEqual({ era: 3, isOutdated: false });
      expect(faults).toEqual(["skipped"]);
    });

    it("does not count when the next response has the era from before", () => {
      const { reader } = create();
      reader.read("1");
      reader.read("900");
      expect(reader.read("1")).toEqual({ era: 1, isOutdated: false });
      expect(reader.read("900")).toEqual({ era: 900, isOutdated: true });
      expect(reader.getNewest()).toBe(1);
    });
  });
});
