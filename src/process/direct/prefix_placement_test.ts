import { createTarget } from "../../../test/support/direct.ts";
import {
  chooseEngine,
  type EngineCandidate,
  type PlacementRequest,
} from "./prefix_placement.ts";

const request: PlacementRequest = {
  sharedTokens: 10_000,
  zone: "zone-a",
  loadMultiple: 2,
  unavailableHolders: [],
};

function createCandidate(
  id: string,
  changes: Partial<EngineCandidate> = {},
): EngineCandidate {
  return {
    target: createTarget(id),
    load: 8,
    backlogTokens: 0,
    heldTokens: 0,
    ...changes,
  };
}

describe("placement by shared parts", () => {
  it("goes where the parts are held, though others are less loaded", () => {
    const choice = chooseEngine(request, [
      createCandidate("a", { load: 4 }),
      createCandidate("b", { load: 12, heldTokens: 10_000 }),
    ]);
    expect(choice?.target.id).toBe("b");
    expect(choice?.fetchFrom).toBeUndefined();
  });

  it("takes the first rank when nobody holds the parts", () => {
    const choice = chooseEngine(request, [
      createCandidate("a", { load: 10 }),
      createCandidate("b", { load: 8 }),
    ]);
    expect(choice?.target.id).toBe("a");
  });

  describe("a part that draws much of the traffic", () => {
    it("leaves the holder at the load bound and is copied from there", () => {
      const choice = chooseEngine(request, [
        createCandidate("a", { load: 20, heldTokens: 10_000 }),
        ...["b", "c", "d", "e", "f"].map((id) => createCandidate(id)),
      ]);
      expect(choice?.target.id).not.toBe("a");
      expect(choice?.fetchFrom?.id).toBe("a");
    });

    it("never passes the multiple of the mean while others have room", () => {
      const loads = new Map(
        ["a", "b", "c", "d", "e", "f"].map((id) => [id, 6]),
      );
      const held = new Set(["a"]);
      for (let arrival = 0; arrival < 200; arrival++) {
        const choice = chooseEngine(
          request,
          [...loads].map(([id, load]) =>
            createCandidate(id, {
              load,
              heldTokens: held.has(id) ? 10_000 : 0,
            })
          ),
        );
        const id = choice?.target.id ?? "";
        held.add(id);
        const load = (loads.get(id) ?? 0) + 1;
        const mean = [...loads.values()].reduce((sum, one) => sum + one, 0) / 6;
        expect(load).toBeLessThanOrEqual(2 * mean + 3);
        loads.set(id, load);
        // The oldest request elsewhere ends, so that the mean stays low.
        const [lightest = ""] = [...loads].sort(([, x], [, y]) => x - y)
          .find(([, one]) => one > 0) ?? [];
        loads.set(lightest, (loads.get(lightest) ?? 1) - 1);
      }
    });
  });

  it("copies from an engine that is leaving", () => {
    const leaving = { target: createTarget("old"), heldTokens: 10_000 };
    const choice = chooseEngine({ ...request, unavailableHolders: [leaving] }, [
      createCandidate("a"),
    ]);
    expect(choice?.fetchFrom?.id).toBe("old");
  });

  it("waits behind no long prompt when another holder is free", () => {
    const choice = chooseEngine(request, [
      createCandidate("a", { heldTokens: 10_000, backlogTokens: 30_000 }),
      createCandidate("b", { heldTokens: 10_000 }),
    ]);
    expect(choice?.target.id).toBe("b");
  });

  it("has no place without candidates", () => {
    expect(chooseEngine(request, [])).toBeUndefined();
  });
});
