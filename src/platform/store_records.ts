/** Decodes the values of the store's entries into the product's records. */

import { Either, Left, Right } from "purify-ts";
import type { DirectTarget, RouterPeer } from "../types/direct_target.ts";
import type { DirectoryRecord } from "../types/directory.ts";
import type { Entry } from "../types/platform.ts";
import type {
  DirectRoute,
  DirectService,
  KeyHolder,
  RouteKind,
  RouteShare,
  RouteTable,
} from "../types/route_table.ts";
import {
  type Fields,
  getList,
  getNumber,
  tryGetFields,
  tryGetText,
} from "./fields.ts";
import { storeKeys } from "./wire_names.ts";

/** Bounds that hold where the operator sets none. */
const usualLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
} as const;

/** Rank of workspaces and routes that tell none. */
const usualPriority = 1;

/** Time-out of a route that tells none, in milliseconds. */
const usualTimeoutMs = 15_000;

/** The words for kinds of routes. */
const routeKinds: ReadonlyMap<unknown, RouteKind> = new Map([
  ["safe", "safe"],
  ["unsafe", "unsafe"],
  ["stream", "stream"],
]);

/** The words for the states of targets. */
const targetStates: ReadonlyMap<unknown, DirectTarget["state"]> = new Map([
  ["ready", "ready"],
  ["draining", "draining"],
]);

/** Tells which record a key holds; undefined for other keys. */
export function resolveStoreKey(
  key: string,
): { readonly kind: "target" | "router"; readonly id: string } | undefined {
  for (const kind of ["target", "router"] as const) {
    const prefix = storeKeys[`${kind}Prefix`];
    if (key.startsWith(prefix)) return { kind, id: key.slice(prefix.length) };
  }
  return undefined;
}

/** Decodes one entry. */
export function decodeEntry({ key, value }: Entry): DirectoryRecord {
  const held = resolveStoreKey(key);
  if (key !== storeKeys.routeTable && held === undefined) {
    return { kind: "other" };
  }
  const record = parseTable(value).chain<string, DirectoryRecord>((fields) =>
    held === undefined
      ? readRouteTable(fields).map((table) => ({ kind: "route_table", table }))
      : held.kind === "target"
      ? readTarget(held.id, fields).map((target) => ({
        kind: "target",
        target,
      }))
      : readRouter(held.id, fields).map((router) => ({
        kind: "router",
        router,
      }))
  );
  return record.caseOf<DirectoryRecord>({
    Left: (reason) => ({ kind: "unreadable", reason }),
    Right: (value) => value,
  });
}

/** The value under which a router announces itself. */
export function encodeRouter(router: RouterPeer): string {
  return JSON.stringify(router);
}

function parseTable(text: string): Either<string, Fields> {
  return Either.encase(() => tryGetFields(JSON.parse(text)))
    .mapLeft((error) => error.message)
    .chain((fields) =>
      fields === undefined ? Left("The value is no object") : Right(fields)
    );
}

function readTarget(id: string, fields: Fields): Either<string, DirectTarget> {
  const service = tryGetText(fields, "Service");
  const address = tryGetText(fields, "Address");
  const state = targetStates.get(fields["State"]);
  const slots = fields["Slots"];
  if (service === undefined || address === undefined || state === undefined) {
    return Left("Service, address or state of the target is missing");
  }
  if (!/^[\d.]+:\d+$/.test(address) || typeof slots !== "number") {
    return Left("Address or slots of the target cannot be read");
  }
  return Right({
    id,
    service,
    address,
    state,
    slots,
    zone: tryGetText(fields, "Zone") ?? "",
    warmUpLeftMs: getNumber(fields, "ColdLeftMs", 0),
    startedAtMs: getNumber(fields, "born", 0),
  });
}

function readRouter(id: string, fields: Fields): Either<string, RouterPeer> {
  const address = tryGetText(fields, "address");
  const digestPort = getNumber(fields, "digestPort", 0);
  const pullPort = getNumber(fields, "pullPort", 0);
  return address === undefined || digestPort === 0
    ? Left("Address or port of the router is missing")
    : Right({ id, address, digestPort, pullPort });
}

function readRouteTable(fields: Fields): Either<string, RouteTable> {
  const version = getNumber(fields, "Version", 0);
  if (version <= 0) return Left("The configuration has no version");
  const limits = tryGetFields(fields["Limits"]) ?? {};
  const services = getTables(fields["Services"]).flatMap(readService);
  return Right({
    version,
    routes: getTables(fields["Routes"]).flatMap(readRoute),
    services: new Map(services.map((service) => [service.name, service])),
    keys: Array.isArray(fields["Tenants"])
      ? new Map(getTables(fields["Tenants"]).flatMap(readKeys))
      : undefined,
    limits: {
      maxHeaderBytes: getNumber(
        limits,
        "MaxHeaderBytes",
        usualLimits.maxHeaderBytes,
      ),
      maxBodyBytes: getNumber(limits, "MaxBodyBytes", usualLimits.maxBodyBytes),
      headerTimeoutMs: getNumber(
        limits,
        "HeaderTimeoutMs",
        usualLimits.headerTimeoutMs,
      ),
      idleTimeoutMs: getNumber(
        limits,
        "IdleTimeoutMs",
        usualLimits.idleTimeoutMs,
      ),
    },
  });
}

function getTables(value: unknown): readonly Fields[] {
  return getList(value).flatMap<Fields>((entry) => tryGetFields(entry) ?? []);
}

function readRoute(fields: Fields): readonly DirectRoute[] {
  const host = tryGetText(fields, "Host");
  const prefix = tryGetText(fields, "Prefix");
  const kind = routeKinds.get(fields["Type"]);
  const shares = readShares(fields);
  if (host === undefined || prefix === undefined || kind === undefined) {
    return [];
  }
  const timeoutMs = getNumber(fields, "TimeoutMs", usualTimeoutMs);
  return [{
    name: tryGetText(fields, "Name") ?? prefix,
    host: host.toLowerCase(),
    prefix,
    kind,
    timeoutMs,
    latencyGoalMs: getNumber(fields, "GoalMs", timeoutMs),
    gapGoalMs: getNumber(fields, "GapGoalMs", 0),
    priority: getNumber(fields, "Priority", usualPriority),
    shares,
    maxTargets: getNumber(fields, "Attempts", 1),
    isPublic: fields["Public"] === true,
    isResumable: fields["Resumable"] === true,
  }];
}

/** A route names one service, or several with their weights. */
function readShares(fields: Fields): readonly RouteShare[] {
  const split = getTables(fields["Split"]).flatMap((share) => {
    const service = tryGetText(share, "Service");
    const weight = getNumber(share, "Weight", 0);
    return service === undefined || weight <= 0 ? [] : [{ service, weight }];
  });
  const service = tryGetText(fields, "Service");
  if (split.length > 0 || service === undefined) return split;
  return [{ service, weight: 1 }];
}

function readService(fields: Fields): readonly DirectService[] {
  const name = tryGetText(fields, "Name");
  if (name === undefined) return [];
  const engine = tryGetFields(fields["Engine"]);
  return [{
    name,
    maxConnections: getNumber(fields, "MaxConns", Number.POSITIVE_INFINITY),
    engine: engine === undefined ? undefined : {
      slots: getNumber(engine, "Slots", 1),
      cacheTokens: getNumber(engine, "KvCapacity", 0),
      canMigrate: engine["Moves"] === true,
    },
  }];
}

function readKeys(fields: Fields): readonly (readonly [string, KeyHolder])[] {
  const workspace = tryGetText(fields, "Name");
  if (workspace === undefined) return [];
  const priority = getNumber(fields, "Priority", usualPriority);
  return getList(fields["ApiKeys"])
    .filter((key): key is string => typeof key === "string")
    .map((key) => [key, { workspace, priority }] as const);
}
