/** Targets of a soak whose responses have no end, as fast as they are read. */

import { createSocket } from "node:dgram";
import { createServer, type Socket } from "node:net";
import { createDigestWriter } from "../../src/process/direct/peers/peer_digests.ts";
import { endlessResponses } from "../support/endless_peer.ts";
import type { SoakStore } from "./soak_store.ts";

/** Bytes that are written at once. */
const writeBytes = 64 * 1024;

/** Interval at which a target writes its entry, in milliseconds. */
const heartbeatMs = 400;

/** Port at the target's own address. */
const port = 7_000;

const streamHead = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
const chunkedStreamHead = streamHead.replace(
  "\r\n\r\n",
  "\r\ntransfer-encoding: chunked\r\n\r\n",
);

/** Events that follow a new one in a stream of few new events. */
const repeatsOfNewEvent = 2_000;

/** A response without end. */
interface Flood {
  readonly start: string;
  /** What follows again and again, or what follows at each turn. */
  readonly repeated: string | ((turn: number) => string);
}

/** Responses without end: what they begin with, and what they repeat. */
export const floods = {
  ...endlessResponses,
  "small events": { start: streamHead, repeated: "data: some text\n\n" },
  "empty events": { start: streamHead, repeated: "\n\n" },
  "events in chunks of their own": {
    start: chunkedStreamHead,
    repeated: "11\r\ndata: some text\n\n\r\n",
  },
  "statuses below 100": {
    start: "HTTP/1.1 20 OK\r\n\r\n",
    repeated: "HTTP/1.1 20 OK\r\n\r\n",
  },
  "a refusal": {
    start: "HTTP/1.1 503 Full\r\nx-not-run: full\r\n\r\n",
    repeated: "x".repeat(1_024),
  },
  "events of one id": { start: streamHead, repeated: "id: 1\ndata: a\n\n" },
  "events of one id behind new ones": {
    start: streamHead,
    repeated: (turn) =>
      `id: ${turn + 1}\ndata: a\n\n`.repeat(repeatsOfNewEvent),
  },
  "events of one id between comments": {
    start: streamHead,
    repeated: "id: 1\ndata: a\n\n: wait\n\n",
  },
  "lines of an event": { start: streamHead, repeated: "data: a\n" },
  "an event in chunks of one byte": {
    start: `${chunkedStreamHead}6\r\ndata: \r\n`,
    repeated: "1\r\nx\r\n",
  },
} as const satisfies Readonly<Record<string, Flood>>;

/** The form of a flood: of responses, or of datagrams to the router. */
export type FloodName = keyof typeof floods | "datagrams";

/** Datagrams that are sent in one turn of the event loop. */
const datagramsPerTurn = 100;

/** Sends digests as fast as it can; returns a function that ends this. */
export function startDatagramFlood(
  { address, port }: { readonly address: string; readonly port: number },
): () => void {
  const socket = createSocket("udp4");
  const digest = createDigestWriter("r9").write({
    ...{ position: { era: 1, revision: 1 }, isSettled: true },
    ...{ isWatching: false, storeContactMs: 0, storeAgeMs: undefined },
    ...{ storeSilentMs: 0 },
    ...{ lostEntries: 0, leaves: [], limits: [], paces: [], demands: [] },
    loads: new Map(
      Array.from(
        { length: 30 },
        (_, index) => [`t${index}`, { requests: 1, unreadTokens: 1 }] as const,
      ),
    ),
    partRates: [],
  });
  let isStopped = false;
  const send = (): void => {
    if (isStopped) return void socket.close();
    for (let count = 0; count < datagramsPerTurn; count++) {
      socket.send(digest, port, address, () => undefined);
    }
    setImmediate(send);
  };
  send();
  return () => {
    isStopped = true;
  };
}

/** A target that floods. */
export interface FloodPeer {
  /** Returns the bytes that its connections have taken. */
  getSentBytes(): number;
  close(): Promise<void>;
}

/** Starts a target of a service that floods. */
export async function startFloodPeer(
  { store, name }: {
    readonly store: SoakStore;
    readonly name: keyof typeof floods;
  },
  { id, service, address }: {
    readonly id: string;
    readonly service: string;
    readonly address: string;
  },
): Promise<FloodPeer> {
  const { start, repeated }: Flood = floods[name];
  const block = typeof repeated === "string"
    ? Buffer.from(
      repeated.repeat(Math.ceil(writeBytes / repeated.length)),
      "latin1",
    )
    : undefined;
  const sockets = new Set<Socket>();
  let sentBytes = 0;
  const server = createServer((socket) => {
    let turn = 0;
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => {
      sockets.delete(socket);
      sentBytes += socket.bytesWritten - socket.writableLength;
    });
    socket.on("data", (data) => {
      const requestId = /x-request-id: (.*)\r\n/i.exec(String(data))?.[1] ?? "";
      const identity =
        `X-Request-Id: ${requestId}\r\nX-Server-Stamp: ${id}\r\n`;
      socket.write(start.replace(/^(HTTP\/1\.1 \d+ \w+\r\n)/, `$1${identity}`));
      socket.on("drain", flood);
      flood();
    });

    function flood(): void {
      while (!socket.destroyed && socket.write(block ?? createBlock()));
    }

    function createBlock(): Buffer {
      const text = typeof repeated === "string" ? repeated : repeated(turn++);
      return Buffer.from(text, "latin1");
    }
  });
  await new Promise<void>((resolve) => server.listen(port, address, resolve));
  let sequence = 0;
  const born = Date.now();
  const heartbeat = setInterval(writeEntry, heartbeatMs);
  writeEntry();

  return { getSentBytes, close };

  function writeEntry(): void {
    store.tryPutTarget({ targetId: id, life: `${id}#1`, state: "ready" }, {
      ...{ Service: service, Address: `${address}:${port}`, Zone: "zone-a" },
      ...{ Version: "v1", Slots: 1_000, State: "ready", ColdLeftMs: 0 },
      ...{ Seq: ++sequence, born },
    });
  }

  function getSentBytes(): number {
    return [...sockets].reduce(
      (sum, socket) => sum + socket.bytesWritten - socket.writableLength,
      sentBytes,
    );
  }

  async function close(): Promise<void> {
    clearInterval(heartbeat);
    sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => server.close(resolve));
  }
}
