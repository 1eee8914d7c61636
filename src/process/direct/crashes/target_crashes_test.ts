import { createTarget } from "../../../../test/support/direct.ts";
import type { ProbeResult } from "../../../types/direct_calls.ts";
import { createSilentLog } from "../../telemetry/log.ts";
import { createMetrics } from "../../telemetry/metrics.ts";
import { createTargetCrashes } from "./target_crashes.ts";

const target = createTarget("a");

describe("the check whether a target has crashed", () => {
  function create(
    results: readonly ProbeResult[],
    { mayReceive = true }: { readonly mayReceive?: boolean } = {},
  ) {
    const warnings: string[] = [];
    let probes = 0;
    const crashes = createTargetCrashes({
      log: {
        ...createSilentLog(),
        warn: (message) => void warnings.push(message),
      },
      metrics: createMetrics(),
      probe: () => Promise.resolve(results[probes++] ?? "unknown"),
      mayReceive: () => mayReceive,
      handleCrash: () => undefined,
    });
    return { crashes, warnings, countProbes: () => probes };
  }

  it("finds a crash when no connection is accepted", async () => {
    const { crashes, warnings } = create(["refuses"]);
    expect(await crashes.check(target)).toBe(true);
    expect(warnings).toEqual(["Target has crashed"]);
  });

  it.each(["accepts", "unknown"] as const)(
    "finds none when a connection attempt ends with %s",
    async (result) => {
      const { crashes, warnings } = create([result]);
      expect(await crashes.check(target)).toBe(false);
      expect(warnings).toEqual([]);
    },
  );

  it("finds none when the target leaves", async () => {
    const { crashes, countProbes } = create(["refuses"], { mayReceive: false });
    expect(await crashes.check(target)).toBe(false);
    expect(countProbes()).toBe(0);
  });

  it("probes once for all requests that a crash ends", async () => {
    const { crashes, countProbes, warnings } = create(["refuses"]);
    const found = await Promise.all([1, 2, 3].map(() => crashes.check(target)));
    expect(found).toEqual([true, true, true]);
    expect(await crashes.check(target)).toBe(true);
    expect(countProbes()).toBe(1);
    expect(warnings).toHaveLength(1);
  });

  it("probes again after a connection that broke alone", async () => {
    const { crashes } = create(["accepts", "refuses"]);
    expect(await crashes.check(target)).toBe(false);
    expect(await crashes.check(target)).toBe(true);
  });

  it("remembers which process has crashed", async () => {
    const { crashes } = create(["accepts", "refuses"]);
    await crashes.check(target);
    expect(crashes.hasCrashed(target)).toBe(false);
    await crashes.check(target);
    expect(crashes.hasCrashed(target)).toBe(true);
    const restarted = createTarget("a", { startedAtMs: 2 });
    expect(crashes.hasCrashed(restarted)).toBe(false);
  });

  it("tells the processes of one target apart", async () => {
    const { crashes } = create(["refuses", "accepts"]);
    const restarted = createTarget("a", { startedAtMs: 2 });
    expect(await crashes.check(target)).toBe(true);
    expect(await crashes.check(restarted)).toBe(false);
  });
});
