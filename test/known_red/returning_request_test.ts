import {
  type FleetRouter,
  hasLogged,
  sendRequest,
  startConfiguredStore,
  startFleetRouter,
  waitUntil,
} from "../platform/direct_fleet.ts";
import {
  type CrashingService,
  startCrashingService,
} from "../platform/crashing_service.ts";
import type { StoreStandIn } from "../platform/store_stand_in.ts";
import type { ReceivedRequest } from "../platform/target_stand_in.ts";

/** Requests that a caller sends after the third crash. */
const returns = 24;

/** Sends of a request that are allowed long after its third crash. */
const maxLateSends = 3;

/** Time for routers to tell each other of crashes, in milliseconds. */
const exchangeMs = 1_000;

describe("a request that crashes targets and comes again", () => {
  let store: StoreStandIn;
  let service: CrashingService;
  let routers: readonly FleetRouter[];

  beforeEach(async () => {
    store = await startConfiguredStore();
    service = await startCrashingService(store, { targets: 4, isDeadly });
    routers = await Promise.all(
      ["router-1", "router-2"].map((id) => startFleetRouter(id, store)),
    );
    await waitUntil(() =>
      routers.every((router) => hasLogged(router, "Router is ready"))
    );
  });

  afterEach(async () => {
    await Promise.all(
      routers.map(({ directRouter }) => directRouter.stop("test")),
    );
    await Promise.all([service, store].map((stand) => stand.close()));
  });

  function isDeadly({ path }: ReceivedRequest): boolean {
    return path.endsWith("/crashing");
  }

  it.each([
    ["safe", "GET", "/proofs/crashing"],
    ["unsafe", "POST", "/orders/crashing"],
    ["stream", "POST", "/draft/crashing"],
  ])("is not sent by any router (%s)", async (_kind, method, path) => {
    while (service.countCrashes() < 3) await sendToEach(1, { method, path });
    await new Promise((resolve) => setTimeout(resolve, exchangeMs));
    const before = service.countArrivals(isDeadly);
    await sendToEach(returns / routers.length, { method, path });
    const sends = service.countArrivals(isDeadly) - before;
    expect(sends).toBeLessThanOrEqual(maxLateSends);
    // Others with the same caller are served meanwhile.
    const sound = await sendRequest(routers[0] as FleetRouter, "/proofs/1");
    expect(sound.status).toBe(200);
  });

  async function sendToEach(
    count: number,
    { method, path }: { readonly method: string; readonly path: string },
  ): Promise<void> {
    for (let sent = 0; sent < count; sent++) {
      for (const router of routers) {
        const body = method === "POST" ? "again" : undefined;
        await sendRequest(router, path, {
          method,
          ...(body === undefined ? {} : { body }),
          headers: { "x-request-id": `${router.id}-${Math.random()}` },
        });
        await new Promise((resolve) => setTimeout(resolve, 50));
      }
    }
  }
});
