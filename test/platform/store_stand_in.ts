/** Stands in for the platform's metadata store, over HTTP on loopback. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import {
  type AddressInfo,
  createServer as createTcpServer,
  type Socket,
} from "node:net";

/** An entry as ranges and watches return it. */
interface Item {
  readonly Key: string;
  readonly Value: string;
  readonly Rev: number;
  readonly Created: number;
  readonly Lease: number;
}

/** A write or a removal, as a watch returns it. */
type StoreEvent = Item | {
  readonly Key: string;
  readonly Rev: number;
  readonly Deleted: true;
};

/**
 * How calls are handled: `refuse` returns 503, `hang` never responds, `reset`
 * resets the connection.
 */
export type StoreMode = "serve" | "refuse" | "hang" | "reset";

/** The items of a store at one revision. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, Item>;
  readonly revision: number;
}

/** Time between the pieces of a body that is sent slowly, in milliseconds. */
const pieceIntervalMs = 20;

/** A store that a test controls. */
export interface StoreStandIn {
  /** Host and port of the store. */
  readonly address: string;
  put(key: string, value: unknown): void;
  remove(key: string): void;
  /** Drops the history and aborts all open watches. */
  compact(): void;
  /** Returns a copy of the items, as of now. */
  copy(): StoreCopy;
  /**
   * Returns from an older copy: later changes and the history are gone, their
   * revisions are given out again, and the next era begins.
   */
  restore(copy: StoreCopy): void;
  /**
   * Sets the text of the header `Store-Era`; undefined to leave it out, `true`
   * to send the era.
   */
  setEraHeader(header: string | true | undefined): void;
  setMode(mode: StoreMode): void;
  /** Sets how fast bodies of reads are sent; infinite to send them at once. */
  setBodyRate(bytesPerMs: number): void;
  /** Listens at another loopback address; returns its host and port. */
  listen(host: string): Promise<string>;
  /**
   * Gives no responses to calls at one of the addresses, or does again. Connections
   * that were open meanwhile stay without a response for good.
   */
  setCutOff(host: string, isCutOff: boolean): void;
  /** Returns the paths of all calls since the start. */
  getCalls(): readonly string[];
  tryGet(key: string): string | undefined;
  close(): Promise<void>;
}

/** Starts an empty store. */
export async function startStore(
  { maxPageItems = 3 }: {
    /** Maximum items per page; small, so that tests read several pages. */
    readonly maxPageItems?: number;
  } = {},
): Promise<StoreStandIn> {
  const items = new Map<string, Item>();
  let era = 1;
  let eraHeader: string | true | undefined = true;
  let history: StoreEvent[] = [];
  let compactedRevision = 0;
  let revision = 1;
  let mode: StoreMode = "serve";
  let bodyBytesPerMs = Number.POSITIVE_INFINITY;
  const calls: string[] = [];
  let watches: {
    readonly trySend: () => boolean;
    readonly abort: () => void;
    readonly host: string | undefined;
  }[] = [];
  const cutOff = new Set<string | undefined>();
  const links = new Set<Socket>();
  const lostLinks = new WeakSet<Socket>();
  const closeListeners: (() => void)[] = [];
  const server = createServer((request, response) => {
    void handleRequest(request, response);
  });
  server.on("connection", (socket: Socket) => {
    links.add(socket);
    socket.on("close", () => links.delete(socket));
    if (cutOff.has(socket.localAddress)) lostLinks.add(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    put,
    remove,
    compact,
    copy: () => ({ items: new Map(items), revision }),
    restore,
    setEraHeader: (header) => {
      eraHeader = header;
    },
    setMode,
    setBodyRate: (bytesPerMs) => {
      bodyBytesPerMs = bytesPerMs;
    },
    listen,
    setCutOff,
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
    notifyWatches();
  }

  function remove(key: string): void {
    revision++;
    items.delete(key);
    history.push({ Key: key, Rev: revision, Deleted: true });
    notifyWatches();
  }

  function compact(): void {
    history = [];
    compactedRevision = revision;
    abortWatches();
  }

  function restore(copy: StoreCopy): void {
    items.clear();
    copy.items.forEach((item, key) => items.set(key, item));
    revision = copy.revision;
    era++;
    compact();
  }

  function setMode(value: StoreMode): void {
    mode = value;
    if (mode !== "serve") abortWatches();
  }

  async function listen(host: string): Promise<string> {
    const listener = createTcpServer((socket) => {
      server.emit("connection", socket);
    });
    await new Promise<void>((resolve) => listener.listen(0, host, resolve));
    closeListeners.push(() => listener.close());
    return `${host}:${(listener.address() as AddressInfo).port}`;
  }

  function setCutOff(host: string, isCutOff: boolean): void {
    if (isCutOff) cutOff.add(host);
    else cutOff.delete(host);
    for (const link of links) {
      if (isCutOff && link.localAddress === host) lostLinks.add(link);
    }
    // A watch that is cut off hears of no change, and of no end either.
    watches = watches.filter((watch) => !cutOff.has(watch.host));
  }

  function abortWatches(): void {
    const aborted = watches;
    watches = [];
    aborted.forEach((watch) => watch.abort());
  }

  function notifyWatches(): void {
    watches = watches.filter(({ trySend }) => !trySend());
  }

  async function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    calls.push(url.pathname);
    const eraText = eraHeader === true ? String(era) : eraHeader;
    if (eraText !== undefined) response.setHeader("Store-Era", eraText);
    if (mode === "hang" || lostLinks.has(request.socket)) return;
    if (mode === "reset") return void request.socket.resetAndDestroy();
    if (mode === "refuse") return sendResponse(response, 503, {});
    switch (url.pathname) {
      case "/-/kv-range":
        return handleRange(url, response);
      case "/-/kv-watch":
        return handleWatch(url, request, response);
      case "/-/kv-txn":
        return await handleWrite(request, response);
      default:
        sendResponse(response, 404, {});
    }
  }

  function handleRange(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get("Prefix") ?? "";
    const after = url.searchParams.get("After") ?? "";
    const matches = [...items.values()]
      .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
      .sort((left, right) => (left.Key < right.Key ? -1 : 1));
    sendSlowly(response, {
      Items: matches.slice(0, maxPageItems),
      Truncated: matches.length > maxPageItems,
      AsOf: revision,
    }, bodyBytesPerMs);
  }

  function handleWatch(
    url: URL,
    { socket }: IncomingMessage,
    response: ServerResponse,
  ): void {
    const prefix = url.searchParams.get("Prefix") ?? "";
    const after = Number(url.searchParams.get("After"));
    const timeoutMs = Number(url.searchParams.get("WaitMs"));
    if (after < compactedRevision || after > revision) {
      return sendResponse(response, 410, {});
    }
    const timer = setTimeout(() => finish([]), timeoutMs);
    const host = socket.localAddress;
    const watch = { host, trySend, abort: () => response.destroy() };
    if (trySend()) return;
    watches.push(watch);
    response.on("close", () => clearTimeout(timer));

    function trySend(): boolean {
      const events = history.filter(({ Key, Rev }) =>
        Key.startsWith(prefix) && Rev > after
      );
      if (events.length > 0) finish(events);
      return events.length > 0;
    }

    function finish(events: readonly StoreEvent[]): void {
      clearTimeout(timer);
      if (lostLinks.has(socket)) return;
      watches = watches.filter((other) => other !== watch);
      sendSlowly(response, { events, AsOf: revision }, bodyBytesPerMs);
    }
  }

  async function handleWrite(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const { Precondition, Writes, Deletes } = JSON.parse(
      Buffer.concat(chunks).toString(),
    ) as {
      /** Revisions that the keys must have; 0 when they must be absent. */
      readonly Precondition: readonly Pick<Item, "Key" | "Rev">[];
      readonly Writes: readonly Item[];
      readonly Deletes: readonly string[];
    };
    if (
      Precondition.some(({ Key, Rev }) => (items.get(Key)?.Rev ?? 0) !== Rev)
    ) {
      return sendResponse(response, 409, {});
    }
    Writes.forEach(({ Key, Value }) => write(Key, Value));
    Deletes.forEach(remove);
    sendResponse(response, 200, { Rev: revision });
  }

  async function close(): Promise<void> {
    abortWatches();
    closeListeners.forEach((closeListener) => closeListener());
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  }
}

function sendResponse(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** Sends a body in pieces, as over a link of a width. */
function sendSlowly(
  response: ServerResponse,
  body: unknown,
  bytesPerMs: number,
): void {
  if (!Number.isFinite(bytesPerMs)) return sendResponse(response, 200, body);
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": bytes.length,
  });
  let sent = 0;
  const timer = setInterval(sendPiece, pieceIntervalMs);
  response.on("close", () => clearInterval(timer));
  sendPiece();

  function sendPiece(): void {
    const end = sent + bytesPerMs * pieceIntervalMs;
    response.write(bytes.subarray(sent, end));
    sent = end;
    if (sent < bytes.length) return;
    clearInterval(timer);
    response.end();
  }
}
