/** Client of the platform's key-value store, as the replicated directory. */

import { type Either, EitherAsync, Left, Right } from "purify-ts";
import { Pool } from "undici";
import { readBoundedText } from "../connection/bounded_body.ts";
import { startCallTimeout } from "../connection/call_timeout.ts";
import { toConnectionError } from "../connection/platform_error.ts";
import type {
  DirectoryError,
  DirectoryStore,
  Listing,
  StoreRead,
} from "../types/directory.ts";
import type { Entry, WatchEvent } from "../types/platform.ts";
import {
  getArray,
  getNumber,
  type JsonObject,
  tryGetObject,
  tryGetString,
} from "./json_fields.ts";
import {
  decodeEntry,
  decodeEvidence,
  decodeSavedTarget,
  decodeVersions,
  encodeEvidence,
  encodeRouter,
  encodeSavedTarget,
  encodeVersions,
  resolveStoreKey,
} from "./store_records.ts";
import { createEraReader, type ResponseEra } from "./store_era.ts";
import { headerNames, storeKeys, storePaths } from "./wire_names.ts";

/**
 * Timeout until a response begins, in milliseconds; a watch adds the time it
 * waits for changes.
 */
const headTimeoutMs = 1_000;

/**
 * Timeout from the head of a response to its end, in milliseconds: long enough
 * for a large configuration over the slowest link.
 */
const bodyTimeoutMs = 3_000;

/**
 * Maximum size of a response and of all pages of a listing, in bytes: many
 * times the largest value or page of the store.
 */
const maxResponseBytes = 32 * 1024 * 1024;

/** Maximum number of pages of a listing. */
const maxPages = 500;

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 800;

/** Status of a watch whose start revision has been compacted. */
const historyCompactedStatus = 410;

/** Statuses of a write whose precondition does not hold. */
const conflictStatuses: ReadonlySet<number> = new Set([409, 412]);

/** Prefix of all keys, so that one watch covers every kind of entry. */
const allKeysPrefix = "";

/** Content of a response, the era in which it was read and its size. */
interface StoreResponse {
  readonly body: JsonObject;
  readonly era: number;
  readonly bytes: number;
}

/** What the rest of a listing may take. */
interface ListingBudget {
  readonly bytes: number;
  readonly pages: number;
}

/** Creates a client that connects on its first call. */
export function createStoreClient(baseUrl: string): DirectoryStore {
  const poolOptions = {
    connections: 4,
    connect: { timeout: connectTimeoutMs },
    headersTimeout: 0,
    bodyTimeout: 0,
  };
  const pool = new Pool(baseUrl, poolOptions);
  // The store names no call in its responses. On a kept connection a late copy
  // of one would be taken for the success of the next write.
  const writePool = new Pool(baseUrl, { ...poolOptions, pipelining: 0 });
  const eraReader = createEraReader();
  let handleRead: (read: StoreRead) => void = () => undefined;

  return {
    list: () =>
      EitherAsync.fromPromise(() =>
        listAfter("", { bytes: maxResponseBytes, pages: maxPages })
      ),
    watch,
    getEra: eraReader.getNewest,
    onEraFault: eraReader.onFault,
    onRead: (handler) => {
      handleRead = handler;
    },
    announce: (router) =>
      change({
        [`${storeKeys.routerPrefix}${router.id}`]: encodeRouter(router),
      }),
    saveEvidence: (evidence) =>
      change({
        [`${storeKeys.evidencePrefix}${evidence.key}`]: encodeEvidence(
          evidence,
        ),
      }),
    removeEvidence: (key) =>
      change({ [`${storeKeys.evidencePrefix}${key}`]: undefined }),
    decodeEvidence,
    saveVersions: (versions, expectedRevision) =>
      change({
        [`${storeKeys.versionsPrefix}${versions.service}`]: encodeVersions(
          versions,
        ),
      }, expectedRevision),
    removeVersions: (service, expectedRevision) =>
      change(
        { [`${storeKeys.versionsPrefix}${service}`]: undefined },
        expectedRevision,
      ),
    decodeVersions,
    saveTargets: ({ saved, removed }) =>
      change(Object.fromEntries([
        ...saved.map((target) =>
          [
            `${storeKeys.savedTargetPrefix}${target.id}`,
            encodeSavedTarget(target),
          ] as const
        ),
        ...removed.map((id) =>
          [`${storeKeys.savedTargetPrefix}${id}`, undefined] as const
        ),
      ])),
    decodeSavedTarget,
    decode: decodeEntry,
    resolveKey: resolveStoreKey,
    close: async () => {
      await Promise.all([pool.destroy(), writePool.destroy()]);
    },
  };

  /** Lists the entries after a key; an empty key lists all entries. */
  async function listAfter(
    after: string,
    budget: ListingBudget,
  ): Promise<Either<DirectoryError, Listing>> {
    if (budget.pages === 0) return Left(createListingError());
    const query = new URLSearchParams({ Prefix: allKeysPrefix });
    if (after !== "") query.set("After", after);
    const page = await call({
      name: "list",
      path: `${storePaths.range}?${query}`,
      maxBytes: budget.bytes,
    });
    return page.caseOf<Promise<Either<DirectoryError, Listing>>>({
      Left: (error) => Promise.resolve(Left(error)),
      Right: (response) =>
        isPageAfter(response.body, after)
          ? readPages(response, {
            bytes: budget.bytes - response.bytes,
            pages: budget.pages - 1,
          })
          : Promise.resolve(Left(createCopyError())),
    });
  }

  /**
   * Decodes a page (`Items` read at revision `AsOf`) and reads those after it.
   * Pages are read at different times, so the listing has the revision of the
   * first: later changes are then not missed. Pages of different eras do not
   * belong together.
   */
  async function readPages(
    { body, era }: StoreResponse,
    budget: ListingBudget,
  ): Promise<Either<DirectoryError, Listing>> {
    const items = getArray(body["Items"]);
    const entries = items.flatMap(decodeItem);
    const position = { era, revision: getNumber(body, "AsOf", 0) };
    const lastKey = tryGetString(tryGetObject(items.at(-1)) ?? {}, "Key");
    if (body["Truncated"] !== true || lastKey === undefined) {
      return Right({ entries, position });
    }
    const nextPages = await listAfter(lastKey, budget);
    return nextPages.chain<DirectoryError, Listing>((next) =>
      next.position.era === era
        ? Right({ entries: [...entries, ...next.entries], position })
        : Left(createOutdatedError(era))
    );
  }

  function watch(
    { afterRevision, waitMs }: {
      readonly afterRevision: number;
      readonly waitMs: number;
    },
  ) {
    const query = new URLSearchParams({
      Prefix: allKeysPrefix,
      After: String(afterRevision),
      WaitMs: String(waitMs),
    });
    const eraBefore = eraReader.getNewest();
    const result = call({
      name: "watch",
      path: `${storePaths.watch}?${query}`,
      waitMs,
    });
    return EitherAsync.fromPromise(() => result).chain(({ body, era }) => {
      const revision = getNumber(body, "AsOf", afterRevision);
      // A late copy of the response to an earlier watch on this connection.
      const isCopy = era === eraBefore && revision < afterRevision;
      return EitherAsync.liftEither(
        isCopy ? Left(createCopyError()) : Right({
          events: getArray(body["events"]).flatMap(decodeEvent),
          position: { era, revision },
        }),
      );
    });
  }

  /**
   * Writes values by key; removes keys without one. With an expected revision
   * only if all keys have it; 0 when they must be absent.
   */
  function change(
    values: Readonly<Record<string, string | undefined>>,
    expectedRevision?: number,
  ): EitherAsync<DirectoryError, void> {
    const entries = Object.entries(values);
    const result = call({
      name: "write",
      path: storePaths.write,
      body: {
        Precondition: expectedRevision === undefined
          ? []
          : entries.map(([Key]) => ({ Key, Rev: expectedRevision })),
        Writes: entries.flatMap(([Key, value]) =>
          value === undefined
            ? []
            : [{ Key, Value: Buffer.from(value).toString("base64"), Lease: 0 }]
        ),
        Deletes: entries.flatMap(([key, value]) =>
          value === undefined ? [key] : []
        ),
      },
    });
    return EitherAsync.fromPromise(() => result).map(() => undefined);
  }

  async function call(
    { name, path, body, waitMs = 0, maxBytes = maxResponseBytes }: {
      readonly name: StoreRead["call"];
      readonly path: string;
      readonly body?: JsonObject;
      readonly waitMs?: number;
      readonly maxBytes?: number;
    },
  ): Promise<Either<DirectoryError, StoreResponse>> {
    const kind = body === undefined ? "read" : "write";
    const timeout = startCallTimeout({
      headMs: headTimeoutMs + waitMs,
      bodyMs: bodyTimeoutMs,
    });
    let headAt: number | undefined;
    let bytes = 0;
    let isComplete = false;
    try {
      const callPool = body === undefined ? pool : writePool;
      const response = await callPool.request({
        method: body === undefined ? "GET" : "POST",
        path,
        signal: timeout.signal,
        ...(body === undefined ? {} : {
          headers: { "content-type": "application/json" },
          body: JSON.stringify(body),
        }),
      });
      timeout.recordHead();
      headAt = performance.now();
      const era = eraReader.read(response.headers[headerNames.storeEra]);
      const text = await readBoundedText(response.body, {
        maxBytes,
        onChunk: (length) => {
          bytes += length;
        },
      });
      isComplete = true;
      return parseResponse(response.statusCode, text, era);
    } catch (cause) {
      return Left(toConnectionError(cause, kind));
    } finally {
      timeout.clear();
      if (headAt !== undefined) {
        const bodyMs = performance.now() - headAt;
        handleRead({ call: name, bytes, bodyMs, isComplete });
      }
    }
  }
}

function parseResponse(
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
  const fields = status === 200 ? tryGetObject(JSON.parse(text)) : undefined;
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
function isPageAfter(body: JsonObject, after: string): boolean {
  const [first] = getArray(body["Items"]);
  const key = tryGetString(tryGetObject(first) ?? {}, "Key");
  return key === undefined || after === "" || key > after;
}

function createCopyError(): DirectoryError {
  return {
    kind: "unavailable",
    message: "The response is one to an earlier call",
  };
}

function createListingError(): DirectoryError {
  return {
    kind: "unavailable",
    message: `The listing has more than ${maxPages} pages`,
  };
}

function createOutdatedError(era: number): DirectoryError {
  return {
    kind: "outdated",
    message: `The store responded in era ${era}, which has ended or is unclear`,
  };
}

/** Decodes a stored entry; `Value` is base64 and `Rev` its revision. */
function decodeItem(value: unknown): readonly Entry[] {
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
function decodeEvent(value: unknown): readonly WatchEvent[] {
  const fields = tryGetObject(value) ?? {};
  const key = tryGetString(fields, "Key");
  if (key === undefined) return [];
  if (fields["Deleted"] !== true) return decodeItem(value);
  return [{ key, value: undefined, revision: getNumber(fields, "Rev", 0) }];
}
