/** The platform's store over HTTP, as the directory that routers replicate. */

import { type Either, EitherAsync, Left, Right } from "purify-ts";
import { Pool } from "undici";
import { toConnectionError } from "../connection/platform_error.ts";
import type {
  DirectoryError,
  DirectoryStore,
  Listing,
} from "../types/directory.ts";
import type { RouterPeer } from "../types/direct_target.ts";
import type { Entry, WatchEvent } from "../types/platform.ts";
import {
  type Fields,
  getList,
  getNumber,
  tryGetFields,
  tryGetText,
} from "./fields.ts";
import { decodeEntry, encodeRouter, resolveStoreKey } from "./store_records.ts";
import { storeCalls, storeKeys } from "./wire_names.ts";

/** Longest wait for an answer that needs no change, in milliseconds. */
const callTimeoutMs = 1_000;

/** Longest wait for a connection, in milliseconds. */
const connectTimeoutMs = 800;

/** Status of an answer whose history has gone. */
const historyGone = 410;

/** All keys; one watch then serves every kind of entry. */
const everyKey = "";

/** Creates the client; it connects with the first call. */
export function createStoreClient(base: string): DirectoryStore {
  const pool = new Pool(base, {
    connections: 4,
    connect: { timeout: connectTimeoutMs },
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  return {
    list: () => EitherAsync.fromPromise(() => listFrom("")),
    watch,
    announce,
    decode: decodeEntry,
    resolveKey: resolveStoreKey,
    close: () => pool.destroy(),
  };

  async function listFrom(
    after: string,
  ): Promise<Either<DirectoryError, Listing>> {
    const query = new URLSearchParams({ Prefix: everyKey });
    if (after !== "") query.set("After", after);
    const page = await call({ path: `${storeCalls.range}?${query}` });
    return page.caseOf<Promise<Either<DirectoryError, Listing>>>({
      Left: (error) => Promise.resolve(Left(error)),
      Right: readPage,
    });
  }

  /** Pages are read at different times; the first revision holds for all. */
  async function readPage(
    body: Fields,
  ): Promise<Either<DirectoryError, Listing>> {
    const items = getList(body["Items"]);
    const entries = items.flatMap(readItem);
    const revision = getNumber(body, "AsOf", 0);
    const last = tryGetText(tryGetFields(items.at(-1)) ?? {}, "Key");
    if (body["Truncated"] !== true || last === undefined) {
      return Right({ entries, revision });
    }
    const rest = await listFrom(last);
    return rest.map((more) => ({
      entries: [...entries, ...more.entries],
      revision,
    }));
  }

  function watch(
    { afterRevision, waitMs }: {
      readonly afterRevision: number;
      readonly waitMs: number;
    },
  ) {
    const query = new URLSearchParams({
      Prefix: everyKey,
      After: String(afterRevision),
      WaitMs: String(waitMs),
    });
    const result = call({
      path: `${storeCalls.watch}?${query}`,
      waitMs,
    });
    return EitherAsync.fromPromise(() => result).map((body) => ({
      events: getList(body["events"]).flatMap(readEvent),
      revision: getNumber(body, "AsOf", afterRevision),
    }));
  }

  function announce(router: RouterPeer): EitherAsync<DirectoryError, void> {
    const key = `${storeKeys.routerPrefix}${router.id}`;
    const value = Buffer.from(encodeRouter(router)).toString("base64");
    const result = call({
      path: storeCalls.write,
      body: {
        Precondition: [],
        Writes: [{ Key: key, Value: value, Lease: 0 }],
        Deletes: [],
      },
    });
    return EitherAsync.fromPromise(() => result).map(() => undefined);
  }

  async function call(
    { path, body, waitMs = 0 }: {
      readonly path: string;
      readonly body?: Fields;
      readonly waitMs?: number;
    },
  ): Promise<Either<DirectoryError, Fields>> {
    const kind = body === undefined ? "read" : "write";
    try {
      const response = await pool.request({
        method: body === undefined ? "GET" : "POST",
        path,
        signal: AbortSignal.timeout(callTimeoutMs + waitMs),
        ...(body === undefined ? {} : {
          headers: { "content-type": "application/json" },
          body: JSON.stringify(body),
        }),
      });
      const text = await response.body.text();
      return judge(response.statusCode, text);
    } catch (cause) {
      return Left(toConnectionError(cause, kind));
    }
  }
}

function judge(status: number, text: string): Either<DirectoryError, Fields> {
  if (status === historyGone) {
    return Left({ kind: "compacted", message: "The history has gone" });
  }
  const fields = status === 200 ? tryGetFields(JSON.parse(text)) : undefined;
  return fields === undefined
    ? Left({ kind: "unavailable", message: `The store answered ${status}` })
    : Right(fields);
}

function readItem(value: unknown): readonly Entry[] {
  const fields = tryGetFields(value) ?? {};
  const key = tryGetText(fields, "Key");
  const text = fields["Value"];
  if (key === undefined || typeof text !== "string") return [];
  return [{
    key,
    value: Buffer.from(text, "base64").toString("utf8"),
    revision: getNumber(fields, "Rev", 0),
  }];
}

function readEvent(value: unknown): readonly WatchEvent[] {
  const fields = tryGetFields(value) ?? {};
  const key = tryGetText(fields, "Key");
  if (key === undefined) return [];
  if (fields["Deleted"] !== true) return readItem(value);
  return [{ key, value: undefined, revision: getNumber(fields, "Rev", 0) }];
}
