/** Checks and decodes the responses of the store. */

import { type Either, Left, Right } from "purify-ts";
import { parseBoundedJson } from "../connection/bounded_json.ts";
import type { DirectoryError } from "../types/directory.ts";
import type { Entry, WatchEvent } from "../types/platform.ts";
import {
  getArray,
  getNumber,
  type JsonObject,
  tryGetObject,
  tryGetString,
} from "./json_fields.ts";
import type { ResponseEra } from "./store_era.ts";

/** Status of a watch whose start revision has been compacted. */
const historyCompactedStatus = 410;

/** Statuses of a write whose precondition does not hold. */
const conflictStatuses: ReadonlySet<number> = new Set([409, 412]);

/** Content of a response, the era in which it was read and its size. */
export interface StoreResponse {
  readonly body: JsonObject;
  readonly era: number;
  readonly bytes: number;
}

/** Returns the content of a response with its size, or the error that it tells. */
export function parseResponse(
  status: number,
  text: string,
  { era, isOutdated }: ResponseEra,
): Either<DirectoryError, StoreResponse> {
  if (isOutdated) return Left(createOutdatedError(era));
  if (conflictStatuses.has(status)) {
    return Left({
      kind: "conflict",
      message: "The entry has another revision",
    });
  }
  if (status === historyCompactedStatus) {
    return Left({
      kind: "compacted",
      message: "The store's history was compacted",
    });
  }
  const fields = status === 200
    ? tryGetObject(parseBoundedJson(text))
    : undefined;
  if (fields === undefined) {
    return Left({
      kind: "unavailable",
      message: `The store responded with status ${status}`,
    });
  }
  return hasRevisions(fields)
    ? Right({ body: fields, era, bytes: Buffer.byteLength(text) })
    : Left({
      kind: "unavailable",
      message: "The store responded with a revision that is none",
    });
}

/** Returns true when all revisions are numbers that digests can carry. */
function hasRevisions(fields: JsonObject): boolean {
  const items = [...getArray(fields["Items"]), ...getArray(fields["events"])];
  const revisions = items.map((item) => tryGetObject(item)?.["Rev"]);
  return [fields["AsOf"], ...revisions].every((revision) =>
    typeof revision !== "number" ||
    (Number.isSafeInteger(revision) && revision >= 0)
  );
}

/** Returns false for a late copy of an earlier page. */
export function isPageAfter(body: JsonObject, after: string): boolean {
  const [first] = getArray(body["Items"]);
  const key = tryGetString(tryGetObject(first) ?? {}, "Key");
  return key === undefined || after === "" || key > after;
}

/** Creates the error of a late copy of an earlier response. */
export function createCopyError(): DirectoryError {
  return {
    kind: "unavailable",
    message: "The response is one to an earlier call",
  };
}

/** Creates the error of changes that are larger than a listing. */
export function createUselessError(bytes: number): DirectoryError {
  return {
    kind: "compacted",
    message: `The changes take ${bytes} bytes, more than all entries`,
  };
}

/** Creates the error of a response whose era cannot be used. */
export function createOutdatedError(era: number): DirectoryError {
  return {
    kind: "outdated",
    message: `The store responded in era ${era}, which has ended or is unclear`,
  };
}

/** Decodes a stored entry; `Value` is base64 and `Rev` its revision. */
export function decodeItem(value: unknown): readonly Entry[] {
  const fields = tryGetObject(value) ?? {};
  const key = tryGetString(fields, "Key");
  const text = fields["Value"];
  if (key === undefined || typeof text !== "string") return [];
  return [{
    key,
    value: Buffer.from(text, "base64").toString("utf8"),
    revision: getNumber(fields, "Rev", 0),
  }];
}

/** Decodes a change; a removal has `Deleted` set and no value. */
export function decodeEvent(value: unknown): readonly WatchEvent[] {
  const fields = tryGetObject(value) ?? {};
  const key = tryGetString(fields, "Key");
  if (key === undefined) return [];
  if (fields["Deleted"] !== true) return decodeItem(value);
  return [{ key, value: undefined, revision: getNumber(fields, "Rev", 0) }];
}
