import {
  createRequest,
  createRoute,
  createTarget,
  createTestQuarantine,
} from "../../../../test/support/direct.ts";
import { createTargetTable } from "../targets/target_table.ts";
import {
  type AbortedAttempts,
  createAbortedAttempts,
} from "./aborted_attempts.ts";
import { getCrashKeys } from "./crash_keys.ts";
import type { Quarantine } from "./quarantine.ts";

const keys = getCrashKeys(createRequest(createRoute()));
const target = createTarget("a");

describe("attempts that were aborted before their target crashed", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  let attempts: AbortedAttempts;
  let targets: ReturnType<typeof createTargetTable>;
  let quarantine: Quarantine;
  let losses: number;
  let probes: number;
  let released: number;
  let hasCrashed: boolean;

  beforeEach(() => {
    losses = probes = released = 0;
    hasCrashed = false;
    targets = createTargetTable();
    for (let index = 0; index < 50; index++) {
      targets.put(createTarget(`t${index}`));
    }
    targets.put(target);
    quarantine = createTestQuarantine();
    attempts = createAbortedAttempts({
      crashes: { recordLoss: () => ++losses, hasLosses: () => false },
      quarantine: { ...quarantine, releaseTrial: () => void released++ },
      targetCrashes: {
        checkAborted: () => {
          probes++;
          return Promise.resolve(hasCrashed);
        },
        hasCrashed: () => false,
      },
      targets,
    });
  });

  function add(at = target, { isTrial = false, deadlineMs = 10_000 } = {}) {
    const now = performance.now();
    attempts.add({
      ...{ target: at, keys, sentAt: now, hasResponseBegun: false },
      deadlineAt: now + deadlineMs,
      trialKeys: isTrial ? keys : [],
    });
  }

  async function wait(ms: number) {
    await jest.advanceTimersByTimeAsync(ms);
  }

  // Nothing was known of a request whose caller had always left.
  it("are losses of it", () => {
    add();
    attempts.recordCrash(target);
    attempts.recordCrash(target);
    expect(losses).toBe(1);
    expect(quarantine.takeRecords()).toMatchObject([{
      lives: [expect.any(Number)],
    }]);
  });

  // A sound call that is often left got no retry after one crash.
  it("are one loss of a request that was left there often", () => {
    for (let index = 0; index < 5; index++) add();
    attempts.recordCrash(target);
    expect(losses).toBe(1);
  });

  it("are found by a probe, also in the last second of their run", async () => {
    add();
    await wait(2_900);
    expect([probes, losses]).toEqual([1, 0]);
    hasCrashed = true;
    await wait(600);
    expect([probes, losses]).toEqual([2, 1]);
  });

  it("are no losses once they have ended, or at another process", async () => {
    add();
    attempts.recordCrash(createTarget("a", { startedAtMs: 2 }));
    await wait(4_000);
    attempts.recordCrash(target);
    add(target, { deadlineMs: 100 });
    await wait(2_000);
    attempts.recordCrash(target);
    expect(losses).toBe(0);
  });

  it("are found when the entry is replaced without a leave", () => {
    add();
    targets.put(createTarget("a", { startedAtMs: 2 }));
    attempts.checkTargets();
    expect([losses, probes]).toEqual([1, 0]);
  });

  it("are found when another process is at the address", () => {
    add();
    const { address } = target;
    targets.put(createTarget("b", { address, startedAtMs: 2 }));
    attempts.checkTargets();
    expect(losses).toBe(1);
  });

  it("are found by one probe when the entry is removed", async () => {
    add();
    hasCrashed = true;
    targets.remove("a", 0);
    attempts.checkTargets();
    attempts.checkTargets();
    await wait(0);
    expect(losses).toBe(1);
  });

  it("are no losses at a target that leaves", async () => {
    add();
    targets.put(createTarget("a", { state: "draining" }));
    attempts.checkTargets();
    hasCrashed = true;
    targets.remove("a", 0);
    attempts.checkTargets();
    await wait(10_000);
    expect([losses, probes]).toEqual([0, 0]);
  });

  it("are not probed at a target that said in a response that it leaves", async () => {
    add();
    targets.recordLeaving(target);
    hasCrashed = true;
    await wait(10_000);
    expect([losses, probes]).toEqual([0, 0]);
  });

  it("cost two probes a second at most, and none later", async () => {
    for (let index = 0; index < 50; index++) add(createTarget(`t${index}`));
    await wait(10_000);
    expect(probes).toBeLessThanOrEqual(20);
    const before = probes;
    await wait(60_000);
    expect(probes).toBe(before);
  });

  it("are losses of the first crashes of a herd only", () => {
    for (let index = 0; index < 50; index++) add(createTarget(`t${index}`));
    for (let index = 0; index < 50; index++) {
      attempts.recordCrash(createTarget(`t${index}`));
    }
    expect(losses).toBe(3);
  });

  // A trial that its caller left was repeated after a second.
  it("end a trial that did not crash its target, and no other", async () => {
    add(target, { isTrial: true });
    add(createTarget("t1"), { isTrial: true });
    attempts.recordCrash(target);
    await wait(6_000);
    expect(released).toBe(0);
    await wait(10_000);
    expect(released).toBe(1);
  });
});
