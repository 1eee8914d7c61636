/**
 * Checks the health of a target and detects its crashes. A lost connection
 * alone is no crash: the health check decides. The target has crashed when it
 * refuses the check's connection or when another run of its process responds.
 */

/**
 * Result of a health check:
 *
 * - `healthy`: the target responded.
 * - `gone`: it refused or closed the connection.
 * - `silent`: it did not respond in time, as a frozen process does, or it
 *   responded with an error.
 */
export type HealthState = "healthy" | "gone" | "silent";

/** State of the target found by one health check. */
export interface HealthReport {
  readonly state: HealthState;
  /** Id of the run of the target's process, when the target reports one. */
  readonly instance: string | undefined;
}

/** What the health checker needs from its environment. */
export interface HealthCheckerHost {
  checkHealth(): Promise<HealthReport>;
  /** Called once for each crash. */
  onCrash(): void;
}

/** The health checker of one target. */
export interface HealthChecker {
  /** Checks once, then at intervals until `stop` is called. */
  start(): Promise<void>;
  /** Stops the checks; lost connections are no crash afterwards. */
  stop(): void;
  isUp(): boolean;
  /**
   * Checks the target after a lost connection. Returns true when it has crashed
   * since the call, or is down.
   */
  checkCrash(): Promise<boolean>;
}

/** Interval between checks while the target is up and while it is down. */
const upIntervalMs = 1_000;
const downIntervalMs = 200;

/** Failed checks in a row after which the target is down: it gets no work. */
const unhealthyThreshold = 3;

/** Creates a health checker; the target is not up before the first check. */
export function createHealthChecker(host: HealthCheckerHost): HealthChecker {
  let isUp = false;
  let instance: string | undefined;
  let failures = 0;
  /** Number of crashes; `checkCrash` detects by it a crash during its call. */
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
    // A frozen target may recover; there is no sign that a request froze it.
    if (state === "gone") recordCrash();
    else isUp = false;
  }

  async function checkCrash(): Promise<boolean> {
    if (stopped) return false;
    const crashesBefore = crashes;
    // The target may have responded to a pending check before the loss.
    if (pendingCheck !== undefined) await pendingCheck;
    const report = await check();
    if (report.state === "gone" && isUp) recordCrash();
    return crashes > crashesBefore || !isUp;
  }

  /** Joins a pending check, or starts one. */
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
    if (stopped) return;
    isUp = false;
    failures = 0;
    crashes++;
    host.onCrash();
  }
}
