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
export interface TargetWatchHost {
  checkHealth(): Promise<HealthReport>;
  /** Told once for each crash. */
  onCrash(): void;
}

/** The watch over one target. */
export interface TargetWatch {
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
const failuresToDown = 3;

/** Creates a watch that has not checked yet. */
export function createTargetWatch(host: TargetWatchHost): TargetWatch {
  let up = false;
  let instance: string | undefined;
  let failures = 0;
  /** Grows with each crash, so that all who lost a stream learn of it. */
  let crashes = 0;
  let checking: Promise<HealthReport> | undefined;
  let timer: ReturnType<typeof setTimeout> | undefined;
  let stopped = false;

  return { start, stop, isUp: () => up, checkCrash };

  async function start(): Promise<void> {
    await tick();
  }

  function stop(): void {
    stopped = true;
    clearTimeout(timer);
  }

  async function tick(): Promise<void> {
    const report = await check();
    if (report.state !== "healthy" && up) noteFailure(report.state);
    if (stopped) return;
    const steady = up && failures === 0;
    timer = setTimeout(
      () => void tick(),
      steady ? upIntervalMs : downIntervalMs,
    );
    timer.unref();
  }

  function noteFailure(state: HealthState): void {
    failures++;
    if (failures < failuresToDown) return;
    // A frozen target may go on; nothing says that a request has hurt it.
    if (state === "gone") noteCrash();
    else up = false;
  }

  async function checkCrash(): Promise<boolean> {
    const before = crashes;
    // A check that is under way may have been answered before the loss.
    if (checking !== undefined) await checking;
    const report = await check();
    if (report.state === "gone" && up) noteCrash();
    return crashes > before || !up;
  }

  /** Callers at the same time share one check. */
  async function check(): Promise<HealthReport> {
    const shared = checking ?? startCheck();
    return await shared;
  }

  async function startCheck(): Promise<HealthReport> {
    checking = host.checkHealth();
    try {
      const report = await checking;
      if (report.state === "healthy") noteHealthy(report);
      return report;
    } finally {
      checking = undefined;
    }
  }

  function noteHealthy(report: HealthReport): void {
    const replaced = instance !== undefined && report.instance !== undefined &&
      instance !== report.instance;
    if (replaced && up) noteCrash();
    instance = report.instance ?? instance;
    failures = 0;
    up = true;
  }

  function noteCrash(): void {
    up = false;
    failures = 0;
    crashes++;
    host.onCrash();
  }
}
