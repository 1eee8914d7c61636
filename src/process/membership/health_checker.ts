/**
 * Knows whether the target lives. A lost connection alone is no crash: the
 * target is asked, and only its silence, or another run of its process, is.
 */

/**
 * - `healthy`: it answered.
 * - `gone`: it refused or broke the connection.
 * - `silent`: it did not answer in time, as a frozen process does.
 */
export type HealthState = "healthy" | "gone" | "silent";

/** State of the target at one check. */
export interface HealthReport {
  readonly state: HealthState;
  /** Names the run of the target's process, when it tells. */
  readonly instance: string | undefined;
}

/** What the watch needs from outside. */
export interface HealthCheckerHost {
  checkHealth(): Promise<HealthReport>;
  /** Told once for each crash. */
  onCrash(): void;
}

/** The watch over one target. */
export interface HealthChecker {
  /** Checks at intervals until it is stopped. */
  start(): Promise<void>;
  stop(): void;
  isUp(): boolean;
  /** Finds out after a lost connection; true when the target has crashed. */
  checkCrash(): Promise<boolean>;
}

/** Time between checks while the target is up and while it is down, in ms. */
const upIntervalMs = 1_000;
const downIntervalMs = 200;

/** Failed checks in a row after which the target gets no new work. */
const unhealthyThreshold = 3;

/** Creates a watch that has not checked yet. */
export function createHealthChecker(host: HealthCheckerHost): HealthChecker {
  let isUp = false;
  let instance: string | undefined;
  let failures = 0;
  /** Grows with each crash, so that all who lost a stream learn of it. */
  let crashes = 0;
  let pendingCheck: Promise<HealthReport> | undefined;
  let timer: ReturnType<typeof setTimeout> | undefined;
  let stopped = false;

  return { start, stop, isUp: () => isUp, checkCrash };

  async function start(): Promise<void> {
    await tick();
  }

  function stop(): void {
    stopped = true;
    clearTimeout(timer);
  }

  async function tick(): Promise<void> {
    const report = await check();
    if (report.state !== "healthy" && isUp) recordFailure(report.state);
    if (stopped) return;
    const isStable = isUp && failures === 0;
    timer = setTimeout(
      () => void tick(),
      isStable ? upIntervalMs : downIntervalMs,
    );
    timer.unref();
  }

  function recordFailure(state: HealthState): void {
    failures++;
    if (failures < unhealthyThreshold) return;
    // A frozen target may go on; nothing says that a request has hurt it.
    if (state === "gone") recordCrash();
    else isUp = false;
  }

  async function checkCrash(): Promise<boolean> {
    const crashesBefore = crashes;
    // A check that is under way may have been answered before the loss.
    if (pendingCheck !== undefined) await pendingCheck;
    const report = await check();
    if (report.state === "gone" && isUp) recordCrash();
    return crashes > crashesBefore || !isUp;
  }

  /** Callers at the same time share one check. */
  async function check(): Promise<HealthReport> {
    const shared = pendingCheck ?? startCheck();
    return await shared;
  }

  async function startCheck(): Promise<HealthReport> {
    pendingCheck = host.checkHealth();
    try {
      const report = await pendingCheck;
      if (report.state === "healthy") recordHealthy(report);
      return report;
    } finally {
      pendingCheck = undefined;
    }
  }

  function recordHealthy(report: HealthReport): void {
    const hasRestarted = instance !== undefined &&
      report.instance !== undefined &&
      instance !== report.instance;
    if (hasRestarted && isUp) recordCrash();
    instance = report.instance ?? instance;
    failures = 0;
    isUp = true;
  }

  function recordCrash(): void {
    isUp = false;
    failures = 0;
    crashes++;
    host.onCrash();
  }
}
