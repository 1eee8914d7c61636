import {
  createPlacement,
  loadPlacementHost,
  type Placement,
} from "./placement.ts";

function createCandidates(count: number): { id: string; weight: number }[] {
  return Array.from(
    { length: count },
    (_, index) => ({ id: `engine-${index}`, weight: 100 }),
  );
}

describe("placement", () => {
  let placement: Placement;
  const keys = Array.from({ length: 2_000 }, (_, index) => `chat-${index}`);

  beforeAll(async () => {
    placement = createPlacement(await loadPlacementHost());
  });

  function getFirstId(
    key: string,
    candidates: { id: string; weight: number }[],
  ) {
    return placement.rankTargets(key, candidates)[0]?.id;
  }

  describe("when a target leaves", () => {
    it("moves only the chats of that target", () => {
      const before = createCandidates(13);
      const after = before.filter(({ id }) => id !== "engine-4");
      for (const key of keys) {
        const firstId = getFirstId(key, before);
        if (firstId === "engine-4") continue;
        expect(getFirstId(key, after)).toBe(firstId);
      }
    });

    it("moves most chats with naive modulo hashing", () => {
      const modulo = (key: string, count: number): number =>
        [...key].reduce((sum, c) => (sum * 31 + c.charCodeAt(0)) >>> 0, 7) %
        count;
      const moved = keys.filter((key) =>
        modulo(key, 13) !== 4 && modulo(key, 13) !== modulo(key, 12)
      );
      expect(moved.length).toBeGreaterThan(keys.length / 2);
    });
  });

  describe("ranking", () => {
    it("does not depend on the order of the candidates", () => {
      const candidates = createCandidates(13);
      const reversed = [...candidates].reverse();
      for (const key of keys.slice(0, 100)) {
        expect(placement.rankTargets(key, candidates))
          .toEqual(placement.rankTargets(key, reversed));
      }
    });

    it("gives a target with twice the weight twice the chats", () => {
      const candidates = createCandidates(5);
      candidates.push({ id: "large", weight: 200 });
      const large = keys.filter((key) =>
        getFirstId(key, candidates) === "large"
      );
      expect(large.length / keys.length).toBeGreaterThan(0.25);
      expect(large.length / keys.length).toBeLessThan(0.32);
    });

    it("puts the hinted target first only if it is a candidate", () => {
      const candidates = createCandidates(5);
      const ranked = placement.rankTargets("chat", candidates, {
        hint: "engine-3",
        limit: 5,
      });
      expect(ranked[0]?.id).toBe("engine-3");
      expect(new Set(ranked.map(({ id }) => id)).size).toBe(5);
      expect(placement.rankTargets("chat", candidates, { hint: "gone" }))
        .toEqual(placement.rankTargets("chat", candidates));
    });
  });
});
