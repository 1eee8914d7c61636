/** Decodes store entries into directory records. */

import { isIPv4 } from "node:net";
import { Either, Left, Right } from "purify-ts";
import type { DirectTarget, RouterPeer } from "../types/direct_target.ts";
import type {
  DirectoryRecord,
  DirectoryStore,
  NamedVersion,
  RecordKey,
  SavedEvidence,
  SavedVersions,
} from "../types/directory.ts";
import type { Entry } from "../types/platform.ts";
import { maxCount, tryGetEpochMs } from "../types/stated_numbers.ts";
import {
  getArray,
  getNumber,
  type JsonObject,
  tryGetObject,
  tryGetString,
} from "./json_fields.ts";
import { decodeRouteTable } from "./route_table_codec.ts";
import { storeKeys } from "./wire_names.ts";

const maxPort = 65_535;

/** States of targets by their names in the store. */
const targetStates: ReadonlyMap<unknown, DirectTarget["state"]> = new Map([
  ["ready", "ready"],
  ["draining", "draining"],
]);

/** Returns kind and id of the record under a key; undefined for other keys. */
export function resolveStoreKey(key: string): RecordKey | undefined {
  for (const kind of ["target", "router", "evacuation"] as const) {
    const prefix = storeKeys[`${kind}Prefix`];
    if (key.startsWith(prefix)) return { kind, id: key.slice(prefix.length) };
  }
  return undefined;
}

/** Decodes an entry; an invalid value gives an `unreadable` record. */
export function decodeEntry(entry: Entry): DirectoryRecord {
  // An error that nobody expected is a fault of this entry alone.
  return Either.encase(() => decodeContent(entry)).caseOf<DirectoryRecord>({
    Left: ({ message }) => ({ kind: "unreadable", reason: message }),
    Right: (record) => record,
  });
}

function decodeContent({ key, value }: Entry): DirectoryRecord {
  const recordKey = resolveStoreKey(key);
  if (key !== storeKeys.routeTable && recordKey === undefined) {
    return { kind: "other" };
  }
  if (recordKey?.kind === "evacuation") return decodeEvacuation(recordKey.id);
  const record = parseObject(value).chain<string, DirectoryRecord>((fields) =>
    recordKey === undefined
      ? decodeRouteTable(fields).map((table) => ({
        kind: "route_table",
        table,
      }))
      : recordKey.kind === "target"
      ? decodeTarget(recordKey.id, fields).map((target) => ({
        kind: "target",
        target,
      }))
      : decodeRouter(recordKey.id, fields).map((router) => ({
        kind: "router",
        router,
      }))
  );
  return record.caseOf<DirectoryRecord>({
    Left: (reason) => ({ kind: "unreadable", reason }),
    Right: (value) => value,
  });
}

/** Decodes an evacuation, which rests on its key alone. */
function decodeEvacuation(zone: string): DirectoryRecord {
  return zone === ""
    ? { kind: "unreadable", reason: "The evacuation names no zone" }
    : { kind: "evacuation", zone };
}

/** Encodes the value of the entry by which a router announces itself. */
export function encodeRouter(router: RouterPeer): string {
  return JSON.stringify(router);
}

/** Encodes the value of an entry about crashes. */
export function encodeEvidence(evidence: SavedEvidence): string {
  return JSON.stringify(evidence);
}

/** Decodes an entry about crashes; undefined for other entries. */
export function decodeEvidence(
  { key, value }: Entry,
): ReturnType<DirectoryStore["decodeEvidence"]> {
  const prefix = storeKeys.evidencePrefix;
  if (!key.startsWith(prefix)) return undefined;
  const name = key.slice(prefix.length);
  const evidence = parseObject(value).caseOf({
    Left: () => undefined,
    Right: (fields): SavedEvidence => ({
      key: name,
      generation: getNumber(fields, "generation", 0),
      lives: getArray(fields["lives"]).filter((life): life is number =>
        typeof life === "number"
      ),
      trials: getNumber(fields, "trials", 0),
      expiresAtMs: Math.min(
        Math.round(getNumber(fields, "expiresAtMs", 0)),
        Date.now() + maxCount,
      ),
    }),
  });
  return { key: name, evidence: evidence && keepIfSendable(evidence) };
}

/** Returns evidence that digests can carry; undefined for any other. */
function keepIfSendable(evidence: SavedEvidence): SavedEvidence | undefined {
  const { generation, trials, lives } = evidence;
  const isSendable = [generation, trials, ...lives].every((value) =>
    Number.isInteger(value) && value >= 0 && value <= maxCount
  );
  return isSendable ? evidence : undefined;
}

/** Encodes the value of the entry with the versions of a service. */
export function encodeVersions(
  { era, routes, completeSinceMs, versions }: SavedVersions,
): string {
  return JSON.stringify({ era, routes, completeSinceMs, versions });
}

/** Decodes the versions of a service; undefined for other entries. */
export function decodeVersions(
  { key, value }: Entry,
): ReturnType<DirectoryStore["decodeVersions"]> {
  const prefix = storeKeys.versionsPrefix;
  if (!key.startsWith(prefix)) return undefined;
  const service = key.slice(prefix.length);
  const versions = parseObject(value).toMaybe().extractNullable();
  return {
    service,
    versions: versions === null
      ? undefined
      : decodeVersionFields(service, versions),
  };
}

function decodeVersionFields(
  service: string,
  fields: JsonObject,
): SavedVersions | undefined {
  const era = getNumber(fields, "era", -1);
  const completeSinceMs = getNumber(fields, "completeSinceMs", -1);
  const { routes, versions: values } = fields;
  if (era < 0 || completeSinceMs < 0 || typeof routes !== "string") {
    return undefined;
  }
  if (!Array.isArray(values)) return undefined;
  const versions = values.flatMap(decodeNamedVersion);
  // A record that lacks a version would be taken for a complete one.
  if (versions.length !== values.length) return undefined;
  return { service, era, routes, completeSinceMs, versions };
}

function decodeNamedVersion(value: unknown): readonly NamedVersion[] {
  const { softwareVersion, goneSinceMs, namedSinceMs } = tryGetObject(value) ??
    {};
  const isValid = typeof softwareVersion === "string" &&
    [goneSinceMs, namedSinceMs].every((time) =>
      time === undefined || Number.isFinite(time)
    );
  return isValid
    ? [{
      softwareVersion,
      goneSinceMs: goneSinceMs as number | undefined,
      namedSinceMs: namedSinceMs as number | undefined,
    }]
    : [];
}

/** Encodes the value of the entry of a saved target, as targets write theirs. */
export function encodeSavedTarget(target: DirectTarget): string {
  return JSON.stringify({
    Service: target.service,
    Address: target.address,
    Zone: target.zone,
    Version: target.softwareVersion,
    Slots: target.slots,
    State: target.state,
    born: target.startedAtMs,
  });
}

/** Decodes the entry of a saved target; undefined for other entries. */
export function decodeSavedTarget(
  { key, value }: Entry,
): ReturnType<DirectoryStore["decodeSavedTarget"]> {
  const prefix = storeKeys.savedTargetPrefix;
  if (!key.startsWith(prefix)) return undefined;
  const id = key.slice(prefix.length);
  const target = parseObject(value)
    .chain((fields) => decodeTarget(id, fields))
    .toMaybe().extractNullable() ?? undefined;
  return { id, target };
}

function parseObject(text: string): Either<string, JsonObject> {
  return Either.encase(() => tryGetObject(JSON.parse(text)))
    .mapLeft((error) => error.message)
    .chain((fields) =>
      fields === undefined ? Left("The value is not an object") : Right(fields)
    );
}

/**
 * Decodes a target's registration. `ColdLeftMs` is how long the target stays
 * slow after its start, `born` when its process started, in epoch milliseconds,
 * `Version` that of its software.
 */
function decodeTarget(
  id: string,
  fields: JsonObject,
): Either<string, DirectTarget> {
  const service = tryGetString(fields, "Service");
  const address = tryGetString(fields, "Address");
  const state = targetStates.get(fields["State"]);
  const slots = fields["Slots"];
  if (service === undefined || address === undefined || state === undefined) {
    return Left(
      "Service, address or state of the target is missing or invalid",
    );
  }
  if (!isSocketAddress(address) || !isSlotCount(slots)) {
    return Left("Address or slots of the target are invalid");
  }
  return Right({
    id,
    service,
    address,
    state,
    slots,
    zone: tryGetString(fields, "Zone") ?? "",
    warmUpLeftMs: decodeWarmUpLeft(fields["ColdLeftMs"]),
    softwareVersion: tryGetString(fields, "Version") ?? "",
    startedAtMs: tryGetEpochMs(fields["born"]) ?? 0,
  });
}

/** Decodes a number of milliseconds; NaN when it is not a number. */
function decodeWarmUpLeft(value: unknown = 0): number {
  return typeof value === "number" ? value : Number.NaN;
}

function decodeRouter(
  id: string,
  fields: JsonObject,
): Either<string, RouterPeer> {
  const address = tryGetString(fields, "address");
  const digestPort = getNumber(fields, "digestPort", 0);
  const pullPort = getNumber(fields, "pullPort", 0);
  const arePorts = isPort(digestPort) && (pullPort === 0 || isPort(pullPort));
  return address === undefined || !arePorts
    ? Left("Address or port of the router is missing or invalid")
    : Right({ id, address, digestPort, pullPort });
}

function isSlotCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) > 0 &&
    Number(value) <= maxCount;
}

function isSocketAddress(text: string): boolean {
  const [host = "", port, ...rest] = text.split(":");
  return isIPv4(host) && /^\d+$/.test(port ?? "") && isPort(Number(port)) &&
    rest.length === 0;
}

function isPort(value: number): boolean {
  return Number.isInteger(value) && value > 0 && value <= maxPort;
}
