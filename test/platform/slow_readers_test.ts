import { request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { openRawCaller } from "../support/raw_caller.ts";
import {
  createConfiguration,
  createRoute,
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

const mebibyte = 1024 * 1024;

/** Above what the system buffers on loopback, in bytes. */
const longBytes = 32 * mebibyte;

const long = Buffer.alloc(longBytes, "x");

/** Paths of the target by the length of their bodies. */
const bodies: Readonly<Record<string, Buffer>> = {
  "/proofs/long": long,
  "/proofs/page": long.subarray(0, 2 * mebibyte),
  "/proofs/short": long.subarray(0, 1_000),
};

/** Memory of the process, of which a sixth, 6 MB, is for callers. */
const memoryMb = 36;

/** Timeout of a test, in milliseconds of real time. */
const testTimeoutMs = 60_000;

/**
 * Guards against routers that are killed for their memory because callers don't
 * read, and against slow callers that slow or break the responses of others.
 */
describe("callers that read slowly", () => {
  let store: StoreStandIn;
  let target: TargetStandIn;
  let router: FleetRouter;
  const sockets: Socket[] = [];

  beforeEach(async () => {
    store = await startConfiguredStore();
    store.put(
      "op/config",
      createConfiguration(2, {
        Routes: [
          { ...createRoute("/proofs/", "safe"), TimeoutMs: 60_000 },
        ],
        Services: [{ Name: "desk", HealthPath: "/healthz", MaxConns: 500 }],
        Limits: {
          MaxHeaderBytes: 16_384,
          MaxBodyBytes: mebibyte,
          HeaderTimeoutMs: 3_000,
          IdleTimeoutMs: 15_000,
        },
      }),
    );
    target = await startTarget("target-1", "desk");
    target.setHandler((request, response) => {
      setIdentityHeaders(request, response, target.id);
      response.end(bodies[request.path]);
    });
    store.put("servers/target-1", target.createEntry("ready", { Slots: 500 }));
    router = await startFleetRouter("router-1", store, {
      limits: { memoryMb },
    });
    await waitUntil(async () => (await send("short")).status === 200);
  });

  afterEach(async () => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    await router.directRouter.stop("test");
    await target.close();
    await store.close();
  });

  it("keep less than their bound, and healthy ones are served", async () => {
    const stalled = stallAt("long");
    await waitUntil(async () => await getHeldBytes() > 300_000);
    const pages = await Promise.all(
      Array.from({ length: 4 }, () => send("page")),
    );
    expect(pages.map(({ isComplete, body }) => [isComplete, body.length]))
      .toEqual(pages.map(() => [true, 2 * mebibyte]));
    // A sixteenth of 6 MB, and a piece that was being read.
    expect(await getHeldBytes()).toBeLessThan(375_000 + 2 * 65_536);
    expect(stalled.destroyed).toBe(false);
  }, testTimeoutMs);

  it("get all of a response when they read on in the end", async () => {
    const received = await readSlowly("page");
    expect(received).toBe(2 * mebibyte);
    await waitUntil(async () => await getHeldBytes() === 0);
  }, testTimeoutMs);

  it(
    "lose the largest stalled response first when memory is short",
    async () => {
      const slow = readSlowly("long", 24 * mebibyte);
      const stalled = Array.from({ length: 60 }, () => stallAt("long"));
      let refused = await sendBody(200_000);
      await waitUntil(async () => {
        if (refused.status === 503) return true;
        refused = await sendBody(200_000);
        return false;
      });
      expect(hasLogged(router, shortage, { step: "body_refused" })).toBe(true);
      expect(refused.body).toContain("router_overloaded");
      expect(Number(refused.headers["retry-after"])).toBeGreaterThan(0);
      // A request without a body takes nothing.
      expect((await send("short")).isComplete).toBe(true);
      await waitUntil(() =>
        hasLogged(router, "Response is broken off for lack of memory")
      );
      expect(hasLogged(router, shortage, { step: "reading_stopped" })).toBe(
        true,
      );
      await waitUntil(async () =>
        await getHeldBytes() < memoryMb * 1_000_000 / 6
      );
      expect(stalled.some(({ destroyed }) => !destroyed)).toBe(true);
      expect(await slow).toBeGreaterThanOrEqual(24 * mebibyte);
    },
    testTimeoutMs,
  );

  const shortage = "Memory for callers runs short";

  function send(name: string) {
    return sendRequest(router, `/proofs/${name}`, {
      headers: { "x-deadline-ms": "60000" },
    });
  }

  function sendBody(bytes: number) {
    return sendRequest(router, "/proofs/short", {
      method: "POST",
      body: "x".repeat(bytes),
    });
  }

  /** Sends a request and never reads its response. */
  function stallAt(name: string): Socket {
    const { socket } = openRawCaller(
      router.settings.frontend.port,
      `GET /proofs/${name} HTTP/1.1\r\nhost: cards.example\r\n` +
        "x-credential: key-1\r\nx-deadline-ms: 60000\r\n\r\n",
    );
    socket.pause();
    sockets.push(socket);
    return socket;
  }

  /** Reads with pauses; returns the bytes, or up to `enough` of them. */
  function readSlowly(name: string, enough = longBytes): Promise<number> {
    return new Promise((resolve, reject) => {
      const request = httpRequest({
        port: router.settings.frontend.port,
        path: `/proofs/${name}`,
        headers: {
          host: "cards.example",
          "x-credential": "key-1",
          "x-deadline-ms": "60000",
        },
      }, (response) => {
        let bytes = 0;
        response.on("data", (chunk: Buffer) => {
          bytes += chunk.length;
          if (bytes >= enough) return finish();
          response.pause();
          setTimeout(() => response.resume(), 10);
        });
        response.on("end", finish);
        response.on("error", reject);

        function finish(): void {
          resolve(bytes);
          request.destroy();
        }
      });
      request.on("error", reject);
      request.end();
    });
  }

  async function getHeldBytes(): Promise<number> {
    const { metrics } = router.settings;
    const text = await (await fetch(`http://127.0.0.1:${metrics.port}/metrics`))
      .text();
    return Number(/response_memory_bytes (\d+)/.exec(text)?.[1]);
  }
});
