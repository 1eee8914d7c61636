import { type AddressInfo, createServer, type Socket } from "node:net";
import { createTarget } from "../../test/support/direct.ts";
import { createSeededRandom } from "../../test/support/seeded_random.ts";
import { targetCodec } from "../platform/target_codec.ts";
import { createSilentLog } from "../process/telemetry/log.ts";
import type { DirectCall } from "../types/direct_calls.ts";
import { tryGetProof } from "../types/not_run_proof.ts";
import { createDirectClient, type DirectClient } from "./direct_client.ts";
import { createTargetClient } from "./target_client.ts";

const callCount = 300;

/** Port at which nothing listens. */
const closedPort = 1;

/** Longer than the timeout of a connection attempt, in milliseconds. */
const longBlockMs = 400;

/** What the target has got and said of the requests. */
interface Observations {
  /** Ids of the requests whose first byte has arrived, once for each arrival. */
  readonly arrivals: string[];
  /** Ids of requests that it has stated not to have run. */
  readonly stated: Set<string>;
}

type Random = () => number;

/** Sends a call and returns the kind of its end. */
type Send = (id: string, signal: AbortSignal) => Promise<string>;

interface Client {
  readonly send: Send;
  /** Changes connections or waiting calls at random. */
  disturb(): void;
  close(): Promise<void>;
}

const clients: Readonly<
  Record<string, (port: number, random: Random) => Client>
> = { "a router without agents": openDirect, "an agent": openAgentClient };

/** Answers of the target; what follows a head is cut or comes too late. */
const answers: readonly ((
  socket: Socket,
  id: string,
  observations: Observations,
) => void)[] = [
  (socket, id) => socket.write(format("200 OK", id)),
  (socket, id) => socket.write(format("200 OK", id)),
  (socket, id) => socket.end(format("200 OK", id)),
  (socket, id) => socket.write(format("200 OK", id, "connection: close")),
  (socket, id) => {
    socket.write(format("200 OK", id));
    setTimeout(() => socket.resetAndDestroy(), 1);
  },
  (socket, id) => void socket.write(format("200 OK", id).repeat(2)),
  (socket, id, { stated }) => {
    stated.add(id);
    socket.write(format("503 Full", id, "x-not-run: full"));
  },
  (socket, id, { stated }) => {
    stated.add(id);
    socket.write(format("421 Other", id, "x-not-run: other"));
  },
  (socket, id) => socket.write(format("421 Other", id)),
  (socket, id) => socket.write(format("503 Full", id)),
  (socket) => socket.write(format("503 Full", "0", "x-not-run: full")),
  (socket) => socket.resetAndDestroy(),
  (socket) => socket.end(),
  (socket) => {
    socket.write("HTTP/1.1 100 Continue\r\n\r\n");
    socket.resetAndDestroy();
  },
  () => undefined,
];

/** When a call is aborted after it was started. */
const aborts: readonly ((controller: AbortController) => void)[] = [
  (controller) => controller.abort(),
  (controller) => queueMicrotask(() => controller.abort()),
  (controller) => process.nextTick(() => controller.abort()),
  (controller) => setImmediate(() => controller.abort()),
  (controller) => setTimeout(() => controller.abort(), 3),
  (controller) => setTimeout(() => controller.abort(), 30),
];

// A call that is reported as not sent is sent again, or refused with a promise.
describe.each(Object.entries(clients))("calls of %s", (_name, open) => {
  it.each([1, 2, 3])(
    "arrive once at most, and not when they are proved not to run, seed %i",
    async (seed) => {
      const { ends, arrivals, stated } = await play(open, seed);
      expect(new Set(arrivals).size).toBe(arrivals.length);
      const proved = ends.filter(({ kind }) =>
        tryGetProof(kind as "aborted") !== undefined
      );
      const arrived = new Set(arrivals);
      expect(
        proved.filter(({ id }) => arrived.has(id) && !stated.has(id)),
      ).toEqual([]);
      expect(ends).toHaveLength(callCount);
      expect(new Set(ends.map(({ kind }) => kind)).size).toBeGreaterThan(2);
      expect(proved.length).toBeGreaterThan(0);
    },
  );
});

async function play(open: typeof clients[string], seed: number) {
  const random = createSeededRandom(seed);
  const observations: Observations = { arrivals: [], stated: new Set() };
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    if (random() < 0.03) return void socket.resetAndDestroy();
    readRequests(socket, (id) => {
      observations.arrivals.push(id);
      const answer = pick(answers, random);
      setTimeout(() => {
        if (socket.writable) answer(socket, id, observations);
      }, random() * 4);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = open(port, random);
  const ends: Promise<{ readonly id: string; readonly kind: string }>[] = [];
  for (let index = 1; index <= callCount; index++) {
    const id = `request-${index}`;
    const controller = new AbortController();
    // Calls that get no response end too.
    setTimeout(() => controller.abort(), 300).unref();
    const kind = client.send(id, controller.signal);
    ends.push(kind.then((end) => ({ id, kind: end })));
    if (random() < 0.4) pick(aborts, random)(controller);
    if (random() < 0.05) client.disturb();
    if (random() < 0.5) await sleep(random() * 4);
    if (random() < 0.05) block(random() < 0.05 ? longBlockMs : 10);
  }
  const result = await Promise.all(ends);
  await sleep(50);
  await client.close();
  sockets.forEach((socket) => socket.destroy());
  server.close();
  return { ...observations, ends: result };
}

/** Calls back with the id of each request once its head has arrived. */
function readRequests(socket: Socket, handle: (id: string) => void): void {
  let text = "";
  let bodyLeft = 0;
  socket.on("data", (data) => {
    text += data.toString("latin1");
    for (;;) {
      const skipped = Math.min(bodyLeft, text.length);
      text = text.slice(skipped);
      bodyLeft -= skipped;
      const end = text.indexOf("\r\n\r\n");
      if (bodyLeft > 0 || end < 0) return;
      const head = text.slice(0, end);
      text = text.slice(end + 4);
      bodyLeft = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      handle(/request-\d+/.exec(head)?.[0] ?? "");
    }
  });
}

function openDirect(port: number, random: Random): Client {
  const client: DirectClient = createDirectClient({
    codec: targetCodec,
    log: createSilentLog(),
    getMaxConnections: () => 4,
    tryGetHold: () => random() < 0.1 ? "leaving" : undefined,
    handleNotice: () => undefined,
    onLimitExceeded: () => undefined,
  });
  return { send, disturb, close: client.close };

  async function send(id: string, signal: AbortSignal): Promise<string> {
    const controller = new AbortController();
    signal.addEventListener("abort", () => controller.abort());
    const abortsAtWrite = random() < 0.05;
    const call: DirectCall = {
      target: createTarget("a", { address: `127.0.0.1:${port}` }),
      ...{ requestId: id, method: "POST", path: "/", headers: [] },
      ...{ body: createBody(random), workspace: undefined, deadlineMs: 5_000 },
      ...{ priorityClass: 1, fetchFrom: undefined, lastEventId: undefined },
      needsFreshConnection: random() < 0.5,
      signal: controller.signal,
      tryGetHold: () => random() < 0.1 ? "late" : undefined,
      recordSent: () => {
        if (abortsAtWrite) controller.abort();
      },
    };
    const result = await client.send(call);
    if (result.kind !== "answer") return result.kind;
    await readAll(result.body);
    return result.kind;
  }

  function disturb(): void {
    if (random() < 0.5) client.withholdWaiting(() => true);
    else client.retain(new Set());
  }
}

function openAgentClient(port: number, random: Random): Client {
  const client = createTargetClient(`http://127.0.0.1:${port}`);
  const unreachable = createTargetClient(`http://127.0.0.1:${closedPort}`);
  return { send, disturb: () => undefined, close };

  async function send(id: string, signal: AbortSignal): Promise<string> {
    const chosen = random() < 0.05 ? unreachable : client;
    const result = await chosen.send({
      ...{ requestId: id, method: "POST", path: "/", headers: [] },
      ...{ body: createBody(random), signal },
    }).run();
    if (result.isLeft()) return (result.extract() as { kind: string }).kind;
    await readAll(result.unsafeCoerce().body);
    return "answer";
  }

  async function close(): Promise<void> {
    await Promise.all([client.close(), unreachable.close()]);
  }
}

/** Bodies that take one write, or more than the system takes at once. */
function createBody(random: Random): Uint8Array {
  return Buffer.alloc(random() < 0.1 ? 400_000 : 10, "b");
}

async function readAll(body: AsyncIterable<Uint8Array>): Promise<void> {
  try {
    for await (const _data of body);
  } catch {
    // The connection broke off within the response.
  }
}

function format(status: string, id: string, ...headers: string[]): string {
  const lines = [`x-request-id: ${id}`, "content-length: 2", ...headers];
  return `HTTP/1.1 ${status}\r\nx-server-stamp: s\r\n${
    lines.join("\r\n")
  }\r\n\r\nok`;
}

function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random() * items.length)] as Item;
}

function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
