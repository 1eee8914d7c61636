import { createSocket } from "node:dgram";
import { connect } from "node:net";
import type { SocketAddress } from "../../src/types/direct_settings.ts";
import {
  createConfiguration,
  type FleetRouter,
  hasLogged,
  sendRequest,
  startConfiguredStore,
  startFleetRouter,
  waitUntil,
} from "./direct_fleet.ts";
import type { StoreStandIn } from "./store_stand_in.ts";
import { startTarget, type TargetStandIn } from "./target_stand_in.ts";

/** Bytes that are invalid in every protocol of the router. */
const garbage = Buffer.from("\u0000\u0016garbage\r\n\r\n\u00ff{]".repeat(50));

describe("bad input to a direct router", () => {
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

  async function expectServed(path: string): Promise<void> {
    const response = await sendRequest(router, path);
    expect(response).toMatchObject({ status: 200, isComplete: true });
  }

  /** Sends bytes and returns what is received until the peer closes. */
  function sendBytes(
    { address, port }: SocketAddress,
    bytes: Uint8Array,
  ): Promise<string> {
    return new Promise((resolve) => {
      let received = "";
      const socket = connect(port, address, () => socket.write(bytes));
      socket.on("data", (data) => {
        received += data.toString();
      });
      socket.on("error", () => undefined);
      socket.on("close", () => resolve(received));
    });
  }

  describe("on its ports", () => {
    it("is refused on the frontend, and later requests succeed", async () => {
      const received = await sendBytes(router.settings.frontend, garbage);
      expect(received).toMatch(/^HTTP\/1\.1 400 /);
      expect(hasLogged(router, "Request rejected", { code: "bad_http" }))
        .toBe(true);
      await expectServed("/proofs/after-garbage");
    });

    it("is refused when its headers are too large", async () => {
      const head = `GET /proofs/1 HTTP/1.1\r\nhost: cards.example\r\n` +
        `x-large: ${"x".repeat(70_000)}\r\n\r\n`;
      const received = await sendBytes(
        router.settings.frontend,
        Buffer.from(head),
      );
      expect(received).toMatch(/^HTTP\/1\.1 4\d\d /);
      await expectServed("/proofs/after-headers");
    });

    it("closes a connection to the pull port", async () => {
      await sendBytes(router.settings.pull, garbage);
      await expectServed("/proofs/after-pull");
    });

    it("is ignored on the digest port", async () => {
      const socket = createSocket("udp4");
      const { address, port } = router.settings.digest;
      await new Promise<void>((resolve) => {
        socket.send(garbage, port, address, () => resolve());
      });
      socket.close();
      await expectServed("/proofs/after-digest");
    });

    it("closes a connection to the metrics port", async () => {
      await sendBytes(router.settings.metrics, garbage);
      await expectServed("/proofs/after-metrics");
    });
  });

  describe("in the store", () => {
    it("leaves the last valid configuration in force", async () => {
      store.put("op/config", { Version: "nine", Routes: 7 });
      await waitUntil(() => hasLogged(router, "Entry cannot be read"));
      await expectServed("/proofs/after-config");
    });

    it("leaves valid routes beside invalid ones in force", async () => {
      const { Routes: routes } = createConfiguration(2) as {
        readonly Routes: readonly unknown[];
      };
      store.put(
        "op/config",
        createConfiguration(2, { Routes: [...routes, 7, { Name: 3 }] }),
      );
      await waitUntil(() =>
        hasLogged(router, "Configuration is in force", { version: 2 }) ||
        hasLogged(router, "Entry cannot be read")
      );
      await expectServed("/proofs/after-routes");
    });

    it("adds no target, and leaves the others in use", async () => {
      store.put("servers/odd", { Service: 3, Address: [], State: "?" });
      await waitUntil(() =>
        hasLogged(router, "Entry cannot be read", { key: "servers/odd" })
      );
      await expectServed("/proofs/after-entry");
    });
  });
});
