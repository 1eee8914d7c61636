/**
 * Estimates how slow each target is at the moment, from what it reports and from
 * its own responses, relative to the usual time of its service.
 *
 * Load pattern: targets share machines with other work, so that some are slow all
 * the time and some for half a second. A router hears of each only now and then,
 * so a value counts less with its age, and gives way to the target's mean. One
 * that reports that it is fast while its responses are slow is corrected by a
 * factor that its responses show.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import { createUsualTimes, type TimedWork } from "./usual_times.ts";

/**
 * Age at which a value has given way to the target's mean to the share of 1/e,
 * in milliseconds; slow phases last about half a second.
 */
const recentDecayMs = 400;

/** The same for the mean and the correction of a target without responses. */
const meanDecayMs = 8_000;

/** Time over which the mean of a value is taken, in milliseconds. */
const meanWindowMs = 5_000;

/** Weight of a new response in the recent value and in the correction. */
const responseWeights = { recent: 0.5, correction: 0.2 } as const;

/** Range of a slowdown; values beyond it are clamped. */
const slowdownRange = { min: 0.25, max: 10 } as const;

/** A value with its mean, both as natural logarithms. */
interface Signal {
  recent: number;
  mean: number;
  /** Time of the last change, on the monotonic clock. */
  at: number;
}

/** What is known of one process. */
interface Speed {
  readonly startedAtMs: number;
  reported: Signal | undefined;
  /** Relative times of the responses. */
  seen: Signal | undefined;
  /** What responses show beyond the reported value, as a logarithm. */
  correction: number;
  correctedAt: number;
}

/** How slow a target is expected to be now. */
export interface SpeedEstimate {
  /** Time that work takes, relative to the usual time of the service. */
  readonly slowdown: number;
  /** Age of the last report or response, in milliseconds. */
  readonly ageMs: number;
}

/** The speeds of all targets. */
export interface TargetSpeeds {
  /** Records a slowdown that a target has reported. */
  recordReport(target: DirectTarget, slowdown: number): void;
  /**
   * Records a time that the target took; returns it relative to the usual time
   * of like work in the service, undefined while that is unknown.
   */
  recordTime(
    target: DirectTarget,
    work: TimedWork,
    tookMs: number,
  ): number | undefined;
  /** Returns the estimate; undefined without contention or data. */
  tryGetEstimate(target: DirectTarget): SpeedEstimate | undefined;
  /** Returns the expected time of work at a target, in milliseconds. */
  tryGetExpectedMs(target: DirectTarget, work: TimedWork): number | undefined;
  /** Forgets the targets that are gone. */
  retain(isKnown: (id: string) => boolean): void;
}

/** Creates the speeds of a router that has had no response. */
export function createTargetSpeeds(
  host: {
    /** Returns true under contention. */
    isActive(): boolean;
  },
): TargetSpeeds {
  const speeds = new Map<string, Speed>();
  const usualTimes = createUsualTimes();

  return {
    recordReport,
    recordTime,
    tryGetEstimate,
    tryGetExpectedMs,
    retain: (isKnown) =>
      [...speeds.keys()].filter((id) => !isKnown(id))
        .forEach((id) => speeds.delete(id)),
  };

  function recordReport(target: DirectTarget, slowdown: number): void {
    if (!host.isActive() || !(slowdown > 0)) return;
    const speed = getSpeed(target);
    speed.reported = addValue(speed.reported, {
      value: Math.log(clamp(slowdown)),
      weight: 1,
    });
  }

  function recordTime(
    target: DirectTarget,
    work: TimedWork,
    tookMs: number,
  ): number | undefined {
    if (!host.isActive() || !(tookMs > 0)) return undefined;
    const now = performance.now();
    const speed = getSpeed(target);
    const reported = getValue(speed.reported, now);
    const usualMs = usualTimes.tryGetMs(target, work);
    usualTimes.record(target, work, tookMs / Math.exp(reported));
    if (usualMs === undefined) return undefined;
    const relativeTime = tookMs / usualMs;
    const seen = Math.log(clamp(relativeTime));
    speed.seen = addValue(speed.seen, {
      value: seen,
      weight: responseWeights.recent,
    });
    const correction = getCorrection(speed, now);
    speed.correction = correction +
      responseWeights.correction * (seen - reported - correction);
    speed.correctedAt = now;
    return relativeTime;
  }

  function tryGetEstimate(target: DirectTarget): SpeedEstimate | undefined {
    if (!host.isActive()) return undefined;
    const speed = speeds.get(target.id);
    if (speed?.startedAtMs !== target.startedAtMs) return undefined;
    const { reported, seen } = speed;
    const latest = reported ?? seen;
    if (latest === undefined) return undefined;
    // Each clock reading counts, as each request asks for all targets.
    const now = performance.now();
    const value = reported === undefined
      ? getValue(seen, now)
      : getValue(reported, now) + getCorrection(speed, now);
    return { slowdown: clamp(Math.exp(value)), ageMs: now - latest.at };
  }

  function tryGetExpectedMs(
    target: DirectTarget,
    work: TimedWork,
  ): number | undefined {
    const estimate = tryGetEstimate(target);
    const usualMs = usualTimes.tryGetMs(target, work);
    if (estimate === undefined || usualMs === undefined) return undefined;
    return usualMs * estimate.slowdown;
  }

  function getSpeed({ id, startedAtMs }: DirectTarget): Speed {
    const known = speeds.get(id);
    if (known?.startedAtMs === startedAtMs) return known;
    const speed: Speed = {
      startedAtMs,
      ...{ reported: undefined, seen: undefined },
      ...{ correction: 0, correctedAt: performance.now() },
    };
    speeds.set(id, speed);
    return speed;
  }
}

/** Adds a value; `weight` is its part in the recent one, from 0 to 1. */
function addValue(
  signal: Signal | undefined,
  { value, weight }: { readonly value: number; readonly weight: number },
): Signal {
  const at = performance.now();
  // The first value of a target is as likely to be a short exception.
  if (signal === undefined) return { recent: value, mean: value / 2, at };
  const elapsedMs = at - signal.at;
  const recent = getValue(signal, at);
  const meanWeight = 1 - Math.exp(-elapsedMs / meanWindowMs);
  return {
    recent: recent + (value - recent) * weight,
    mean: signal.mean + (value - signal.mean) * meanWeight,
    at,
  };
}

/** Returns the value expected at `now`, by the age of the last one. */
function getValue(signal: Signal | undefined, now: number): number {
  if (signal === undefined) return 0;
  const ageMs = now - signal.at;
  const mean = signal.mean * Math.exp(-ageMs / meanDecayMs);
  return mean + (signal.recent - mean) * Math.exp(-ageMs / recentDecayMs);
}

function getCorrection(
  { correction, correctedAt }: Speed,
  now: number,
): number {
  return correction * Math.exp(-(now - correctedAt) / meanDecayMs);
}

function clamp(slowdown: number): number {
  const { min, max } = slowdownRange;
  return Math.max(min, Math.min(max, slowdown));
}
