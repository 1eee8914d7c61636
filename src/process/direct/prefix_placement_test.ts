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

describe("prefix placement", () => {
  it("prefers an engine with the parts cached to a less loaded one", () => {
    const choice = chooseEngine(request, [
      createCandidate("a", { load: 4 }),
      createCandidate("b", { load: 12, heldTokens: 10_000 }),
    ]);
    expect(choice?.target.id).toBe("b");
    expect(choice?.fetchFrom).toBeUndefined();
  });

  it("chooses the first rank when no engine has the parts cached", () => {
    const choice = chooseEngine(request, [
      createCandidate("a", { load: 10 }),
      createCandidate("b", { load: 8 }),
    ]);
    expect(choice?.target.id).toBe("a");
  });

  describe("with engines that limit their requests", () => {
    const limited = createCandidate("a", { load: 2, isLimited: true });
    const free = createCandidate("b", { load: 8 });

    it("gives a slot to a request whose parts are there", () => {
      const holder = { ...limited, heldTokens: 10_000 };
      expect(chooseEngine(request, [holder, free])?.target.id).toBe("a");
    });

    it("uses no slot for a request that needs a copy", () => {
      const holder = { ...free, heldTokens: 10_000 };
      expect(chooseEngine(request, [limited, holder])?.target.id).toBe("b");
      const other = createCandidate("c", { load: 9, heldTokens: 10_000 });
      expect(chooseEngine(request, [limited, free, other])?.target.id)
        .not.toBe("a");
    });

    it("uses a slot when the others are at the load bound", () => {
      const full = createCandidate("b", { load: 40, heldTokens: 10_000 });
      expect(chooseEngine(request, [limited, full])?.target.id).toBe("a");
    });
  });

  describe("a part that attracts much of the traffic", () => {
    it("is copied from its holder when that is at the load bound", () => {
      const choice = chooseEngine(request, [
        createCandidate("a", { load: 20, heldTokens: 10_000 }),
        ...["b", "c", "d", "e", "f"].map((id) => createCandidate(id)),
      ]);
      expect(choice?.target.id).not.toBe("a");
      expect(choice?.fetchFrom?.id).toBe("a");
    });

    it("never exceeds the load multiple while others are below it", () => {
      const loads = new Map(
        ["a", "b", "c", "d", "e", "f"].map((id) => [id, 6]),
      );
      const holders = new Set(["a"]);
      for (let arrival = 0; arrival < 200; arrival++) {
        const choice = chooseEngine(
          request,
          [...loads].map(([id, load]) =>
            createCandidate(id, {
              load,
              heldTokens: holders.has(id) ? 10_000 : 0,
            })
          ),
        );
        const id = choice?.target.id ?? "";
        holders.add(id);
        const load = (loads.get(id) ?? 0) + 1;
        const mean = [...loads.values()].reduce((sum, one) => sum + one, 0) / 6;
        expect(load).toBeLessThanOrEqual(2 * mean + 3);
        loads.set(id, load);
        // A request ends on the least loaded engine, to keep the mean low.
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

  it("avoids a prefill backlog when another holder is free", () => {
    const choice = chooseEngine(request, [
      createCandidate("a", { heldTokens: 10_000, backlogTokens: 30_000 }),
      createCandidate("b", { heldTokens: 10_000 }),
    ]);
    expect(choice?.target.id).toBe("b");
  });

  it("chooses no engine without candidates", () => {
    expect(chooseEngine(request, [])).toBeUndefined();
  });
});
