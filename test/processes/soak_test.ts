import { execFileSync } from "node:child_process";
import { runSoak } from "../soak/soak_run.ts";

/** Far above the time of a run, in milliseconds. */
const timeoutMs = 180_000;

describe("routers as processes", () => {
  beforeAll(() => {
    execFileSync(process.execPath, ["scripts/build_platform.js"]);
  });

  describe("with losses of routers beside leaves, in a fleet of few readers", () => {
    it("keep all rules (seed 6)", async () => {
      const { violations, ownExitLogs, inTouch } = await runSoak({
        ...{ seed: 6, routers: 11, targets: 6, durationMs: 16_000 },
        program: "target/mimosatray.cjs",
        directory: "dist/soak/runs/ci_losses_6",
      });
      expect(violations).toEqual([]);
      expect(ownExitLogs).toEqual([]);
      // Requests to routers that are not in touch are hardly judged.
      expect(inTouch).toBeGreaterThan(500);
    }, timeoutMs);
  });

  describe("with cuts of a router whose peers are killed or frozen", () => {
    it("keep all rules (seed 4)", async () => {
      const { violations, ownExitLogs, inTouch } = await runSoak({
        ...{ seed: 4, routers: 4, targets: 6, durationMs: 20_000 },
        program: "target/mimosatray.cjs",
        directory: "dist/soak/runs/ci_cuts_4",
      });
      expect(violations).toEqual([]);
      expect(ownExitLogs).toEqual([]);
      expect(inTouch).toBeGreaterThan(500);
    }, timeoutMs);
  });

  describe("with faults of routers, store, targets and operator", () => {
    // Seed 3 plays all faults, 8 and 17 planned work and targets that pause.
    it.each([3, 8, 17])("keep all rules (seed %d)", async (seed) => {
      const { violations, ownExitLogs, requests, served } = await runSoak({
        ...{ seed, routers: 4, targets: 6, durationMs: 26_000 },
        program: "target/mimosatray.cjs",
        directory: `dist/soak/runs/ci_${seed}`,
      });
      expect(violations).toEqual([]);
      expect(ownExitLogs).toEqual([]);
      // A fleet that serves next to nothing would keep the rules as well.
      expect(served).toBeGreaterThan(requests / 10);
    }, timeoutMs);
  });
});
