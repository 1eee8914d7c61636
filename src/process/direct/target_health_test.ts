import { createTarget } from "../../../test/support/direct.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createTargetHealth, type TargetOutcome } from "./target_health.ts";

const targets = ["a", "b", "c"].map((id) => createTarget(id));
const [first, second, third] = targets as [
  ReturnType<typeof createTarget>,
  ReturnType<typeof createTarget>,
  ReturnType<typeof createTarget>,
];

describe("health by outcomes", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  function getUsable(health: ReturnType<typeof createTargetHealth>) {
    return health.getUsable(targets).map(({ id }) => id);
  }

  it("sets a target aside that fails a part of its requests", () => {
    const health = createTargetHealth({ log: createSilentLog() });
    for (let round = 0; round < 6; round++) {
      health.recordOutcome(first, round % 2 === 0 ? "failed" : "served");
      health.recordOutcome(second, "served");
      health.recordOutcome(third, "served");
    }
    expect(getUsable(health)).toEqual(["b", "c"]);
  });

  it("blames no target while all fail alike", () => {
    const health = createTargetHealth({ log: createSilentLog() });
    for (let round = 0; round < 12; round++) {
      const outcome: TargetOutcome = round % 2 === 0 ? "failed" : "served";
      targets.forEach((target) => health.recordOutcome(target, outcome));
    }
    expect(getUsable(health)).toEqual(["a", "b", "c"]);
  });

  for (const outcome of ["silent", "unreachable"] as const) {
    it(`sets a target aside that is ${outcome} once`, () => {
      const health = createTargetHealth({ log: createSilentLog() });
      health.recordOutcome(first, outcome);
      expect(getUsable(health)).toEqual(["b", "c"]);
    });
  }

  it("uses all targets when none is sound", () => {
    const health = createTargetHealth({ log: createSilentLog() });
    targets.forEach((target) => health.recordOutcome(target, "unreachable"));
    expect(getUsable(health)).toEqual(["a", "b", "c"]);
  });

  describe("the return of a target", () => {
    function createReturning() {
      const health = createTargetHealth({ log: createSilentLog() });
      health.recordOutcome(first, "unreachable");
      jest.advanceTimersByTime(401);
      return health;
    }

    it("begins with a single request", () => {
      const health = createReturning();
      expect(getUsable(health)).toEqual(["a", "b", "c"]);
      health.recordSent(first);
      expect(getUsable(health)).toEqual(["b", "c"]);
    });

    it("is whole after one sound answer", () => {
      const health = createReturning();
      health.recordSent(first);
      health.recordOutcome(first, "served");
      health.recordSent(first);
      expect(getUsable(health)).toEqual(["a", "b", "c"]);
    });

    it("takes twice as long after a failed trial", () => {
      const health = createReturning();
      health.recordSent(first);
      health.recordOutcome(first, "unreachable");
      jest.advanceTimersByTime(799);
      expect(getUsable(health)).toEqual(["b", "c"]);
      jest.advanceTimersByTime(2);
      expect(getUsable(health)).toEqual(["a", "b", "c"]);
    });
  });
});
