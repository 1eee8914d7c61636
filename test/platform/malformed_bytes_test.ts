import { createSocket } from "node:dgram";
import { connect } from "node:net";
import {
  createDigestWriter,
  encodeStreamMessage,
} from "../../src/process/direct/peers/peer_digests.ts";
import type { SocketAddress } from "../../src/types/direct_settings.ts";
import { createSeededRandom } from "../support/seeded_random.ts";
import {
  type FleetRouter,
  hasLogged,
  sendRequest,
  startConfiguredStore,
  startFleetRouter,
  waitUntil,
} from "./direct_fleet.ts";
import type { StoreStandIn } from "./store_stand_in.ts";
import {
  setIdentityHeaders,
  startTarget,
  type TargetStandIn,
} from "./target_stand_in.ts";

/** Number of messages of each seed. */
const messageCount = 150;

const seeds = [1, 2, 3];

/** Parts of requests, some of which are malformed. */
const lines = {
  methods: ["GET", "POST", "HEAD", "OPTIONS", "CONNECT", "BREW", "get", ""],
  paths: [
    ...[
      "/proofs/1",
      "/draft/1",
      "//",
      "//metrics",
      "/metrics",
      "*",
      "/%",
      "/?",
    ],
    ...[
      "//a:99999",
      "/%E0%A4%A",
      "http://[::1",
      "/\u00ff",
      "/dump?%",
      "\\",
      "",
    ],
    ...["/constructor", "/__proto__", "//:0/metrics", "///metrics//"],
  ],
  headers: [
    ...["host: cards.example", "host: [", "host:", "x-credential: key-1"],
    ...["content-length: 3", "content-length: -1", "content-length: 99999"],
    ...["transfer-encoding: chunked", "transfer-encoding: x", "expect: x"],
    ...["upgrade: websocket", "connection: upgrade", "connection: x, ,host"],
    ...["x-deadline-ms: 1e999", "x-deadline-ms: -", "x-request-id: \u00ff"],
    ...["last-event-id: \u00ff", "resumes: {}", "x-prompt: ,:,a:1e999"],
    ...["x-model: m", "x-tokens: 1e999,-1", "x-tokens: ,", "bad header"],
    ...["expect: 100-continue", "trailer: x", "x-parts: a:9,a:-9,:,b"],
  ],
  bodies: [
    "",
    "abc",
    "{",
    "3\r\nabc\r\n0\r\n\r\n",
    "zz\r\n",
    "\u0000".repeat(9),
  ],
} as const;

// One malformed message ended the process with all requests in flight.
describe("a malformed message", () => {
  let store: StoreStandIn;
  let target: TargetStandIn;
  let router: FleetRouter;

  beforeEach(async () => {
    store = await startConfiguredStore();
    target = await startTarget("target-1", "desk");
    store.put("servers/target-1", target.createEntry());
    router = await startFleetRouter("router-1", store);
    await waitUntil(() => hasLogged(router, "Router is ready"));
  });

  afterEach(async () => {
    await router.directRouter.stop("test");
    await target.close();
    await store.close();
  });

  /** Runs while a stream is in flight, which must not be lost. */
  async function runBesideStream(send: () => Promise<void>): Promise<void> {
    let finish: (() => void) | undefined;
    target.setHandler((request, response) => {
      setIdentityHeaders(request, response, target.id);
      if (request.path !== "/draft/held") return void response.end("ok");
      response.setHeader("Content-Type", "text/event-stream");
      response.write("id: 1\ndata: a\n\n");
      finish = () => response.end("id: 2\ndata: b\n\n");
    });
    const headers = { "x-deadline-ms": "60000" };
    const options = { method: "POST", headers };
    const held = sendRequest(router, "/draft/held", options);
    await waitUntil(() => finish !== undefined);
    await send();
    finish?.();
    expect(await held).toMatchObject({ status: 200, isComplete: true });
  }

  describe.each(["frontend", "readiness", "metrics", "pull"] as const)(
    "to the %s port",
    (port) => {
      it.each(seeds)("harms no request in flight, seed %d", async (seed) => {
        const random = createSeededRandom(seed);
        await runBesideStream(async () => {
          for (let count = 0; count < messageCount; count += 10) {
            await Promise.all(
              Array.from(
                { length: 10 },
                () => sendBytes(router.settings[port], createRequest(random)),
              ),
            );
          }
        });
      });
    },
  );

  it.each(seeds)("in a digest harms none, seed %d", async (seed) => {
    const random = createSeededRandom(seed);
    const socket = createSocket("udp4");
    const { address, port } = router.settings.digest;
    await runBesideStream(async () => {
      for (let count = 0; count < messageCount * 4; count++) {
        await new Promise<void>((resolve) => {
          socket.send(createDigest(random), port, address, () => resolve());
        });
      }
      await sleep(200);
    });
    socket.close();
  });
});

function pick<Item>(items: readonly Item[], random: () => number): Item {
  return items[Math.floor(random() * items.length)] as Item;
}

/** Creates a request that may be malformed, and has changed bytes at times. */
function createRequest(random: () => number): Buffer {
  const headers = Array.from(
    { length: Math.floor(random() * 6) },
    () => `${pick(lines.headers, random)}\r\n`,
  );
  const text = `${pick(lines.methods, random)} ${pick(lines.paths, random)}` +
    ` HTTP/1.${random() < 0.9 ? 1 : 0}\r\nhost: cards.example\r\n` +
    `${headers.join("")}\r\n${pick(lines.bodies, random)}`;
  return changeBytes(Buffer.from(text, "latin1"), random);
}

/** Creates a digest with extreme numbers, or with changed bytes. */
function createDigest(random: () => number): Uint8Array {
  const big = () => pick([0, 1, 7, 2 ** 31, Number.MAX_SAFE_INTEGER], random);
  const small = () => pick([0, 1, 2, 70_000, 2 ** 32 - 1], random);
  const name = () => pick(["", "target-1", "x", "__proto__"], random);
  const sender = pick(["router-1", "router-2", "y"], random);
  const position = { era: small(), revision: big() };
  const state = {
    ...{ position, isSettled: random() < 0.5, isWatching: random() < 0.5 },
    ...{ storeContactMs: small(), lostEntries: small() },
    storeAgeMs: small(),
    storeSilentMs: small(),
    leaves: [{ id: name(), startedAtMs: big() }],
    limits: [{ address: name(), perS: big(), at: -big() }],
    loads: new Map([[name(), { requests: small(), unreadTokens: small() }]]),
    demands: [{
      ...{ service: name(), priorityClass: small() },
      ...{ running: small(), waiting: small() },
    }],
    partRates: [{ hash: small(), perS: small() }],
    paces: [
      { hash: small(), version: small(), bound: small(), ageMs: small() },
    ],
  };
  const writer = createDigestWriter(sender);
  writer.queuePart({
    ...{ target: name(), isBeingRead: random() < 0.5 },
    part: { id: name(), tokens: small() },
  });
  const data = Buffer.from(Array.from({ length: 40 }, () => random() * 256));
  const fragment = { position, index: small(), count: small(), data };
  const origin = { key: big(), version: small() };
  const bytes = random() < 0.4
    ? writer.write(state)
    : random() < 0.6
    ? writer.writePush(state, fragment)
    : encodeStreamMessage(sender, {
      ...{ origins: [origin], lookups: [big()] },
    });
  return changeBytes(Buffer.from(bytes), random);
}

/** Replaces, inserts or cuts bytes in a third of the messages. */
function changeBytes(bytes: Buffer, random: () => number): Buffer {
  if (random() > 0.35 || bytes.length === 0) return bytes;
  const at = Math.floor(random() * bytes.length);
  if (random() < 0.3) return bytes.subarray(0, at);
  bytes[at] = Math.floor(random() * 256);
  return bytes;
}

/** Sends bytes and waits for the end of the connection, or for a short time. */
function sendBytes(
  { address, port }: SocketAddress,
  bytes: Uint8Array,
): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect(port, address, () => socket.write(bytes));
    const timer = setTimeout(() => socket.destroy(), 60);
    socket.on("error", () => undefined);
    socket.resume();
    socket.on("close", () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
