/** Client of the platform's key-value store, as the replicated directory. */

import { type Either, EitherAsync, Left, Right } from "purify-ts";
import { readBoundedText } from "../connection/bounded_body.ts";
import { startCallTimeout } from "../connection/call_timeout.ts";
import { createHttpPool } from "../connection/http_pool.ts";
import { toConnectionError } from "../connection/platform_error.ts";
import { createRenewedPool } from "../connection/renewed_pool.ts";
import type {
  Changes,
  DirectoryError,
  DirectoryStore,
  Listing,
  ListOptions,
  StoreRead,
  UrgentKind,
  WatchOptions,
} from "../types/directory.ts";
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
import { startRead } from "./store_read.ts";
import { createEraReader } from "./store_era.ts";
import {
  createCopyError,
  createOutdatedError,
  createUselessError,
  decodeEvent,
  decodeItem,
  isPageAfter,
  parseResponse,
  type StoreResponse,
} from "./store_responses.ts";
import { headerNames, storeKeys, storePaths } from "./wire_names.ts";

/**
 * Timeout until a response begins, in milliseconds; a watch adds the time it
 * waits for changes.
 */
const headTimeoutMs = 1_000;

/** Timeout for the next piece of a body, in milliseconds. */
const bodySilenceMs = 1_500;

/**
 * Timeout from the head of a response to its end, in milliseconds. A link that is
 * slow and busy takes seconds for a large configuration; a read that is given up
 * before its end has to begin again.
 */
const bodyTimeoutMs = 15_000;

/**
 * Maximum size of a response and of all pages of a listing, in bytes: many
 * times the largest value of the store.
 */
const maxResponseBytes = 32 * 1024 * 1024;

/**
 * Maximum size of a page, in bytes. The store ends one at a megabyte, and its largest
 * value takes 1.4 MB as base64.
 */
const maxPageBytes = 12 * 1024 * 1024;

/** Maximum number of pages of a listing. */
const maxPages = 500;

/** Status of a response with what was read; others refuse the call. */
const successStatus = 200;

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 800;

/** Prefix of all keys, so that one watch covers every kind of entry. */
const allKeysPrefix = "";

/** Prefixes of the kinds of entries that are also read by themselves. */
const urgentPrefixes: Readonly<Record<UrgentKind, string>> = {
  evacuation: storeKeys.evacuationPrefix,
  target: storeKeys.targetPrefix,
};

/** A call to the store; without a body it reads. */
interface StoreCall extends Pick<WatchOptions, "onHead" | "onLongBody"> {
  readonly name: StoreRead["call"];
  readonly path: string;
  readonly body?: JsonObject;
  /** Time for which the store may hold the call, in milliseconds. */
  readonly waitMs?: number;
  readonly maxBytes?: number;
  /** Size of a body above which it is not read, in bytes. */
  readonly maxUsefulBytes?: number;
}

/** What the rest of a listing may take. */
interface ListingBudget {
  readonly bytes: number;
  readonly pages: number;
}

/** Creates a client that connects on its first call. */
export function createStoreClient(baseUrl: string): DirectoryStore {
  const poolOptions = { connections: 4, connectTimeoutMs };
  const pool = createRenewedPool(() => createHttpPool(baseUrl, poolOptions));
  // The store names no call in its responses. On a kept connection a late copy
  // of one would be taken for the success of the next write.
  const writePool = createRenewedPool(() =>
    createHttpPool(baseUrl, { ...poolOptions, isFresh: true })
  );
  const eraReader = createEraReader();
  let handleRead: (read: StoreRead) => void = () => undefined;

  return {
    list: (options = {}) =>
      EitherAsync.fromPromise(() =>
        listAfter("", options, { bytes: maxResponseBytes, pages: maxPages })
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
    options: ListOptions,
    budget: ListingBudget,
  ): Promise<Either<DirectoryError, Listing>> {
    if (budget.pages === 0) return Left(createListingError());
    const query = new URLSearchParams({ Prefix: getPrefix(options) });
    if (after !== "") query.set("After", after);
    const page = await call({
      name: "list",
      path: `${storePaths.range}?${query}`,
      maxBytes: Math.min(maxPageBytes, budget.bytes),
      ...{ onHead: options.onHead, onLongBody: options.onLongBody },
    });
    return page.caseOf<Promise<Either<DirectoryError, Listing>>>({
      Left: (error) => Promise.resolve(Left(error)),
      Right: (response) =>
        isPageAfter(response.body, after)
          ? readPages(response, options, {
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
    options: ListOptions,
    budget: ListingBudget,
  ): Promise<Either<DirectoryError, Listing>> {
    const items = getArray(body["Items"]);
    const entries = items.flatMap(decodeItem);
    const position = { era, revision: getNumber(body, "AsOf", 0) };
    const lastKey = tryGetString(tryGetObject(items.at(-1)) ?? {}, "Key");
    if (body["Truncated"] !== true || lastKey === undefined) {
      return Right({ entries, position });
    }
    const nextPages = await listAfter(lastKey, options, budget);
    return nextPages.chain<DirectoryError, Listing>((next) =>
      next.position.era === era
        ? Right({ entries: [...entries, ...next.entries], position })
        : Left(createOutdatedError(era))
    );
  }

  function watch(
    options: WatchOptions,
  ): EitherAsync<DirectoryError, Changes> {
    const { afterRevision, waitMs, kind, maxBytes = Infinity } = options;
    const query = new URLSearchParams({
      Prefix: getPrefix({ kind }),
      After: String(afterRevision),
      WaitMs: String(waitMs),
    });
    const eraBefore = eraReader.getNewest();
    const result = call({
      name: "watch",
      path: `${storePaths.watch}?${query}`,
      waitMs,
      ...{ onHead: options.onHead, onLongBody: options.onLongBody },
      maxUsefulBytes: maxBytes,
    });
    return EitherAsync.fromPromise(() => result).chain(({ body, era }) => {
      const revision = getNumber(body, "AsOf", afterRevision);
      // A late copy of the response to an earlier watch on this connection.
      const isCopy = era === eraBefore && revision < afterRevision;
      return EitherAsync.liftEither<DirectoryError, Changes>(
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
    request: StoreCall,
  ): Promise<Either<DirectoryError, StoreResponse>> {
    const { name, path, body, waitMs = 0, onHead, onLongBody } = request;
    const { maxBytes = maxResponseBytes, maxUsefulBytes = Infinity } = request;
    const kind = body === undefined ? "read" : "write";
    const timeout = startCallTimeout({
      headMs: headTimeoutMs + waitMs,
      bodyMs: bodyTimeoutMs,
      bodySilenceMs,
    });
    const read = startRead(name, onLongBody);
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
      if (response.statusCode === successStatus) onHead?.();
      const bodyBytes = Number(response.headers["content-length"] ?? 0);
      if (bodyBytes > maxUsefulBytes) {
        response.body.on("error", () => undefined).destroy();
        return Left(createUselessError(bodyBytes));
      }
      read.recordHead(bodyBytes);
      const era = eraReader.read(response.headers[headerNames.storeEra]);
      const text = await readBoundedText(response.body, {
        maxBytes: Math.min(maxBytes, maxUsefulBytes),
        onChunk: (bytes) => {
          timeout.recordPiece();
          read.recordPiece(bytes);
        },
      });
      read.recordEnd();
      return parseResponse(response.statusCode, text, era);
    } catch (cause) {
      const bytes = read.getBytes();
      return Left(
        bytes > maxUsefulBytes
          ? createUselessError(bytes)
          : toConnectionError(cause, kind),
      );
    } finally {
      timeout.clear();
      const result = read.clear();
      if (result !== undefined) handleRead(result);
    }
  }
}

function getPrefix({ kind }: ListOptions): string {
  return kind === undefined ? allKeysPrefix : urgentPrefixes[kind];
}

function createListingError(): DirectoryError {
  return {
    kind: "unavailable",
    message: `The listing has more than ${maxPages} pages`,
  };
}
