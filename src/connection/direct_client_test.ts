import { type AddressInfo, createServer, type Socket } from "node:net";
import { createSeededRandom } from "../../test/support/seeded_random.ts";
import { createSilentLog } from "../process/telemetry/log.ts";
import type { DirectCall, DirectResult } from "../types/direct_calls.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import {
  createDirectClient,
  type DirectClient,
  type TargetCodec,
} from "./direct_client.ts";

/** A codec that accepts every response without another request's id. */
const codec: TargetCodec = {
  encodeHeaders: ({ requestId, deadlineMs }) => [
    ...["x-request-id", requestId],
    ...["deadline", String(Math.floor(deadlineMs))],
  ],
  decodeHead: (status, headers, { requestId }) => {
    const id = headers.find(({ name }) => name === "x-request-id")?.value;
    return id !== undefined && id !== requestId
      ? { kind: "spoiled", reason: "other id" }
      : {
        kind: "head",
        head: {
          ...{ status, headers, isEventStream: false },
          ...{ length: undefined, load: undefined },
        },
      };
  },
  decodeNotice: (_status, headers) => ({
    isLeaving: headers.some(({ name }) => name === "leaving"),
    pause: { kind: "none" },
    limit: { kind: "none" },
    warmUp: { kind: "untold" },
  }),
  partsPath: "/parts",
  decodeParts: () => [],
};

const head = "HTTP/1.1 200 OK\r\n";

describe("direct client", () => {
  describe("a request that waits for a connection", () => {
    for (const needsFreshConnection of [false, true]) {
      const kind = needsFreshConnection ? "fresh" : "persistent";
      it(`is withheld once the target is on hold, ${kind}`, async () => {
        const { results, requests } = await sendTwoToLeaving({
          needsFreshConnection,
        });
        expect(results.map(({ kind }) => kind)).toEqual(["answer", "withheld"]);
        expect(requests).toBe(1);
      });
    }

    it("for the list of cached parts is withheld too", async () => {
      const { parts, requests } = await sendTwoToLeaving({ listsParts: true });
      expect(parts).toBeUndefined();
      expect(requests).toBe(1);
    });
  });

  it("withholds a request that copies from a held address", async () => {
    let requests = 0;
    const server = createServer((socket) => {
      socket.on("data", () => requests++);
    });
    const port = await listen(server);
    const client = createDirectClient({
      ...{ codec, log: createSilentLog(), getMaxConnections: () => 1 },
      tryGetHold: (_target, from) => from === "held" ? "evacuated" : undefined,
      handleNotice: () => undefined,
      onLimitExceeded: () => undefined,
    });
    const call = { ...createCall(port, false), fetchFrom: "held" };
    expect(await client.send(call))
      .toEqual({ kind: "withheld", hold: "evacuated" });
    expect(requests).toBe(0);
    await client.close();
    server.close();
  });

  // It counted as sent, though the library writes no aborted call.
  it("withholds a call that is aborted while its connection opens", async () => {
    let requests = 0;
    const server = createServer((socket) => {
      socket.on("data", () => requests++);
    });
    const port = await listen(server);
    const client = createDirectClient({
      ...{ codec, log: createSilentLog(), getMaxConnections: () => 1 },
      tryGetHold: () => undefined,
      handleNotice: () => undefined,
      onLimitExceeded: () => undefined,
    });
    const controller = new AbortController();
    const tryGetHold = jest.fn(() => undefined);
    const recordSent = jest.fn();
    const { signal } = controller;
    const call = { ...createCall(port, true), tryGetHold, recordSent, signal };
    const result = client.send(call);
    await Promise.resolve();
    controller.abort();
    expect(await result).toEqual({ kind: "withheld", hold: "late" });
    expect(tryGetHold).not.toHaveBeenCalled();
    expect(recordSent).not.toHaveBeenCalled();
    expect(requests).toBe(0);
    await client.close();
    server.close();
  });

  describe("a request that waits for the only connection", () => {
    for (const needsFreshConnection of [false, true]) {
      const kind = needsFreshConnection ? "fresh" : "persistent";
      // Its target was given the time that it had waited again.
      it(`is sent with the time left after the wait, ${kind}`, async () => {
        const { heads } = await sendTwoInTurn({ needsFreshConnection });
        expect(heads.length).toBe(2);
        expect(getDeadlineMs(heads[1] ?? "")).toBeLessThanOrEqual(800);
      });

      it(`is recorded as sent when it is sent, ${kind}`, async () => {
        const sent = await sendTwoInTurn({ needsFreshConnection });
        expect(sent.secondSentAtHeads).toEqual([1]);
        const aborted = await sendTwoInTurn({
          needsFreshConnection,
          abortsQueued: true,
        });
        expect(aborted.secondSentAtHeads).toEqual([]);
      });

      // It ended only when the connection was free.
      it(`ends when it is aborted, ${kind}`, async () => {
        const { queued, heads } = await sendTwoInTurn({
          needsFreshConnection,
          abortsQueued: true,
        });
        expect(queued?.kind).toBe("withheld");
        expect(heads.length).toBe(1);
      });
    }
  });

  // Each kind of connection had the whole limit, as it was at the first request.
  describe("connections to one target", () => {
    it("are limited together", async () => {
      const { most } = await sendMany({
        getMaxConnections: () => 2,
        freshRequests: 3,
        persistentRequests: 3,
      });
      expect(most).toBe(2);
    });

    it("keep to a limit that was lowered later", async () => {
      let isFirst = true;
      const { most } = await sendMany({
        getMaxConnections: () => {
          const limit = isFirst ? 6 : 2;
          isFirst = false;
          return limit;
        },
        freshRequests: 0,
        persistentRequests: 6,
      });
      expect(most).toBe(2);
    });
  });

  describe("a request to which another's response arrives", () => {
    // The target went on with a request that was sent elsewhere meanwhile.
    it("loses its connection", async () => {
      const { kinds, isClosed } = await sendAfterExtraResponse([2], {
        respondsLate: false,
      });
      expect(kinds).toEqual(["answer", "spoiled"]);
      expect(isClosed).toBe(true);
    });

    // Each response was taken for that of the next request, without end.
    it("spoils none of the requests after it", async () => {
      const { kinds } = await sendAfterExtraResponse([2, 3, 4, 5], {
        respondsLate: true,
      });
      const [spoiled, ...later] = kinds.slice(1);
      expect(spoiled).toBe("spoiled");
      expect(later).toEqual(["answer", "answer", "answer"]);
    });
  });

  describe("a response whose connection ends", () => {
    const framings = {
      "with a length": `${head}content-length: 100\r\n\r\nhalf`,
      "in chunks": `${head}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`,
      "without a length": `${head}connection: close\r\n\r\nhalf`,
    };
    const ends = {
      reset: (socket: Socket) => socket.resetAndDestroy(),
      close: (socket: Socket) => socket.end(),
    };

    for (const needsFreshConnection of [false, true]) {
      const kind = needsFreshConnection ? "fresh" : "persistent";
      it(`reset together with its last bytes, ${kind} connection`, async () => {
        const body = await readBody({
          bytes: framings["without a length"],
          endConnection: () => undefined,
          endOnWrite: ends.reset,
          needsFreshConnection,
        });
        expect(body).toBe("broken");
      });
    }

    for (const [framing, bytes] of Object.entries(framings)) {
      for (const [end, endConnection] of Object.entries(ends)) {
        const isComplete = framing === "without a length" && end === "close";
        for (const needsFreshConnection of [false, true]) {
          const kind = needsFreshConnection ? "fresh" : "persistent";
          it(`${framing}, ${end}, ${kind} connection`, async () => {
            const body = await readBody({
              bytes,
              endConnection,
              needsFreshConnection,
            });
            expect(body).toBe(isComplete ? "half" : "broken");
          });
        }
      }
    }
  });

  describe("connections that end at any time", () => {
    it.each([1, 2, 3, 4, 5])(
      "carry each request once, seed %i",
      async (seed) => {
        const { arrivals, results } = await sendOverFailingConnections(seed);
        expect(new Set(arrivals).size).toBe(arrivals.length);
        const unsent = results.filter(({ kind }) => kind === "not_sent");
        expect(unsent.filter(({ path }) => arrivals.includes(path))).toEqual(
          [],
        );
        const kinds = new Set(results.map(({ kind }) => kind));
        expect([...kinds].sort()).toEqual(["aborted", "answer", "lost"]);
      },
    );
  });

  // The response was neither read nor closed, and its turn never ended.
  it.each(["a call", "a list of parts"])(
    "frees the only connection of %s whose codec throws",
    async (kind) => {
      const server = createServer((socket) => {
        socket.on("error", () => undefined);
        socket.on("data", () => {
          socket.write(`${head}content-length: 2\r\n\r\nok`);
        });
      });
      const port = await listen(server);
      let isThrowing = true;
      const client = createTestClient(() => 1, {
        ...codec,
        decodeNotice: (...args) => {
          if (isThrowing) throw new Error("unexpected");
          return codec.decodeNotice(...args);
        },
      });
      const call = createCall(port, false);
      if (kind === "a call") {
        expect((await client.send(call)).kind).toBe("lost");
      } else {
        expect(await client.tryListCachedParts(call.target)).toBe(undefined);
      }
      isThrowing = false;
      const signal = AbortSignal.timeout(1_000);
      const result = await client.send({ ...call, requestId: "2", signal });
      expect(result.kind).toBe("answer");
      await client.close();
      server.close();
    },
  );

  it("reports that nothing was sent when it cannot connect", async () => {
    const server = createServer();
    const port = await listen(server);
    await new Promise((resolve) => server.close(resolve));
    const result = await send(port, false);
    expect(result.kind).toBe("not_sent");
  });
});

/** Reads the body of a response whose connection a stand-in target ends. */
async function readBody(
  {
    bytes,
    endConnection,
    endOnWrite,
    needsFreshConnection,
  }: {
    readonly bytes: string;
    /** Called right after the bytes are written. */
    endOnWrite?(socket: Socket): void;
    endConnection(socket: Socket): void;
    readonly needsFreshConnection: boolean;
  },
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(bytes);
      endOnWrite?.(socket);
    });
  });
  const port = await listen(server);
  try {
    const result = await send(port, needsFreshConnection);
    if (result.kind !== "answer") return result.kind;
    let text = "";
    for await (const data of result.body) {
      text += Buffer.from(data).toString();
      sockets.forEach(endConnection);
    }
    return text;
  } catch {
    return "broken";
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  }
}

/**
 * Sends a request to a target that leaves in its response, and meanwhile queues
 * another call for the only connection.
 */
async function sendTwoToLeaving(
  { needsFreshConnection = false, listsParts = false }: {
    readonly needsFreshConnection?: boolean;
    readonly listsParts?: boolean;
  },
) {
  let requests = 0;
  let isLeaving = false;
  const server = createServer((socket) => {
    socket.on("data", () => {
      requests++;
      socket.write(`${head}leaving: 1\r\ncontent-length: 2\r\n\r\nok`);
    });
  });
  const port = await listen(server);
  const client = createDirectClient({
    codec,
    log: createSilentLog(),
    getMaxConnections: () => 1,
    tryGetHold: () => isLeaving ? "leaving" : undefined,
    handleNotice: (_target, notice) => {
      isLeaving ||= notice.isLeaving;
    },
    onLimitExceeded: () => undefined,
  });
  const call = createCall(port, needsFreshConnection);
  const first = client.send(call).then(async (result) => {
    if (result.kind !== "answer") return result;
    for await (const _data of result.body);
    return result;
  });
  const second = listsParts
    ? client.tryListCachedParts(call.target)
    : client.send(call);
  const [sent, queued] = await Promise.all([first, second]);
  await client.close();
  server.close();
  return listsParts
    ? { results: [sent], parts: queued, requests }
    : { results: [sent, queued as DirectResult], parts: undefined, requests };
}

/**
 * Sends calls over two persistent connections to a target that ends connections
 * before, within and after its responses.
 */
async function sendOverFailingConnections(seed: number) {
  const random = createSeededRandom(seed);
  const arrivals: string[] = [];
  const ok = `${head}content-length: 2\r\n\r\nok`;
  const responses: readonly ((socket: Socket, path: string) => void)[] = [
    (socket) => void socket.write(ok),
    (socket) => void socket.write(ok),
    (socket) => void socket.end(),
    (socket) => socket.resetAndDestroy(),
    (socket) => void socket.end(ok),
    (socket) => void socket.end("HTTP/1.1 408 \r\nconnection: close\r\n\r\n"),
    (socket) => void socket.write(`${ok}HTTP/1.1 503 \r\n\r\n`),
    (socket) => void socket.end("no response"),
    (_socket, path) => controllers.get(path)?.abort(),
  ];
  const controllers = new Map<string, AbortController>();
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      const paths = String(data).match(/(?<=^GET )\S+/gm) ?? [];
      arrivals.push(...paths);
      const respond = responses[Math.floor(random() * responses.length)];
      respond?.(socket, paths.at(-1) ?? "");
    });
  });
  const port = await listen(server);
  const client = createTestClient(() => 2);
  const results = await Promise.all(
    Array.from({ length: 60 }, async (_, index) => {
      const path = `/${index}`;
      const controller = new AbortController();
      const { signal } = controller;
      controllers.set(path, controller);
      const call = { ...createCall(port, false), path, signal };
      const result = await client.send(call);
      if (result.kind === "answer") await drain(result.body);
      return { path, kind: result.kind };
    }),
  );
  await client.close();
  sockets.forEach((socket) => socket.destroy());
  server.close();
  return { arrivals, results };
}

async function drain(body: AsyncIterable<Uint8Array>): Promise<void> {
  try {
    for await (const _data of body);
  } catch {
    // A response that breaks off is one of the cases.
  }
}

/**
 * Sends two requests over one connection. The target responds to the first after
 * a while, or not before the second has ended if that is aborted.
 */
async function sendTwoInTurn(
  { needsFreshConnection, abortsQueued = false }: {
    readonly needsFreshConnection: boolean;
    readonly abortsQueued?: boolean;
  },
) {
  const heads: string[] = [];
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      heads.push(String(data));
      if (!abortsQueued) setTimeout(() => respond(socket), 250);
    });
  });
  const port = await listen(server);
  const client = createTestClient(() => 1);
  const call = createCall(port, needsFreshConnection);
  const first = client.send(call).then(read);
  const controller = new AbortController();
  /** Number of requests that had arrived when the second one was sent. */
  const secondSentAtHeads: number[] = [];
  const second = client.send({
    ...call,
    signal: controller.signal,
    recordSent: () => secondSentAtHeads.push(heads.length),
  });
  while (heads.length === 0) await sleep(5);
  if (abortsQueued) controller.abort();
  const queued = await second;
  sockets.forEach(respond);
  await Promise.all([first, read(queued)]);
  await client.close();
  server.close();
  return { heads, queued, secondSentAtHeads };

  function respond(socket: Socket): void {
    if (socket.writable) socket.write(`${head}content-length: 2\r\n\r\nok`);
  }
}

/** Sends requests at once; returns the most that the target had at a time. */
async function sendMany(
  { getMaxConnections, freshRequests, persistentRequests }: {
    getMaxConnections(): number;
    readonly freshRequests: number;
    readonly persistentRequests: number;
  },
) {
  let running = 0;
  let most = 0;
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", () => {
      running++;
      most = Math.max(most, running);
      setTimeout(() => {
        running--;
        socket.write(`${head}content-length: 2\r\n\r\nok`);
      }, 50);
    });
  });
  const port = await listen(server);
  const client = createTestClient(getMaxConnections);
  const total = freshRequests + persistentRequests;
  const results = await Promise.all(
    Array.from({ length: total }, async (_, index) => {
      const result = await client.send(createCall(port, index < freshRequests));
      await read(result);
      return result.kind;
    }),
  );
  await client.close();
  server.close();
  expect(results).toEqual(Array.from({ length: total }, () => "answer"));
  return { most };
}

/**
 * Sends requests in turn over one connection. On the first connection, the
 * target responds to the second request with the first one's id at once, and
 * with its own a little later or not at all.
 */
async function sendAfterExtraResponse(
  numbers: readonly number[],
  { respondsLate }: { readonly respondsLate: boolean },
) {
  const server = createServer((socket) => {
    isClosed = false;
    connections++;
    socket.on("error", () => undefined);
    socket.on("close", () => {
      isClosed = true;
    });
    socket.on("data", (data) => {
      const id = /request-\d+/.exec(String(data))?.[0] ?? "";
      if (id === "request-2" && connections === 1) respond(socket, "request-1");
      if (id === "request-1") respond(socket, id);
      else if (respondsLate) setTimeout(() => respond(socket, id), 20);
    });
  });
  let connections = 0;
  let isClosed = false;
  const port = await listen(server);
  const client = createTestClient(() => 1);
  const kinds: string[] = [];
  for (const number of [1, ...numbers]) {
    const call = createCall(port, false);
    const result = await client.send({
      ...call,
      requestId: `request-${number}`,
    });
    kinds.push(result.kind);
    await read(result);
  }
  for (let turn = 0; turn < 20 && !isClosed; turn++) await sleep(10);
  const seen = isClosed;
  await client.close();
  server.close();
  return { kinds, isClosed: seen };

  function respond(socket: Socket, id: string): void {
    if (!socket.writable) return;
    socket.write(`${head}x-request-id: ${id}\r\ncontent-length: 2\r\n\r\nok`);
  }
}

async function read(result: DirectResult): Promise<void> {
  if (result.kind !== "answer") return;
  for await (const _data of result.body);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function getDeadlineMs(requestHead: string): number {
  return Number(/deadline: (\d+)/.exec(requestHead)?.[1]);
}

function createTestClient(
  getMaxConnections: () => number,
  testCodec = codec,
): DirectClient {
  return createDirectClient({
    codec: testCodec,
    log: createSilentLog(),
    getMaxConnections,
    tryGetHold: () => undefined,
    handleNotice: () => undefined,
    onLimitExceeded: () => undefined,
  });
}

async function send(
  port: number,
  needsFreshConnection: boolean,
): Promise<DirectResult> {
  const client = createTestClient(() => 2);
  return await client.send(createCall(port, needsFreshConnection));
}

function createCall(port: number, needsFreshConnection: boolean): DirectCall {
  const target: DirectTarget = {
    id: "target-1",
    service: "calls",
    address: `127.0.0.1:${port}`,
    zone: "zone-a",
    slots: 1,
    state: "ready",
    warmUpLeftMs: 0,
    softwareVersion: "v1",
    startedAtMs: 0,
  };
  return {
    target,
    requestId: "request-1",
    method: "GET",
    path: "/",
    headers: [],
    body: new Uint8Array(),
    workspace: undefined,
    deadlineMs: 1_000,
    priorityClass: 5,
    fetchFrom: undefined,
    lastEventId: undefined,
    needsFreshConnection,
    signal: new AbortController().signal,
  };
}

function listen(server: ReturnType<typeof createServer>): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
