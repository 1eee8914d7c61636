import {
  type FleetRouter,
  hasLogged,
  startConfiguredStore,
  startFleetRouter,
  waitUntil,
} from "./direct_fleet.ts";
import type { StoreStandIn } from "./store_stand_in.ts";

describe("a router whose entry was removed from the store", () => {
  let store: StoreStandIn;
  let routers: readonly FleetRouter[];

  beforeEach(async () => {
    store = await startConfiguredStore();
    routers = await Promise.all(
      ["router-1", "router-2"].map((id) => startFleetRouter(id, store)),
    );
    await waitUntil(() =>
      routers.every((router) => hasLogged(router, "Router is ready"))
    );
    await waitUntil(areAllRegistered);
  });

  afterEach(async () => {
    await Promise.all(
      routers.map(({ directRouter }) => directRouter.stop("test")),
    );
    await store.close();
  });

  function areAllRegistered(): boolean {
    return routers.every(({ id }) => store.tryGet(`routers/${id}`));
  }

  it("registers again, so that its peers hear it", async () => {
    routers.forEach(({ id }) => store.remove(`routers/${id}`));
    expect(areAllRegistered()).toBe(false);
    await waitUntil(areAllRegistered);
  });
});
