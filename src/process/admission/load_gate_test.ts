import * as fc from "fast-check";
import { createLoadGate, type LoadGate } from "./load_gate.ts";

/** Creates gates that all know their true mean. */
function createGates(count: number, loadMultiple: number): LoadGate[] {
  const gates: LoadGate[] = [];
  for (let index = 0; index < count; index++) {
    gates.push(createLoadGate({
      getMean: () => ({ mean: getMean(gates), targets: count, ageMs: 0 }),
      getLoadMultiple: () => loadMultiple,
      getColdMultiple: () => loadMultiple,
    }));
  }
  return gates;
}

function getMean(gates: readonly LoadGate[]): number {
  return gates.reduce((sum, gate) => sum + gate.getLoad(), 0) / gates.length;
}

describe("load gate", () => {
  const workloads = fc.array(
    fc.record({
      first: fc.nat(1_000),
      work: fc.integer({ min: 1, max: 8_000 }),
    }),
    { minLength: 1, maxLength: 200 },
  );

  describe.each([3, 6, 13, 210])("with %i targets", (count) => {
    it("never exceeds the bound, and some gate always admits", () => {
      fc.assert(
        fc.property(workloads, (workload) => {
          const gates = createGates(count, 1.25);
          for (const { first, work } of workload) {
            const order = gates.map((_, index) =>
              gates[(first + index) % count] as LoadGate
            );
            const admittingGate = order.find((gate) =>
              gate.check({
                work,
                observedLoads: [],
                silentTargets: 0,
                isHeld: true,
              }).kind ===
                "admitted"
            );
            expect(admittingGate).toBeDefined();
            const meanBefore = getMean(gates);
            admittingGate?.add(work);
            const bound = Math.max(1.25 * getMean(gates), meanBefore + work);
            expect(admittingGate?.getLoad()).toBeLessThanOrEqual(bound + 1e-6);
          }
        }),
        { seed: 5, numRuns: 40 },
      );
    });
  });

  it("has a bound that plain hashing exceeds", () => {
    const gates = createGates(6, 1.25);
    for (let index = 0; index < 60; index++) gates[0]?.add(100);
    expect(gates[0]?.getLoad()).toBeGreaterThan(1.25 * getMean(gates));
    expect(
      gates[0]?.check({
        work: 100,
        observedLoads: [],
        silentTargets: 0,
        isHeld: true,
      }).kind,
    )
      .toBe("refused");
  });

  describe("when the known mean is stale", () => {
    it("uses the loads of targets that refused the request", () => {
      const gate = createLoadGate({
        getMean: () => ({ mean: 0, targets: 13, ageMs: 900 }),
        getLoadMultiple: () => 1.25,
        getColdMultiple: () => 1.1,
      });
      gate.add(1_000);
      expect(
        gate.check({
          work: 100,
          observedLoads: [],
          silentTargets: 0,
          isHeld: true,
        }).kind,
      )
        .toBe("refused");
      expect(
        gate.check({
          work: 100,
          observedLoads: [1_100, 1_000],
          silentTargets: 0,
          isHeld: true,
        })
          .kind,
      )
        .toBe("refused");
      const observedLoads = [1_100, 1_000, 1_050];
      expect(
        gate.check({ work: 100, observedLoads, silentTargets: 0, isHeld: true })
          .kind,
      ).toBe(
        "admitted",
      );
    });
  });

  describe("when another target does not respond", () => {
    it("divides the load among the targets that respond", () => {
      const gate = createLoadGate({
        getMean: () => ({ mean: 667, targets: 3, ageMs: 0 }),
        getLoadMultiple: () => 1.25,
        getColdMultiple: () => 1.1,
      });
      gate.add(1_000);
      const query = { work: 1_000, observedLoads: [1_000], isHeld: true };
      expect(gate.check({ ...query, silentTargets: 0 }).kind)
        .toBe("refused");
      expect(gate.check({ ...query, silentTargets: 1 }).kind)
        .toBe("admitted");
    });

    it("still refuses above the multiple of their mean", () => {
      const gate = createLoadGate({
        getMean: () => ({ mean: 1_000, targets: 3, ageMs: 0 }),
        getLoadMultiple: () => 1.25,
        getColdMultiple: () => 1.1,
      });
      gate.add(2_000);
      const query = { work: 1_000, observedLoads: [1_000], isHeld: true };
      expect(gate.check({ ...query, silentTargets: 1 }).kind)
        .toBe("refused");
    });
  });

  it("sets no bound for the only target of a service", () => {
    const gate = createLoadGate({
      getMean: () => ({ mean: 0, targets: 1, ageMs: 0 }),
      getLoadMultiple: () => 1.25,
      getColdMultiple: () => 1.1,
    });
    gate.add(1_000);
    expect(
      gate.check({
        work: 100,
        observedLoads: [],
        silentTargets: 0,
        isHeld: true,
      }).kind,
    )
      .toBe("admitted");
  });

  it("counts work that an earlier process left at the target", () => {
    const gate = createLoadGate({
      getMean: () => ({ mean: 500, targets: 6, ageMs: 0 }),
      getLoadMultiple: () => 1.25,
      getColdMultiple: () => 1.1,
    });
    gate.setForeignLoad(700);
    expect(
      gate.check({
        work: 10,
        observedLoads: [],
        silentTargets: 0,
        isHeld: true,
      }).kind,
    ).toBe(
      "refused",
    );
    gate.setForeignLoad(0);
    expect(
      gate.check({
        work: 10,
        observedLoads: [],
        silentTargets: 0,
        isHeld: true,
      }).kind,
    ).toBe(
      "admitted",
    );
  });

  it("reserves room above the cold multiple for held contexts", () => {
    const gate = createLoadGate({
      getMean: () => ({ mean: 1_000, targets: 13, ageMs: 0 }),
      getLoadMultiple: () => 1.25,
      getColdMultiple: () => 1.1,
    });
    gate.add(1_120);
    const query = {
      work: 20,
      observedLoads: [],
      silentTargets: 0,
      isHeld: false,
    };
    expect(gate.check(query).kind).toBe("refused");
    expect(gate.check({ ...query, isHeld: true }).kind).toBe("admitted");
    const observedLoads = [1_110, 1_120, 1_130];
    expect(gate.check({ ...query, observedLoads }).kind).toBe("admitted");
  });
});
