import type { StoredEvidence } from "./crash_evidence.ts";
import { createEvidenceChoice, isWorthSaving } from "./evidence_choice.ts";

describe("the choice of crash records to save", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  function create(key: string, lives: number): StoredEvidence {
    return {
      ...{ key, generation: 0, trials: 0, trialAt: 0, triedAt: 0 },
      lives: Array.from({ length: lives }, (_, index) => index),
      ...{ expiresAt: Infinity, crashedAt: performance.now() },
    };
  }

  // What two crashes had shown was lost with all routers.
  it("takes suspects of its router, those at most crashes first", () => {
    const choice = createEvidenceChoice();
    const records = [create("a", 1), create("b", 2), create("c", 3)];
    choice.addSuspect("a");
    expect(choice.choose(records).map(({ key }) => key)).toEqual(["c", "a"]);
    choice.addSuspect("b");
    expect(choice.choose(records).map(({ key }) => key)).toEqual(
      ["c", "b", "a"],
    );
  });

  it("takes suspects for a minute after their last crash", () => {
    const choice = createEvidenceChoice();
    const records = [create("b", 2), create("c", 3)];
    choice.addSuspect("b");
    jest.advanceTimersByTime(59_000);
    expect(choice.choose(records)).toHaveLength(2);
    jest.advanceTimersByTime(1_000);
    expect(choice.choose(records).map(({ key }) => key)).toEqual(["c"]);
    expect(records.map(isWorthSaving)).toEqual([false, true]);
  });

  it("takes conclusive records only while a herd brings others", () => {
    const choice = createEvidenceChoice();
    const records = Array.from(
      { length: 33 },
      (_, index) => create(`${index}`, 2),
    );
    records.forEach(({ key }) => choice.addSuspect(key));
    expect(choice.choose([...records, create("c", 3)])).toHaveLength(1);
    expect(choice.choose(records.slice(1))).toHaveLength(32);
  });
});
