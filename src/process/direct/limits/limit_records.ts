/**
 * Knows which targets limit their requests, from their responses and from peers.
 *
 * Responses overtake each other, and reports of peers are older than they arrive.
 * A limit is therefore withdrawn only by a response to a request that was sent
 * after the limit was last named, and the later of two records counts. A limit
 * belongs to an address: a target in need is spared also the requests that are
 * meant for one that was there before.
 */

import type { NamedLimit } from "../../../types/direct_calls.ts";
import type { Log } from "../../telemetry/log.ts";
import type { Metrics } from "../../telemetry/metrics.ts";

/** What is known of the limit of one target. */
export interface LimitRecord {
  /** IP address and port; requests for another target there count too. */
  readonly address: string;
  /** Requests a second from all routers; undefined when it has ended. */
  readonly perS: number | undefined;
  /** Time up to which this is known, on the monotonic clock, in ms. */
  readonly at: number;
}

/** The records of all targets. */
export interface LimitRecords {
  /** Records what a response says; returns the record if it counts. */
  record(
    address: string,
    limit: NamedLimit,
    options: {
      /**
       * When the request was sent, on the monotonic clock; undefined when the
       * response may belong to an earlier one.
       */
      readonly sentAt: number | undefined;
    },
  ): LimitRecord | undefined;
  /** Applies the record of a peer; returns true if it is newer. */
  merge(record: LimitRecord): boolean;
  tryGet(address: string): LimitRecord | undefined;
  /** Returns the limit in force; undefined without one. */
  tryGetPerS(address: string): number | undefined;
  /** Returns true while no target has a limit. */
  isEmpty(): boolean;
  /** Returns the limits in force. */
  getAll(): readonly LimitRecord[];
  /** Drops the records of targets that are gone. */
  retain(isKnown: (address: string) => boolean): void;
}

/** Change of a limit from which on it is logged, as a share of it. */
const loggedChangeShare = 0.1;

/** Maximum number of records; the oldest are dropped. */
const maxRecords = 4_096;

/** Maximum number of targets whose unreadable limits were logged. */
const maxLoggedTargets = 1_024;

/** What the records need from the process. */
export interface LimitRecordsHost {
  readonly log: Pick<Log, "info" | "warn">;
  readonly metrics: Pick<Metrics, "count">;
  /** Returns the target that is registered at an address, for the log. */
  tryGetTargetId(address: string): string | undefined;
}

/** Creates records without a limit. */
export function createLimitRecords(host: LimitRecordsHost): LimitRecords {
  const records = new Map<string, LimitRecord>();
  /** Targets with an unreadable limit since they last named another one. */
  const unreadable = new Set<string>();
  /** Number of records with a limit that is in force. */
  let inForce = 0;

  return {
    record,
    merge,
    tryGet: (address) => records.get(address),
    tryGetPerS: (address) => records.get(address)?.perS,
    isEmpty: () => inForce === 0,
    getAll: () =>
      [...records.values()].filter(({ perS }) => perS !== undefined),
    retain,
  };

  function record(
    address: string,
    limit: NamedLimit,
    { sentAt }: { readonly sentAt: number | undefined },
  ): LimitRecord | undefined {
    switch (limit.kind) {
      case "untold":
        return undefined;
      case "unreadable":
        reportUnreadable(address, limit.text);
        return undefined;
      case "named":
        unreadable.delete(address);
        host.metrics.count("target_limits_named_total");
        return apply({ address, perS: limit.perS, at: performance.now() });
      case "none":
        return sentAt === undefined || !records.has(address)
          ? undefined
          : apply({ address, perS: undefined, at: sentAt });
    }
  }

  function apply(record: LimitRecord): LimitRecord | undefined {
    return put(record, "own") ? record : undefined;
  }

  function put(record: LimitRecord, source: "own" | "peer"): boolean {
    const { address, perS, at } = record;
    const known = records.get(address);
    if (known !== undefined && known.at >= at) return false;
    if (known?.perS !== undefined) inForce--;
    if (perS !== undefined) inForce++;
    records.delete(address);
    records.set(address, record);
    logChange(record, { previousPerS: known?.perS, source });
    dropOldest();
    return true;
  }

  function dropOldest(): void {
    const [oldest] = records.values();
    if (records.size > maxRecords && oldest !== undefined) remove(oldest);
  }

  function remove({ address, perS }: LimitRecord): void {
    if (perS !== undefined) inForce--;
    records.delete(address);
  }

  function merge(record: LimitRecord): boolean {
    // Without a limit, its end is nothing to remember.
    if (record.perS === undefined && !records.has(record.address)) return false;
    return put(record, "peer");
  }

  function logChange(
    { address, perS }: LimitRecord,
    { previousPerS, source }: {
      readonly previousPerS: number | undefined;
      readonly source: "own" | "peer";
    },
  ): void {
    if (perS === undefined) {
      if (previousPerS === undefined) return;
      return host.log.info("Target limits its requests no more", {
        ...describe(address),
        source,
      });
    }
    const changeable = loggedChangeShare * (previousPerS ?? 0);
    if (
      previousPerS !== undefined && Math.abs(perS - previousPerS) <= changeable
    ) return;
    host.log.info("Target limits its requests", {
      ...{ address, perS, previousPerS, source },
    });
  }

  /** Logs the first such limit of a target, until it names another one. */
  function reportUnreadable(address: string, text: string): void {
    host.metrics.count("target_limits_unreadable_total");
    if (unreadable.has(address) || unreadable.size >= maxLoggedTargets) return;
    unreadable.add(address);
    host.log.warn("Target names a limit that cannot be read", {
      ...describe(address),
      text,
    });
  }

  function describe(address: string) {
    return { target: host.tryGetTargetId(address), address };
  }

  function retain(isKnown: (address: string) => boolean): void {
    for (const record of records.values()) {
      if (!isKnown(record.address)) remove(record);
    }
    for (const address of unreadable) {
      if (!isKnown(address)) unreadable.delete(address);
    }
  }
}
