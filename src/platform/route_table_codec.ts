/** Decodes the platform's configuration into a route table. */

import { type Either, Left, Right } from "purify-ts";
import type {
  DirectRoute,
  DirectService,
  KeyHolder,
  RouteKind,
  RouteShare,
  RouteTable,
  WarmUp,
} from "../types/route_table.ts";
import { limitCount, maxSizeOrTime } from "../types/stated_numbers.ts";
import {
  getArray,
  getNumber,
  type JsonObject,
  tryGetObject,
  tryGetString,
} from "./json_fields.ts";

/** Limits of callers where the configuration sets none. */
const defaultLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
} as const;

/** Priority of workspaces and routes that set none. */
const defaultPriority = 1;

/** Timeout of a route that sets none, in milliseconds. */
const defaultTimeoutMs = 15_000;

const msPerSecond = 1_000;

/** Kinds of routes by their names in the store. */
const routeKinds: ReadonlyMap<unknown, RouteKind> = new Map([
  ["safe", "safe"],
  ["unsafe", "unsafe"],
  ["stream", "stream"],
]);

/**
 * Decodes a configuration. Routes and services that cannot be used are skipped; a
 * configuration without a version is an error.
 */
export function decodeRouteTable(
  fields: JsonObject,
): Either<string, RouteTable> {
  const version = getNumber(fields, "Version", 0);
  if (version <= 0) return Left("The configuration has no version");
  const limits = tryGetObject(fields["Limits"]) ?? {};
  const services = getObjects(fields["Services"]).flatMap(decodeService);
  return Right({
    version,
    routes: getObjects(fields["Routes"]).flatMap(decodeRoute),
    services: new Map(services.map((service) => [service.name, service])),
    keys: Array.isArray(fields["Tenants"])
      ? new Map(getObjects(fields["Tenants"]).flatMap(decodeWorkspaceKeys))
      : undefined,
    limits: {
      maxHeaderBytes: getPositive(
        limits,
        "MaxHeaderBytes",
        defaultLimits.maxHeaderBytes,
      ),
      maxBodyBytes: getPositive(
        limits,
        "MaxBodyBytes",
        defaultLimits.maxBodyBytes,
      ),
      headerTimeoutMs: getPositive(
        limits,
        "HeaderTimeoutMs",
        defaultLimits.headerTimeoutMs,
      ),
      idleTimeoutMs: getPositive(
        limits,
        "IdleTimeoutMs",
        defaultLimits.idleTimeoutMs,
      ),
    },
  });
}

/** Returns a size or a time, at most `maxSizeOrTime`; `fallback` when not above 0. */
function getPositive(
  fields: JsonObject,
  name: string,
  fallback: number,
): number {
  const value = getNumber(fields, name, fallback);
  return value > 0 ? Math.min(value, maxSizeOrTime) : fallback;
}

/** Returns a rank, whole and not below 0. */
function getRank(fields: JsonObject): number {
  return limitCount(getNumber(fields, "Priority", defaultPriority));
}

function getObjects(value: unknown): readonly JsonObject[] {
  return getArray(value).flatMap<JsonObject>((entry) =>
    tryGetObject(entry) ?? []
  );
}

/**
 * Decodes a route; one without host, prefix or a known type is skipped.
 * `GoalMs` is the latency goal, `GapGoalMs` the goal for the time between
 * events, `Attempts` the maximum number of targets that may run a request.
 */
function decodeRoute(fields: JsonObject): readonly DirectRoute[] {
  const host = tryGetString(fields, "Host");
  const prefix = tryGetString(fields, "Prefix");
  const kind = routeKinds.get(fields["Type"]);
  const shares = decodeShares(fields);
  if (host === undefined || prefix === undefined || kind === undefined) {
    return [];
  }
  const timeoutMs = getPositive(fields, "TimeoutMs", defaultTimeoutMs);
  return [{
    name: tryGetString(fields, "Name") ?? prefix,
    host: host.toLowerCase(),
    prefix,
    kind,
    timeoutMs,
    latencyGoalMs: getNumber(fields, "GoalMs", timeoutMs),
    gapGoalMs: getNumber(fields, "GapGoalMs", 0),
    priority: getRank(fields),
    shares,
    maxTargets: getNumber(fields, "Attempts", 1),
    isPublic: fields["Public"] === true,
    isResumable: fields["Resumable"] === true,
  }];
}

/** Decodes `Split`, services with weights, or else the single `Service`. */
function decodeShares(fields: JsonObject): readonly RouteShare[] {
  const split = getObjects(fields["Split"]).flatMap((share) => {
    const service = tryGetString(share, "Service");
    const weight = getNumber(share, "Weight", 0);
    return service === undefined || weight <= 0 ? [] : [{ service, weight }];
  });
  const service = tryGetString(fields, "Service");
  if (split.length > 0 || service === undefined) return split;
  return [{ service, weight: 1 }];
}

/**
 * Decodes how targets warm up: for `ColdS` seconds they bear `ColdPerS` requests
 * a second.
 */
function decodeWarmUp(fields: JsonObject): WarmUp | undefined {
  const perS = getNumber(fields, "ColdPerS", 0);
  const durationMs = getNumber(fields, "ColdS", 0) * msPerSecond;
  const isInUse = Number.isFinite(perS) && perS > 0 &&
    Number.isFinite(durationMs) && durationMs >= 0;
  return isInUse ? { durationMs, perS } : undefined;
}

/**
 * Decodes a service. `MaxConns` limits the connections to one target. For model
 * engines, `KvCapacity` is the cache size in tokens, and `Moves` is true when a
 * running request can be transferred to another engine.
 */
function decodeService(fields: JsonObject): readonly DirectService[] {
  const name = tryGetString(fields, "Name");
  if (name === undefined) return [];
  const engine = tryGetObject(fields["Engine"]);
  return [{
    name,
    maxConnections: getNumber(fields, "MaxConns", Number.POSITIVE_INFINITY),
    warmUp: decodeWarmUp(fields),
    engine: engine === undefined ? undefined : {
      slots: getNumber(engine, "Slots", 1),
      cacheTokens: getNumber(engine, "KvCapacity", 0),
      canMigrate: engine["Moves"] === true,
    },
  }];
}

/** Decodes a tenant, which is a workspace here, to an entry per API key. */
function decodeWorkspaceKeys(
  fields: JsonObject,
): readonly (readonly [string, KeyHolder])[] {
  const workspace = tryGetString(fields, "Name");
  if (workspace === undefined) return [];
  const priority = getRank(fields);
  return getArray(fields["ApiKeys"])
    .filter((key): key is string => typeof key === "string")
    .map((key) => [key, { workspace, priority }] as const);
}
