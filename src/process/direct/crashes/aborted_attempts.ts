/**
 * Finds crashes of targets that may still run what this router has aborted. No
 * connection tells of them, as an aborted attempt has none any more.
 *
 * Load pattern: callers leave all the time, and nearly all of what they leave is
 * sound. An abort costs one entry of a bounded table, and the probes of all targets
 * together are bounded, those of requests that have lost targets first. A target
 * whose entry is removed while it may run such an attempt is probed too.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { TargetTable } from "../targets/target_table.ts";
import { createCrashHerd } from "./crash_herd.ts";
import { type CrashKey, getKeyFingerprints } from "./crash_keys.ts";
import type { CrashSuspects } from "./crash_suspects.ts";
import { hashLife, type Quarantine } from "./quarantine.ts";
import { getTargetLife, type TargetCrashes } from "./target_crashes.ts";

/** Maximum number of attempts; the oldest is dropped first. */
const maxAttempts = 1_024;

/**
 * Time after an abort for which a target may still run the attempt, in
 * milliseconds, at most. Most targets end it with the connection.
 */
const maxRunMs = 3_000;

/** Time after its deadline at which a target has ended an attempt, in ms. */
const deadlineGraceMs = 500;

/**
 * Time from a crash until the removal of the entry is known, in milliseconds:
 * three heartbeats, and some time to read it.
 */
const entryLapseMs = 4_000;

/** An attempt that was sent and aborted. */
export interface AbortedAttempt {
  readonly target: DirectTarget;
  /** What a crash can be put down to. */
  readonly keys: readonly CrashKey[];
  /** When it was sent, on the monotonic clock. */
  readonly sentAt: number;
  readonly hasResponseBegun: boolean;
  /** Deadline of the request, on the monotonic clock. */
  readonly deadlineAt: number;
  /** The keys of which it was a trial; empty unless it was one. */
  readonly trialKeys: readonly CrashKey[];
}

/** Interval at which one target may be probed, in milliseconds. */
const probeIntervalMs = 500;

/** Time from an abort to the first probe of its target, in milliseconds. */
const firstProbeDelayMs = 1_000;

/** Time for which a crash may be unknown beside probes, in milliseconds. */
const probeLagMs = 1_000;

/** What the table needs from the process. */
export interface AbortedAttemptsHost {
  readonly crashes: Pick<CrashSuspects, "hasLosses" | "recordLoss">;
  readonly quarantine: Pick<Quarantine, "recordCrash" | "releaseTrial">;
  readonly targetCrashes: Pick<TargetCrashes, "checkAborted" | "hasCrashed">;
  readonly targets: Pick<
    TargetTable,
    "getAll" | "isEvacuated" | "isLeaving" | "mayReceive" | "tryGet"
  >;
}

/** The attempts that this router has aborted lately. */
export interface AbortedAttempts {
  add(attempt: AbortedAttempt): void;
  /** Records that a target has crashed. */
  recordCrash(target: DirectTarget): void;
  /** Called when targets have changed: looks for those that ended without notice. */
  checkTargets(): void;
}

interface KeptAttempt extends AbortedAttempt {
  readonly life: string;
  readonly mayRunUntil: number;
  nextProbeAt: number;
  hasCrashed: boolean;
}

/** Creates an empty table. */
export function createAbortedAttempts(
  host: AbortedAttemptsHost,
): AbortedAttempts {
  const { targets, targetCrashes, quarantine } = host;
  const herd = createCrashHerd();
  /** In the order of their aborts. */
  const attempts = new Set<KeptAttempt>();
  let timer: NodeJS.Timeout | undefined;

  return { add, recordCrash, checkTargets };

  function add(attempt: AbortedAttempt): void {
    const now = performance.now();
    const endsAt = Math.max(now, attempt.deadlineAt) + deadlineGraceMs;
    const mayRunUntil = Math.min(endsAt, now + maxRunMs);
    const kept: KeptAttempt = {
      ...{ ...attempt, life: getTargetLife(attempt.target), mayRunUntil },
      nextProbeAt: Math.min(mayRunUntil, now + firstProbeDelayMs),
      hasCrashed: false,
    };
    if (attempt.trialKeys.length > 0) releaseTrialLater(kept);
    for (const oldest of attempts) {
      if (attempts.size < maxAttempts && isKept(oldest)) break;
      attempts.delete(oldest);
    }
    attempts.add(kept);
    timer ??= setInterval(probeNext, probeIntervalMs).unref();
    if (targetCrashes.hasCrashed(kept.target)) recordCrash(kept.target);
  }

  function isKept({ mayRunUntil }: KeptAttempt): boolean {
    return performance.now() <= mayRunUntil + entryLapseMs;
  }

  /** Probes one of the targets that are due. */
  function probeNext(): void {
    for (const attempt of attempts) {
      if (!isKept(attempt)) attempts.delete(attempt);
    }
    if (attempts.size === 0) {
      clearInterval(timer);
      timer = undefined;
      return;
    }
    const now = performance.now();
    const due = [...attempts].filter(({ nextProbeAt }) => nextProbeAt <= now);
    const next = due.find(hasLosses) ?? due[0];
    if (next !== undefined) void probe(next);
  }

  function hasLosses({ keys }: KeptAttempt): boolean {
    return host.crashes.hasLosses(getKeyFingerprints(keys));
  }

  async function probe({ life, target }: KeptAttempt): Promise<void> {
    if (leaves(target)) return void takeAll(life);
    const probedAt = performance.now();
    if (await targetCrashes.checkAborted(target)) return recordCrash(target);
    for (const attempt of attempts) {
      if (attempt.life !== life) continue;
      if (attempt.mayRunUntil <= probedAt) attempts.delete(attempt);
      else if (attempt.nextProbeAt <= probedAt) {
        attempt.nextProbeAt = attempt.mayRunUntil;
      }
    }
  }

  /** Lets a trial be repeated when its target has not crashed. */
  function releaseTrialLater(kept: KeptAttempt): void {
    const delayMs = kept.mayRunUntil + entryLapseMs - performance.now();
    setTimeout(() => {
      if (!kept.hasCrashed) quarantine.releaseTrial(kept.trialKeys);
    }, delayMs).unref();
  }

  function recordCrash(target: DirectTarget): void {
    if (attempts.size === 0) return;
    const life = getTargetLife(target);
    // Without its entry, the target may have crashed some time ago.
    const isLate = !targets.mayReceive(target);
    const lagMs = isLate ? entryLapseMs : probeLagMs;
    const crashedAt = performance.now() - lagMs;
    herd.recordCrash(hashLife(target));
    /** One crash is one loss of a request, however often it was left there. */
    const counted = new Set<string>();
    for (const attempt of takeAll(life)) {
      if (attempt.mayRunUntil < crashedAt) continue;
      attempt.hasCrashed = true;
      const [key = ""] = getKeyFingerprints(attempt.keys);
      if (!herd.isHerd() && !counted.has(key)) recordLoss(attempt);
      counted.add(key);
    }
  }

  function recordLoss(attempt: KeptAttempt): void {
    const { keys, target, hasResponseBegun, sentAt } = attempt;
    const losses = host.crashes.recordLoss(getKeyFingerprints(keys));
    quarantine.recordCrash(keys, target, { hasResponseBegun, sentAt, losses });
  }

  function checkTargets(): void {
    if (attempts.size === 0) return;
    const byAddress = new Map<string, DirectTarget>();
    for (const target of targets.getAll()) {
      const other = byAddress.get(target.address);
      if ((other?.startedAtMs ?? 0) > target.startedAtMs) continue;
      byAddress.set(target.address, target);
    }
    const byLife = new Map(
      [...attempts].map(({ life, target }) => [life, target] as const),
    );
    for (const [life, target] of byLife) {
      checkTarget(life, target, byAddress.get(target.address));
    }
  }

  function checkTarget(
    life: string,
    target: DirectTarget,
    atAddress: DirectTarget | undefined,
  ): void {
    if (leaves(target)) return void takeAll(life);
    const registered = targets.tryGet(target.id);
    if (isLater(registered, target) || isLater(atAddress, target)) {
      return recordCrash(target);
    }
    if (targets.mayReceive(target) || targets.isEvacuated(target)) return;
    void targetCrashes.checkAborted(target).then((hasCrashed) => {
      if (hasCrashed) recordCrash(target);
      else takeAll(life);
    });
  }

  /** Returns true for a target that says that it leaves, and ends as planned. */
  function leaves(target: DirectTarget): boolean {
    const registered = targets.tryGet(target.id);
    return targets.isLeaving(target) ||
      (registered?.startedAtMs === target.startedAtMs &&
        registered.state === "draining");
  }

  /** Removes and returns the attempts at a process. */
  function takeAll(life: string): readonly KeptAttempt[] {
    const taken = [...attempts].filter((attempt) => attempt.life === life);
    taken.forEach((attempt) => attempts.delete(attempt));
    return taken;
  }
}

function isLater(other: DirectTarget | undefined, target: DirectTarget) {
  return other !== undefined && other.startedAtMs > target.startedAtMs;
}
