/**
 * Knows at which software version a stream began, also at routers that never saw
 * it.
 *
 * Load pattern: a caller takes a stream up at any router, most often just after
 * the first one has died. A router that begins a stream therefore tells some
 * others, which follow from the stream's key and from the registered routers, and
 * a router that has to know asks these. The messages of a stream don't grow with
 * the fleet.
 */

import type { DirectTarget } from "../../../types/direct_target.ts";
import type { Placement } from "../../placement/placement.ts";
import type { Metrics } from "../../telemetry/metrics.ts";
import { createStreamRecords, unknownVersion } from "./stream_records.ts";

/** Number of routers that are told of a stream, besides the first. */
const keeperCount = 3;

/** Time after which keepers that have not answered are asked again, in ms. */
const askIntervalMs = 40;

/** Number of times that keepers are asked. */
const maxAsks = 3;

/** Maximum number of streams that are asked for at a time. */
const maxOpenLookups = 512;

/** Bits that the second hash adds to a key, so that it stays an integer. */
const extraKeyBits = 20;

/** What routers tell each other of streams. */
export interface StreamMessage {
  /** Streams with their versions; `unknownVersion` in an answer without one. */
  readonly origins: readonly StreamOrigin[];
  /** Keys of streams whose versions the sender asks for. */
  readonly lookups: readonly number[];
}

/** The version at which a stream began. */
export interface StreamOrigin {
  readonly key: number;
  readonly version: number;
}

/**
 * The result of a lookup.
 *
 * - `known`: the stream began at this version; `source` tells who knew it.
 * - `unknown`: all who should know answer that they don't.
 * - `unanswered`: not all who should know have answered.
 */
export type OriginResult =
  | {
    readonly kind: "known";
    readonly version: number;
    readonly source: "own" | "peer";
  }
  | { readonly kind: "unknown" }
  | { readonly kind: "unanswered" };

/** Names a stream: the request that brought its first event. */
export interface StreamName {
  readonly workspace: string | undefined;
  readonly requestId: string;
}

/** The origins of streams, as one router knows them. */
export interface StreamOrigins {
  /** Identifies a version of a service's software; 0 when it is unknown. */
  getVersion(
    target: Pick<DirectTarget, "service" | "softwareVersion">,
  ): number;
  /** Records that a stream begins at a target, and tells its keepers. */
  record(name: StreamName, target: DirectTarget): void;
  /** Finds out at which version a stream began. */
  lookUp(name: StreamName): Promise<OriginResult>;
  /**
   * Returns the version at which a stream began if it is known here; undefined
   * when peers would be asked. Asks and counts nothing.
   */
  tryPeek(name: StreamName): OriginResult | undefined;
  /** Applies and answers the message of a peer. */
  handle(peer: string, message: StreamMessage): void;
  /** Returns the number of streams that are remembered. */
  getSize(): number;
}

/** What the origins need from the process. */
export interface StreamOriginsHost {
  readonly selfId: string;
  readonly placement: Placement;
  readonly metrics: Pick<Metrics, "count">;
  /** Returns the ids of the registered routers. */
  getRouterIds(): Iterable<string>;
  send(peer: string, message: StreamMessage): void;
  /** Returns a 32-bit hash. */
  hash(text: string): number;
}

/** A lookup that waits for answers. */
interface OpenLookup {
  readonly unanswered: Set<string>;
  readonly result: Promise<OriginResult>;
  finish(result: OriginResult): void;
}

/** Creates origins of which none is known. */
export function createStreamOrigins(host: StreamOriginsHost): StreamOrigins {
  const records = createStreamRecords();
  const openLookups = new Map<number, OpenLookup>();

  return {
    getVersion,
    record,
    lookUp,
    tryPeek,
    handle,
    getSize: records.getSize,
  };

  function getVersion(
    { service, softwareVersion }: Pick<
      DirectTarget,
      "service" | "softwareVersion"
    >,
  ): number {
    if (softwareVersion === "") return unknownVersion;
    return host.hash(`${service}\n${softwareVersion}`) || 1;
  }

  function getKey({ workspace = "", requestId }: StreamName): number {
    const name = `${workspace}\n${requestId}`;
    const extra = host.hash(`${name}\n`) >>> (32 - extraKeyBits);
    return (host.hash(name) >>> 0) * 2 ** extraKeyBits + extra;
  }

  function getKeepers(key: number): readonly string[] {
    const candidates = [...host.getRouterIds()]
      .filter((id) => id !== host.selfId)
      .map((id) => ({ id, weight: 100 }));
    return host.placement
      .rankTargets(String(key), candidates, { limit: keeperCount })
      .map(({ id }) => id);
  }

  function record(name: StreamName, target: DirectTarget): void {
    const version = getVersion(target);
    if (version === unknownVersion) return;
    const key = getKey(name);
    records.put(key, version);
    const message = { origins: [{ key, version }], lookups: [] };
    getKeepers(key).forEach((peer) => host.send(peer, message));
  }

  function tryPeek(name: StreamName): OriginResult | undefined {
    const key = getKey(name);
    const known = records.tryGet(key);
    if (known !== undefined) return toResult(known, "own");
    return getKeepers(key).length === 0 ? { kind: "unknown" } : undefined;
  }

  async function lookUp(name: StreamName): Promise<OriginResult> {
    const key = getKey(name);
    const known = records.tryGet(key);
    const result = known === undefined
      ? await (openLookups.get(key) ?? openLookup(key)).result
      : toResult(known, "own");
    const source = result.kind === "known" ? result.source : "none";
    host.metrics.count("stream_lookups_total", { result: result.kind, source });
    return result;
  }

  function openLookup(key: number): Pick<OpenLookup, "result"> {
    if (openLookups.size >= maxOpenLookups) {
      return { result: Promise.resolve({ kind: "unanswered" }) };
    }
    const unanswered = new Set(getKeepers(key));
    let asks = 0;
    let finish: (result: OriginResult) => void = () => undefined;
    const result = new Promise<OriginResult>((resolve) => {
      finish = (value) => {
        clearInterval(timer);
        openLookups.delete(key);
        resolve(value);
      };
    });
    const timer = setInterval(ask, askIntervalMs);
    const lookup: OpenLookup = { unanswered, result, finish };
    openLookups.set(key, lookup);
    ask();
    return lookup;

    function ask(): void {
      if (unanswered.size === 0) return finish({ kind: "unknown" });
      if (asks++ >= maxAsks) return finish({ kind: "unanswered" });
      unanswered.forEach((peer) =>
        host.send(peer, { origins: [], lookups: [key] })
      );
    }
  }

  function handle(peer: string, { origins, lookups }: StreamMessage): void {
    for (const { key, version } of origins) {
      if (version !== unknownVersion) records.put(key, version);
      handleAnswer(peer, { key, version });
    }
    if (lookups.length === 0) return;
    const answers = lookups.map((key) => ({
      key,
      version: records.tryGet(key) ?? unknownVersion,
    }));
    host.send(peer, { origins: answers, lookups: [] });
  }

  function handleAnswer(
    peer: string,
    { key, version }: StreamOrigin,
  ): void {
    const lookup = openLookups.get(key);
    if (lookup === undefined) return;
    if (version !== unknownVersion) {
      return lookup.finish(toResult(records.tryGet(key) ?? version, "peer"));
    }
    lookup.unanswered.delete(peer);
    if (lookup.unanswered.size === 0) lookup.finish({ kind: "unknown" });
  }
}

function toResult(version: number, source: "own" | "peer"): OriginResult {
  return version === unknownVersion
    ? { kind: "unknown" }
    : { kind: "known", version, source };
}
