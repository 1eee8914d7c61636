/**
 * Keeps the requests of all routers within the rates that targets name, and within
 * those that cold targets bear; the smaller of the two is in force.
 *
 * Load pattern: part of a service's targets take only some requests a second, at
 * times nearly all of them. Each router sends to such a target in its own slots
 * and to the others as before; a slot that isn't used soon is lost, so that no
 * burst follows. With all targets limited and no slot free, the request is refused
 * at once, and each refused caller is told a later time at which this router's
 * share has room.
 */

import type { NamedLimit, ToldWarmUp } from "../../../types/direct_calls.ts";
import type { DirectTarget } from "../../../types/direct_target.ts";
import {
  createLimitRecords,
  type LimitRecord,
  type LimitRecords,
  type LimitRecordsHost,
} from "./limit_records.ts";
import { createLimitReports, type LimitReports } from "./limit_reports.ts";
import type { RouterRoster } from "../peers/router_roster.ts";
import {
  createSlotReader,
  minPerS,
  type SlotReader,
  type TargetSlots,
} from "./target_slots.ts";
import {
  type ColdTargetLimit,
  createWarmUpRates,
  type WarmUpRates,
  type WarmUpRatesHost,
} from "./warm_up_rates.ts";

/**
 * Time in which a router uses no slots after the first of its peers count it, in
 * milliseconds: until all do. A router that lists late, or is listed late, would
 * otherwise use slots that others have.
 */
const settleMs = 1_000;

/** Maximum time that refused callers are told, in milliseconds. */
const maxReturnDelayMs = 60_000;

const msPerSecond = 1_000;

/** The right to send one request to a target. */
export interface SendPermit {
  /** Uses the permit at the time of sending; false when it has expired. */
  tryUse(): boolean;
  /** Gives the permit back if it was not used. */
  release(): void;
}

/** A limit, for operators. */
export interface TargetLimit {
  readonly address: string;
  readonly perS: number;
  /** Requests a second that this router may send. */
  readonly ownPerS: number;
  /** Time since the target or a peer has told it, in milliseconds. */
  readonly ageMs: number;
}

/** What a request may do within the limits. */
export interface SendLimits extends
  Pick<
    SlotReader,
    "areAllLimited" | "getUsable" | "isLimited" | "tryGetSlotState"
  > {
  /**
   * Returns the time after which a refused caller should come back, in
   * milliseconds, and keeps it for this caller.
   */
  reserveReturn(service: string, targets: readonly DirectTarget[]): number;
}

/** The limits of all targets, as one router keeps them. */
export interface TargetLimits extends SendLimits {
  /** Tells the same for a dry run, and keeps and records nothing. */
  readonly preview: SendLimits & {
    /** Returns true while the target is cold. */
    isCold(target: DirectTarget): boolean;
  };
  /** Applies what a response says of the target's limit. */
  record(
    address: string,
    limit: NamedLimit,
    options: Parameters<LimitRecords["record"]>[2],
  ): void;
  /** Applies a target's entry, which was read now. */
  recordEntry: WarmUpRates["recordEntry"];
  /** Applies what a response says of the target's warm-up. */
  recordWarmUp(target: DirectTarget, told: ToldWarmUp): void;
  /** Applies the record of a peer. */
  merge(record: LimitRecord): void;
  /** Takes a permit for one request; undefined when there is none now. */
  tryTake(address: string): SendPermit | undefined;
  /** Returns the limits that targets name. */
  getAll(): readonly TargetLimit[];
  getCold(): readonly ColdTargetLimit[];
  /** Drops what is known of targets that are gone. */
  retain(isKnown: (address: string) => boolean): void;
  readonly reports: LimitReports;
}

/** What the limits need from the process. */
export interface TargetLimitsHost extends LimitRecordsHost, WarmUpRatesHost {
  /** Returns this router's place among all that send requests. */
  readonly getPlace: RouterRoster["getPlace"];
  /** Returns a 32-bit hash. */
  hash(text: string): number;
}

/** Creates limits of which none is known. */
export function createTargetLimits(host: TargetLimitsHost): TargetLimits {
  const records = createLimitRecords(host);
  const reports = createLimitReports(records);
  const warmUps = createWarmUpRates(host);
  const slotsByAddress = new Map<string, TargetSlots>();
  /** When the latest refused caller of a service comes back, by service. */
  const returnTimes = new Map<string, number>();
  // Steps of the wall clock would skip or repeat slots.
  const clockOriginMs = Date.now() - performance.now();
  const slotsHost = {
    isEmpty: () => records.isEmpty() && !warmUps.isInUse(),
    tryGetNamedPerS: records.tryGetPerS,
    ...{ getPlace: host.getPlace, getTime, clockOriginMs },
    getSettledAt: () =>
      clockOriginMs + settleMs +
      Math.min(host.getPlace().countedAt, performance.now()),
  };
  const slotReader = createSlotReader({
    ...slotsHost,
    getSlots,
    tryGetCold: (address) =>
      warmUps.isInUse() ? warmUps.tryGet(address) : undefined,
  });
  const previewReader = createSlotReader({
    ...slotsHost,
    getSlots: (address) => ({ ...peekSlots(address) }),
    tryGetCold: peekCold,
  });
  const { tryGetPerS, tryGetSlot, getSlotTtlMs } = slotReader;

  return {
    ...slotReader,
    preview: {
      ...previewReader,
      isCold: ({ address }) => peekCold(address) !== undefined,
      reserveReturn: (service, known) =>
        getReturn(previewReader, service, known).delayMs,
    },
    record,
    recordEntry: warmUps.recordEntry,
    recordWarmUp: warmUps.recordResponse,
    merge,
    tryTake,
    reserveReturn,
    getAll,
    getCold,
    retain,
    reports,
  };

  /** Returns epoch milliseconds that grow steadily. */
  function getTime(): number {
    return clockOriginMs + performance.now();
  }

  function record(
    address: string,
    limit: NamedLimit,
    options: Parameters<LimitRecords["record"]>[2],
  ): void {
    const previousPerS = records.tryGetPerS(address);
    const recorded = records.record(address, limit, options);
    if (recorded !== undefined) reports.offer(recorded, previousPerS);
  }

  function merge(peerRecord: LimitRecord): void {
    if (records.merge(peerRecord)) reports.recordReceived(peerRecord.address);
  }

  function peekCold(address: string) {
    return warmUps.isInUse() ? warmUps.peek(address) : undefined;
  }

  function getSlots(address: string): TargetSlots {
    const known = slotsByAddress.get(address);
    if (known !== undefined) return known;
    const created = peekSlots(address);
    slotsByAddress.set(address, created);
    return created;
  }

  /** Returns the slots of a target, new ones if none are known. */
  function peekSlots(address: string): TargetSlots {
    return slotsByAddress.get(address) ?? {
      offset: host.hash(address),
      scheduledPerS: 0,
      takenUntil: Number.NEGATIVE_INFINITY,
      returned: [],
    };
  }

  function tryTakeSlot(address: string, perS: number): number | undefined {
    const slotAt = tryGetSlot(address, perS);
    if (slotAt === undefined) return undefined;
    const slots = getSlots(address);
    const now = getTime();
    slots.returned = slots.returned.filter((at) =>
      at !== slotAt && at >= now - getSlotTtlMs(address)
    );
    slots.takenUntil = Math.max(slots.takenUntil, slotAt);
    return slotAt;
  }

  function tryTake(address: string): SendPermit | undefined {
    const perS = tryGetPerS(address);
    let slotAt = perS === undefined ? undefined : tryTakeSlot(address, perS);
    if (perS !== undefined && slotAt === undefined) return undefined;
    return { tryUse, release };

    /** The limit may have begun or ended while the request was waiting. */
    function tryUse(): boolean {
      const currentPerS = tryGetPerS(address);
      if (currentPerS === undefined) return true;
      if (slotAt === undefined || isLost(slotAt)) {
        slotAt = tryTakeSlot(address, currentPerS);
      }
      const isUsable = slotAt !== undefined;
      slotAt = undefined;
      return isUsable;
    }

    function isLost(at: number): boolean {
      return at < getTime() - getSlotTtlMs(address);
    }

    function release(): void {
      if (slotAt === undefined) return;
      const slots = getSlots(address);
      slots.returned = [...slots.returned, slotAt];
      slotAt = undefined;
    }
  }

  function reserveReturn(
    service: string,
    targets: readonly DirectTarget[],
  ): number {
    const { delayMs, nextAt } = getReturn(slotReader, service, targets);
    returnTimes.set(service, nextAt);
    return delayMs;
  }

  /** Returns when a refused caller should come back, and the next one. */
  function getReturn(
    reader: SlotReader,
    service: string,
    targets: readonly DirectTarget[],
  ): { readonly delayMs: number; readonly nextAt: number } {
    const now = getTime();
    const rates = targets.map(({ address }) => reader.tryGetPerS(address));
    const nextSlots = targets.map(({ address }, index) =>
      reader.getNextSlot(address, rates[index] ?? 0)
    );
    const earliest = Math.max(
      Math.min(...nextSlots, now + maxReturnDelayMs),
      returnTimes.get(service) ?? now,
    );
    const ownPerS = rates.reduce<number>(
      (sum, perS) => sum + getOwnPerS(perS),
      0,
    );
    const returnAt = Math.min(earliest, now + maxReturnDelayMs);
    return {
      delayMs: returnAt - now,
      nextAt: returnAt + msPerSecond / ownPerS,
    };
  }

  function getOwnPerS(perS = 0): number {
    return Math.max(minPerS, perS) / host.getPlace().count;
  }

  function getAll(): readonly TargetLimit[] {
    return records.getAll().flatMap(({ address, perS, at }) =>
      perS === undefined ? [] : [{
        address,
        perS,
        ownPerS: getOwnPerS(perS),
        ageMs: Math.round(performance.now() - at),
      }]
    );
  }

  function getCold(): readonly ColdTargetLimit[] {
    const { count } = host.getPlace({ countsSilent: true });
    return warmUps.getAll().map(({ id, address, perS, until }) => ({
      ...{ target: id, address, perS, ownPerS: perS / count },
      leftMs: Math.round(until - performance.now()),
    }));
  }

  function retain(isKnown: (address: string) => boolean): void {
    records.retain(isKnown);
    reports.retain(isKnown);
    warmUps.retain(isKnown);
    for (const address of slotsByAddress.keys()) {
      if (!isKnown(address)) slotsByAddress.delete(address);
    }
  }
}
