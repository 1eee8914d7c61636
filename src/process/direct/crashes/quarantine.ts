/**
 * Keeps what crashes the targets that run it from being sent.
 *
 * Load pattern: a caller sends such a request again and again, at any router, and
 * each time takes a target from the callers of its service for seconds. After
 * three crashes that follow one another with no response between, no router sends
 * it any more. Some sound requests are in flight at three crashes that they did
 * not cause, so a single trial is let through after a time, by one router of the
 * fleet. Prompt parts that came together to all crashes are told apart at once by a
 * request that has only some of them. A response ends the quarantine; a crash
 * multiplies the time to the next trial.
 */

import { createHash } from "node:crypto";
import type { DirectTarget } from "../../../types/direct_target.ts";
import type { Log } from "../../telemetry/log.ts";
import type { Metrics } from "../../telemetry/metrics.ts";
import {
  type CrashEvidence,
  createCrashEvidenceTable,
  isConclusive,
  toUpdate,
} from "./crash_evidence.ts";
import {
  countCauses,
  getCause,
  isCauseAmbiguous,
  type QuarantinedCause,
} from "./crash_causes.ts";
import { createCrashHerd } from "./crash_herd.ts";
import { type CrashKey, getRequestKeyId, joinVariant } from "./crash_keys.ts";
import { createEvidenceChoice, isWorthSaving } from "./evidence_choice.ts";
import { createEvidenceReports } from "./evidence_reports.ts";
import { getTargetLife } from "./target_crashes.ts";

/**
 * Time from the last crash to the first trial, in milliseconds; crashed targets are
 * back by then, so that the trial does not take the last one.
 */
const firstTrialDelayMs = 5_000;

/** Factor by which each trial that crashes a target delays the next. */
const trialDelayFactor = 4;

/** Maximum time between trials, in milliseconds. */
const maxTrialDelayMs = 10 * 60_000;

/** Delay until a trial that had no result is repeated, in milliseconds. */
const unusedTrialDelayMs = 1_000;

/**
 * Further delay of a trial of several keys at once, in milliseconds. Requests
 * that have one of them show sooner which is at fault.
 */
const jointTrialDelayMs = 3_000;

/**
 * Delay from a trial to one that tells apart the parts that were at the same
 * crashes, in milliseconds.
 */
const separatingTrialDelayMs = 1_000;

/** Minimum time after which a caller may return, in milliseconds. */
const minRetryAfterMs = 1_000;

/** Maximum number of labels of quarantined keys that are remembered. */
const maxLabels = 1_024;

/** What the quarantine needs from the process. */
export interface QuarantineHost {
  readonly log: Pick<Log, "info" | "warn">;
  readonly metrics: Pick<Metrics, "count">;
  /**
   * Returns the delay after which this router may start a trial that is due, so
   * that routers do not start it together; undefined when it is out of contact
   * with its peers and may start none.
   */
  tryGetTrialDelayMs(key: string): number | undefined;
  /** Reports the changed records to the peers now. */
  announce(): void;
}

/** Why a request is not sent. */
export interface QuarantineRefusal {
  /** What is quarantined. */
  readonly key: CrashKey;
  /** Number of crashed processes. */
  readonly crashes: number;
  /** Time after which the caller may return, in milliseconds. */
  readonly retryAfterMs: number;
}

/** What is quarantined, for operators. */
export interface QuarantinedKey {
  readonly key: string;
  /** What is quarantined; undefined when only peers have seen it. */
  readonly label: string | undefined;
  readonly crashes: number;
  readonly trials: number;
  readonly trialInMs: number;
}

/** The quarantine of one router. */
export interface Quarantine {
  /** Returns false while nothing has crashed, so that no key is needed. */
  hasEvidence(): boolean;
  /** Returns a refusal when one of the keys is quarantined. */
  tryGetRefusal(keys: readonly CrashKey[]): QuarantineRefusal | undefined;
  /** As `tryGetRefusal`; remembers no labels for the dump. */
  peekRefusal(keys: readonly CrashKey[]): QuarantineRefusal | undefined;
  /** Returns true when this router may start a trial of the keys. */
  isTrialDue(keys: readonly CrashKey[]): boolean;
  /** Starts a trial of the keys; false when none is due. */
  tryStartTrial(keys: readonly CrashKey[]): boolean;
  /** Lets a trial that had no result be repeated soon. */
  releaseTrial(keys: readonly CrashKey[]): void;
  /**
   * Records that the keys were in flight at a target that has crashed. When one
   * of them is quarantined, it is taken for the cause. What the target had begun
   * to respond to is not reported to peers before a second target is lost with it,
   * at any router, and not at all in a herd of crashes: a crash names all that was
   * in flight, nearly all of it sound.
   */
  recordCrash(
    keys: readonly CrashKey[],
    target: DirectTarget,
    options: {
      readonly hasResponseBegun: boolean;
      /** When the keys were sent, on the monotonic clock. */
      readonly sentAt: number;
      /** Number of targets that routers have lost with the request, this one too. */
      readonly losses: number;
    },
  ): void;
  /** Records that a target has responded; ends the quarantine of the keys. */
  recordResponse(keys: readonly CrashKey[]): void;
  /**
   * Records that a target has responded to a request at another router. Withdraws
   * what no peer knows; the others withdraw the rest.
   */
  recordPeerResponse(fingerprint: string): void;
  /** Applies the record of a peer. */
  merge(record: CrashEvidence): void;
  /** Returns true when changed records wait to be reported. */
  hasChanges(): boolean;
  /** Returns the records that the next digest reports. */
  takeRecords(): readonly CrashEvidence[];
  /**
   * Returns the records that this router may save: of what is quarantined, and of
   * what it has itself lost two targets with lately.
   */
  getRecords(): readonly CrashEvidence[];
  /** Returns true when the record of a key is still to be saved, if it is. */
  mayStaySaved(key: string): boolean;
  /** Returns what is quarantined now. */
  getAll(): readonly QuarantinedKey[];
}

/** Creates the quarantine of a router that knows of no crash. */
export function createQuarantine(host: QuarantineHost): Quarantine {
  const table = createCrashEvidenceTable();
  const reports = createEvidenceReports(table);
  /** What operators know quarantined keys as. */
  const labels = new Map<string, string>();
  const herd = createCrashHerd();
  const choice = createEvidenceChoice();

  return {
    hasEvidence: () => !table.isEmpty(),
    tryGetRefusal,
    peekRefusal,
    isTrialDue,
    tryStartTrial,
    releaseTrial,
    recordCrash,
    recordResponse,
    recordPeerResponse: (fingerprint) => {
      const id = getRequestKeyId(fingerprint);
      if (!reports.isShared(id)) table.clear(id);
    },
    merge,
    hasChanges: reports.hasChanges,
    takeRecords: reports.take,
    getRecords: () => choice.choose(table.getAll()).map(toUpdate),
    mayStaySaved: (key) => {
      const record = table.tryGet(key);
      return record !== undefined && isWorthSaving(record);
    },
    getAll,
  };

  function tryGetRefusal(
    keys: readonly CrashKey[],
  ): QuarantineRefusal | undefined {
    getQuarantinedKeys(keys).forEach(({ key }) => remember(key));
    return peekRefusal(keys);
  }

  function peekRefusal(
    keys: readonly CrashKey[],
  ): QuarantineRefusal | undefined {
    const quarantined = getQuarantinedKeys(keys);
    const [first] = quarantined;
    if (first === undefined) return undefined;
    const trialAt = Math.max(
      ...quarantined.map(({ record }) => record.trialAt),
    );
    return {
      key: first.key,
      crashes: first.record.lives.length,
      retryAfterMs: Math.max(minRetryAfterMs, trialAt - performance.now()),
    };
  }

  function isTrialDue(keys: readonly CrashKey[]): boolean {
    const quarantined = getQuarantinedKeys(keys);
    const now = performance.now();
    const isAmbiguous = isCauseAmbiguous(quarantined, {
      keys,
      records: table.getAll(),
    });
    const jointDelayMs = countCauses(quarantined) > 1 ? jointTrialDelayMs : 0;
    return quarantined.every(({ key, record }) => {
      const { trialAt, crashedAt, triedAt } = record;
      const dueAt = isAmbiguous
        ? Math.max(crashedAt, triedAt + separatingTrialDelayMs)
        : trialAt + jointDelayMs;
      if (now < dueAt) return false;
      const delayMs = host.tryGetTrialDelayMs(getCause(key));
      return delayMs !== undefined && now >= dueAt + delayMs;
    });
  }

  function tryStartTrial(keys: readonly CrashKey[]): boolean {
    if (!isTrialDue(keys)) return false;
    for (const { key, record } of getQuarantinedKeys(keys)) {
      const trials = record.trials + 1;
      const trialAt = performance.now() + getTrialDelayMs(trials);
      table.setTrial(key.id, { trialAt, startsNow: true });
      reports.queue(key.id);
      host.log.info("Quarantine trial starts", {
        ...describe(key, trials),
      });
    }
    host.announce();
    return true;
  }

  function releaseTrial(keys: readonly CrashKey[]): void {
    for (const { key, record } of getQuarantinedKeys(keys)) {
      const trialAt = performance.now() + unusedTrialDelayMs;
      if (record.trialAt <= trialAt) continue;
      table.setTrial(key.id, { trialAt, startsNow: false });
    }
  }

  function recordCrash(
    keys: readonly CrashKey[],
    target: DirectTarget,
    { hasResponseBegun, sentAt, losses }: Parameters<
      Quarantine["recordCrash"]
    >[2],
  ): void {
    const quarantined = getQuarantinedKeys(keys).map(({ key }) => key);
    quarantined.forEach(remember);
    const life = hashLife(target);
    herd.recordCrash(life);
    for (const key of quarantined.length > 0 ? quarantined : keys) {
      const wasQuarantined = isKeyQuarantined(key.id);
      const mayOverlap = key.kind !== "part";
      if (!table.addLife(key.id, life, { sentAt, mayOverlap })) continue;
      const crashes = table.tryGet(key.id)?.lives.length ?? 0;
      const isSuspect = crashes > 1 || (losses > 1 && !herd.isHerd());
      if (!hasResponseBegun || isSuspect) reports.queue(key.id);
      if (isSuspect) choice.addSuspect(key.id);
      if (!wasQuarantined && isKeyQuarantined(key.id)) startQuarantine(key);
    }
  }

  function startQuarantine(key: CrashKey): void {
    const trialAt = performance.now() + firstTrialDelayMs;
    table.setTrial(key.id, { trialAt, startsNow: false });
    remember(key);
    host.metrics.count("quarantines_total", { kind: key.kind });
    host.log.warn("Quarantine starts", {
      ...describe(key, 0),
      source: "own",
    });
    host.announce();
  }

  function recordResponse(keys: readonly CrashKey[]): void {
    if (table.isEmpty()) return;
    for (const key of keys) {
      const wasQuarantined = isKeyQuarantined(key.id);
      if (!table.clear(key.id)) continue;
      reports.queueWithdrawal(key.id);
      if (wasQuarantined) {
        endQuarantine(key.id, "own");
        host.announce();
      }
    }
  }

  function endQuarantine(id: string, source: "own" | "peer"): void {
    host.log.info("Quarantine ends, as a target has responded", {
      ...{ quarantined: id, label: labels.get(id), source },
    });
    labels.delete(id);
  }

  function merge({ variant, ...update }: CrashEvidence): void {
    mergeOne(update);
    if (variant === undefined) return;
    mergeOne({ ...update, key: joinVariant(update.key, variant) });
  }

  function mergeOne(update: CrashEvidence): void {
    const wasQuarantined = isKeyQuarantined(update.key);
    const { hasChanged, isPeerBehind } = table.merge(update);
    reports.recordReceived(update.key);
    if (isPeerBehind) reports.queue(update.key);
    if (!hasChanged) return;
    const record = table.tryGet(update.key);
    if (wasQuarantined && !isKeyQuarantined(update.key)) {
      return endQuarantine(update.key, "peer");
    }
    if (wasQuarantined || record === undefined || !isConclusive(record)) return;
    if (record.trialAt === 0) {
      const trialAt = performance.now() + getTrialDelayMs(record.trials);
      table.setTrial(update.key, { trialAt, startsNow: false });
    }
    host.log.warn("Quarantine starts", {
      quarantined: update.key,
      crashes: record.lives.length,
      trials: record.trials,
      source: "peer",
    });
  }

  function getAll(): readonly QuarantinedKey[] {
    return table.getAll().filter(isConclusive).map((record) => {
      const { key, lives, trials, trialInMs } = toUpdate(record);
      const label = labels.get(key);
      return { key, label, crashes: lives.length, trials, trialInMs };
    });
  }

  function getQuarantinedKeys(
    keys: readonly CrashKey[],
  ): readonly QuarantinedCause[] {
    return keys.flatMap((key) => {
      const record = table.tryGet(key.id);
      if (record === undefined || !isConclusive(record)) return [];
      return [{ key, record }];
    });
  }

  function remember({ id, label }: CrashKey): void {
    labels.delete(id);
    labels.set(id, label);
    const [oldest] = labels.keys();
    if (labels.size > maxLabels && oldest !== undefined) labels.delete(oldest);
  }

  function isKeyQuarantined(id: string): boolean {
    const record = table.tryGet(id);
    return record !== undefined && isConclusive(record);
  }

  function describe({ id, label }: CrashKey, trials: number) {
    const crashes = table.tryGet(id)?.lives.length ?? 0;
    return { quarantined: id, label, crashes, trials };
  }
}

function getTrialDelayMs(trials: number): number {
  return Math.min(
    maxTrialDelayMs,
    firstTrialDelayMs * trialDelayFactor ** trials,
  );
}

/** Returns the number that stands for one process of a target in records. */
export function hashLife(target: DirectTarget): number {
  return createHash("sha256").update(getTargetLife(target)).digest()
    .readUInt32BE();
}
