/** A stand-in for the users' metadata store, over HTTP on loopback. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

interface Item {
  readonly Key: string;
  readonly Value: string;
  readonly Rev: number;
  readonly Created: number;
  readonly Lease: number;
}

type Event = Item | {
  readonly Key: string;
  readonly Rev: number;
  readonly Deleted: true;
};

/** What a call meets: `refuse` answers 503, `hang` never answers. */
export type StoreMood = "serve" | "refuse" | "hang";

/** A store that a test drives. */
export interface StoreStandIn {
  /** Host and port. */
  readonly address: string;
  put(key: string, value: unknown): void;
  remove(key: string): void;
  /** Drops the history; watches are cut. */
  compact(): void;
  setMood(mood: StoreMood): void;
  /** Paths of the calls since the start. */
  getCalls(): readonly string[];
  tryGet(key: string): string | undefined;
  close(): Promise<void>;
}

/** Items in one page of a range; small, so that pages are tested. */
const pageSize = 3;

/** Starts a store without entries. */
export async function startStore(): Promise<StoreStandIn> {
  const items = new Map<string, Item>();
  let history: Event[] = [];
  let oldestKnown = 0;
  let revision = 1;
  let mood: StoreMood = "serve";
  const calls: string[] = [];
  let watches: { readonly check: () => boolean; readonly cut: () => void }[] =
    [];
  const server = createServer((request, response) => {
    void answer(request, response);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    put,
    remove,
    compact,
    setMood,
    getCalls: () => calls,
    tryGet: (key) => {
      const value = items.get(key)?.Value;
      return value && Buffer.from(value, "base64").toString();
    },
    close,
  };

  function put(key: string, value: unknown): void {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    write(key, Buffer.from(text).toString("base64"));
  }

  function write(key: string, value: string): void {
    revision++;
    const Created = items.get(key)?.Created ?? revision;
    const item = { Key: key, Value: value, Rev: revision, Created, Lease: 0 };
    items.set(key, item);
    history.push(item);
    wake();
  }

  function remove(key: string): void {
    revision++;
    items.delete(key);
    history.push({ Key: key, Rev: revision, Deleted: true });
    wake();
  }

  function compact(): void {
    history = [];
    oldestKnown = revision;
    cutWatches();
  }

  function setMood(value: StoreMood): void {
    mood = value;
    if (mood !== "serve") cutWatches();
  }

  function cutWatches(): void {
    const cut = watches;
    watches = [];
    cut.forEach((watch) => watch.cut());
  }

  function wake(): void {
    watches = watches.filter(({ check }) => !check());
  }

  async function answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    calls.push(url.pathname);
    if (mood === "hang") return;
    if (mood === "refuse") return send(response, 503, {});
    switch (url.pathname) {
      case "/-/kv-range":
        return answerRange(url, response);
      case "/-/kv-watch":
        return answerWatch(url, response);
      case "/-/kv-txn":
        return await answerWrite(request, response);
      default:
        send(response, 404, {});
    }
  }

  function answerRange(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get("Prefix") ?? "";
    const after = url.searchParams.get("After") ?? "";
    const found = [...items.values()]
      .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
      .sort((left, right) => (left.Key < right.Key ? -1 : 1));
    send(response, 200, {
      Items: found.slice(0, pageSize),
      Truncated: found.length > pageSize,
      AsOf: revision,
    });
  }

  function answerWatch(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get("Prefix") ?? "";
    const after = Number(url.searchParams.get("After"));
    const waitMs = Number(url.searchParams.get("WaitMs"));
    if (after < oldestKnown) return send(response, 410, {});
    const timer = setTimeout(() => finish([]), waitMs);
    if (check()) return;
    watches.push({ check, cut: () => response.destroy() });
    response.on("close", () => clearTimeout(timer));

    function check(): boolean {
      const events = history.filter(({ Key, Rev }) =>
        Key.startsWith(prefix) && Rev > after
      );
      if (events.length > 0) finish(events);
      return events.length > 0;
    }

    function finish(events: readonly Event[]): void {
      clearTimeout(timer);
      send(response, 200, { events, AsOf: revision });
    }
  }

  async function answerWrite(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const { Writes } = JSON.parse(Buffer.concat(parts).toString()) as {
      readonly Writes: readonly Item[];
    };
    Writes.forEach(({ Key, Value }) => write(Key, Value));
    send(response, 200, { Rev: revision });
  }

  async function close(): Promise<void> {
    cutWatches();
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  }
}

function send(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
