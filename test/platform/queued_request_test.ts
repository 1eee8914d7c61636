import type { ServerResponse } from "node:http";
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
import {
  setIdentityHeaders,
  startTarget,
  type TargetStandIn,
} from "./target_stand_in.ts";

describe("a request that waits for a connection", () => {
  let store: StoreStandIn;
  let router: FleetRouter;
  let target: TargetStandIn;
  let other: TargetStandIn;

  beforeEach(async () => {
    store = await startConfiguredStore();
    store.put(
      "op/config",
      createConfiguration(2, {
        Services: [{ Name: "desk", HealthPath: "/healthz", MaxConns: 1 }],
      }),
    );
    target = await addTarget("target-1");
    other = await addTarget("target-2");
    router = await startFleetRouter("router-1", store);
    await waitUntil(() => hasLogged(router, "Router is ready"));
  });

  afterEach(async () => {
    await router.directRouter.stop("test");
    await Promise.all([target.close(), other.close(), store.close()]);
  });

  async function addTarget(id: string): Promise<TargetStandIn> {
    const added = await startTarget(id, "desk");
    store.put(`servers/${id}`, added.createEntry());
    return added;
  }

  const leaves: Readonly<Record<string, () => void>> = {
    drains: () => store.put("servers/target-1", target.createEntry("draining")),
    "is gone": () => store.remove("servers/target-1"),
  };

  for (const prefix of ["/proofs/", "/orders/"]) {
    for (const [name, leave] of Object.entries(leaves)) {
      it(`is not sent to a target that ${name} (${prefix})`, async () => {
        let held: ServerResponse | undefined;
        target.setHandler((request, response) => {
          setIdentityHeaders(request, response, "target-1");
          if (held !== undefined) return void response.end("late");
          held = response;
        });
        const responses = Promise.all(
          Array.from(
            { length: 12 },
            (_, index) => sendRequest(router, `${prefix}${index}`),
          ),
        );
        await waitUntil(() => held !== undefined && other.countArrivals() > 0);
        leave();
        await waitUntil(() =>
          router.lines.filter(({ message, target: id }) =>
            id === "target-1" &&
            (message === "Target changed" || message === "Target is gone")
          ).length === 2
        );
        held?.end("done");
        expect((await responses).map(({ status }) => status))
          .toEqual(Array.from({ length: 12 }, () => 200));
        expect(target.countArrivals()).toBe(1);
      });
    }

    it(`is not sent to the next target of its address (${prefix})`, async () => {
      let held: ServerResponse | undefined;
      target.setHandler((request, response) => {
        setIdentityHeaders(request, response, "target-1");
        held ??= response;
        if (held !== response) response.end("run by the target before");
      });
      const responses = Promise.all(
        Array.from(
          { length: 12 },
          (_, index) => sendRequest(router, `${prefix}${index}`),
        ),
      );
      await waitUntil(() => held !== undefined && other.countArrivals() > 0);
      store.remove("servers/target-1");
      store.put("servers/target-9", target.createEntry());
      await waitUntil(() =>
        hasLogged(router, "Target changed", { target: "target-9" })
      );
      held?.end("done");
      expect((await responses).map(({ status }) => status))
        .toEqual(Array.from({ length: 12 }, () => 200));
      // Requests for the next target are refused here, those for it would run.
      expect(target.getReceivedRequests()).toHaveLength(1);
    });
  }
});
