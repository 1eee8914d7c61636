/**
 * Knows which targets are cold, and how many requests a second each bears.
 *
 * Load pattern: targets start under full load, one by one or a zone at once, and
 * crash well above the rate that their service's configuration names. Each is
 * empty, so every router prefers it. What a target tells of itself reaches the
 * routers at different times, and a target that has told nothing may be cold too:
 * it counts as cold for as long as any of the sources says so.
 */

import type { ToldWarmUp } from "../../../types/direct_calls.ts";
import type { DirectTarget } from "../../../types/direct_target.ts";
import type { DirectService, WarmUp } from "../../../types/route_table.ts";
import type { Log } from "../../telemetry/log.ts";
import type { Metrics } from "../../telemetry/metrics.ts";

/** Maximum time that a target may tell, in milliseconds; more is invalid. */
const maxToldMs = 60_000;

/**
 * Time after the start of the fleet's first target from which on targets start
 * during traffic, in milliseconds; those of a new fleet start together.
 */
const fleetStartMs = 10_000;

/**
 * Maximum difference between the clocks of a target and of this router, in
 * milliseconds.
 */
const maxClockSkewMs = 2_000;

/** Maximum number of targets whose invalid times were logged. */
const maxLoggedTargets = 1_024;

/** Why a target counts as cold. */
export type ColdReason = (typeof coldReasons)[number];

const coldReasons = ["entry", "start", "evacuation", "response"] as const;

/** A target that is cold. */
export interface ColdTarget {
  readonly id: string;
  readonly address: string;
  /** Requests a second from all routers together. */
  readonly perS: number;
  readonly reason: ColdReason;
  /** When it has warmed up, on the monotonic clock. */
  readonly until: number;
  /** When this router first held it cold, on the monotonic clock. */
  readonly since: number;
}

/** A target that is cold, for operators. */
export interface ColdTargetLimit {
  readonly target: string;
  readonly address: string;
  readonly perS: number;
  /** Requests a second that this router may send. */
  readonly ownPerS: number;
  /** Time until it has warmed up, in milliseconds. */
  readonly leftMs: number;
}

/** The rates of all targets that are cold. */
export interface WarmUpRates {
  /** Applies a target's entry, which was read now. */
  recordEntry(
    target: DirectTarget,
    options?: {
      /** True for content that may be older than what was known. */
      readonly isRestored?: boolean;
    },
  ): void;
  /** Applies what a response of the target says. */
  recordResponse(target: DirectTarget, told: ToldWarmUp): void;
  /** Returns true when the targets of any service have a rate. */
  isInUse(): boolean;
  /** Returns the target at an address if it is cold. */
  tryGet(address: string): ColdTarget | undefined;
  /** As `tryGet`; does not record or log that the target is cold or warm. */
  peek(address: string): ColdTarget | undefined;
  getAll(): readonly ColdTarget[];
  /** Drops what is known of targets that are gone. */
  retain(isKnown: (address: string) => boolean): void;
}

/** What the rates need from the process. */
export interface WarmUpRatesHost {
  readonly log: Pick<Log, "info" | "warn">;
  readonly metrics: Pick<Metrics, "count">;
  /** Returns how the targets of services warm up, by service. */
  getWarmUps(): ReadonlyMap<string, WarmUp>;
  /** Returns when the evacuation of a zone ended, on the monotonic clock. */
  tryGetEvacuationEnd(zone: string): number | undefined;
}

/** What is known of the target at one address; times on the monotonic clock. */
interface TargetRecord {
  readonly target: DirectTarget;
  /** When its process started, at the latest as its entry was read. */
  readonly startedAt: number;
  readonly readAt: number;
  entryUntil: number;
  responseUntil: number;
  /** The cold time that was logged last; undefined while it is warm. */
  cold: ColdTarget | undefined;
}

/** Returns the services whose targets have a warm-up rate. */
export function getWarmUps(
  services: Iterable<DirectService>,
): ReadonlyMap<string, WarmUp> {
  const warmUps = new Map<string, WarmUp>();
  for (const { name, warmUp } of services) {
    if (warmUp !== undefined) warmUps.set(name, warmUp);
  }
  return warmUps;
}

/** Creates rates of a router that has read no entry. */
export function createWarmUpRates(host: WarmUpRatesHost): WarmUpRates {
  const records = new Map<string, TargetRecord>();
  /** Targets with an invalid time since they last told a valid one. */
  const invalid = new Set<string>();
  /** Start of the first target, in epoch milliseconds. */
  let fleetStartedAtMs = Number.POSITIVE_INFINITY;

  return {
    recordEntry,
    recordResponse,
    isInUse: () => host.getWarmUps().size > 0,
    tryGet,
    peek,
    getAll: () => [...records.keys()].flatMap((key) => tryGet(key) ?? []),
    retain,
  };

  function recordEntry(
    target: DirectTarget,
    { isRestored = false }: { readonly isRestored?: boolean } = {},
  ): void {
    const { startedAtMs, warmUpLeftMs } = target;
    if (startedAtMs > 0) {
      fleetStartedAtMs = Math.min(fleetStartedAtMs, startedAtMs);
    }
    const record = put(target);
    const isOutdated = record.target.startedAtMs !== startedAtMs;
    if (isOutdated || !checkTold(target, warmUpLeftMs)) return;
    const until = performance.now() + warmUpLeftMs;
    record.entryUntil = isRestored ? Math.max(record.entryUntil, until) : until;
  }

  function recordResponse(target: DirectTarget, told: ToldWarmUp): void {
    if (told.kind === "untold") return;
    const leftMs = told.kind === "told" ? told.leftMs : told.text;
    if (!checkTold(target, leftMs)) return;
    const record = records.get(target.address) ?? put(target);
    const until = performance.now() + leftMs;
    record.responseUntil = Math.max(record.responseUntil, until);
  }

  /** Returns the record of the process, or that of a later one at its address. */
  function put(target: DirectTarget): TargetRecord {
    const { address, startedAtMs } = target;
    const now = performance.now();
    const known = records.get(address);
    if (known !== undefined) {
      const { id, startedAtMs: knownStartMs } = known.target;
      const isSame = id === target.id && knownStartMs === startedAtMs;
      const isLater = startedAtMs > 0 && knownStartMs > startedAtMs;
      if (isSame || isLater) return known;
    }
    const ageMs = Math.max(0, Date.now() - startedAtMs);
    const created: TargetRecord = {
      target,
      startedAt: startedAtMs > 0 ? now - ageMs : Number.NEGATIVE_INFINITY,
      readAt: now,
      entryUntil: Number.NEGATIVE_INFINITY,
      responseUntil: Number.NEGATIVE_INFINITY,
      cold: known?.cold,
    };
    records.set(address, created);
    return created;
  }

  /** Returns true for a valid time; logs the first invalid one of a target. */
  function checkTold(
    { id, service, address }: DirectTarget,
    value: number | string,
  ): value is number {
    if (typeof value === "number" && value >= 0 && value <= maxToldMs) {
      invalid.delete(address);
      return true;
    }
    host.metrics.count("target_warm_ups_invalid_total");
    if (!invalid.has(address) && invalid.size < maxLoggedTargets) {
      invalid.add(address);
      host.log.warn("Target tells a warm-up time that cannot be used", {
        ...{ target: id, service, value: String(value) },
      });
    }
    return false;
  }

  function tryGet(address: string): ColdTarget | undefined {
    const record = records.get(address);
    if (record === undefined) return undefined;
    const cold = evaluate(record);
    return cold === undefined ? recordWarm(record) : recordCold(record, cold);
  }

  function peek(address: string): ColdTarget | undefined {
    const record = records.get(address);
    return record === undefined ? undefined : evaluate(record);
  }

  /** Returns what the sources tell of a target now; undefined if it is warm. */
  function evaluate(record: TargetRecord): ColdTarget | undefined {
    const { cold, target: { id, address, service } } = record;
    const warmUp = host.getWarmUps().get(service);
    if (warmUp === undefined) return undefined;
    const ends = getEnds(record, warmUp);
    const { entry, start, evacuation, response } = ends;
    const until = Math.max(entry, start, evacuation, response);
    const now = performance.now();
    if (until <= now) return undefined;
    const { perS } = warmUp;
    if (cold?.id === id && cold.until === until && cold.perS === perS) {
      return cold;
    }
    const since = cold?.since ?? now;
    const reason = coldReasons.find((name) => ends[name] === until) ?? "entry";
    return { id, address, perS, reason, until, since };
  }

  /** Returns the ends of the cold time, as the sources tell them. */
  function getEnds(
    { target, startedAt, readAt, entryUntil, responseUntil }: TargetRecord,
    { durationMs }: WarmUp,
  ): Readonly<Record<ColdReason, number>> {
    const evacuationEnd = host.tryGetEvacuationEnd(target.zone) ??
      Number.NEGATIVE_INFINITY;
    return {
      entry: entryUntil,
      start: hasStartedDuringTraffic(target)
        ? Math.min(startedAt + maxClockSkewMs, readAt) + durationMs
        : Number.NEGATIVE_INFINITY,
      evacuation: evacuationEnd + durationMs,
      response: responseUntil,
    };
  }

  function hasStartedDuringTraffic({ startedAtMs }: DirectTarget): boolean {
    return startedAtMs - fleetStartedAtMs > fleetStartMs;
  }

  function recordCold(record: TargetRecord, cold: ColdTarget): ColdTarget {
    const isNew = record.cold === undefined;
    record.cold = cold;
    if (isNew) {
      const { id, perS, reason, until } = cold;
      const leftMs = Math.round(until - performance.now());
      host.log.info("Target is cold", {
        ...{ target: id, service: record.target.service, perS, reason, leftMs },
      });
    }
    return cold;
  }

  function recordWarm(record: TargetRecord): undefined {
    const { cold, target: { id, service } } = record;
    if (cold === undefined) return;
    record.cold = undefined;
    host.log.info("Target has warmed up", { target: id, service });
  }

  function retain(isKnown: (address: string) => boolean): void {
    for (const address of [...records.keys(), ...invalid]) {
      if (isKnown(address)) continue;
      records.delete(address);
      invalid.delete(address);
    }
  }
}
