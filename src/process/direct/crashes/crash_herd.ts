/** Tells crashes with a common cause, such as a loss of power, from single ones. */

/** Targets that crash within `herdMs`, in milliseconds, from which they are a herd. */
const herdCrashes = 4;
const herdMs = 1_000;

/** The latest crashes that one router has seen. */
export interface CrashHerd {
  /** Records the crash of a process, by its hash; a known one changes nothing. */
  recordCrash(life: number): void;
  /** Returns true while the latest crashes are a herd. */
  isHerd(): boolean;
}

/** Creates the record of a router that has seen no crash. */
export function createCrashHerd(): CrashHerd {
  /** When processes were seen to crash, the latest ones, by their hash. */
  const crashedAt = new Map<number, number>();

  return { recordCrash, isHerd };

  function recordCrash(life: number): void {
    if (crashedAt.has(life)) return;
    crashedAt.set(life, performance.now());
    const [oldest] = crashedAt.keys();
    if (crashedAt.size > herdCrashes && oldest !== undefined) {
      crashedAt.delete(oldest);
    }
  }

  function isHerd(): boolean {
    const [oldestAt = 0] = crashedAt.values();
    return crashedAt.size === herdCrashes &&
      performance.now() - oldestAt < herdMs;
  }
}
