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

/** Requests a second that the limited target takes. */
const limitPerS = 3;

/** Window in which arrivals are counted, in milliseconds. */
const windowMs = 4_000;

/** Arrivals that are allowed in any window. */
const maxArrivals = 1.5 * limitPerS * windowMs / 1_000 + 5;

/** Time after the first response with a limit until it must hold, in ms. */
const graceMs = 3_000;

/** Time for which callers send after that, in milliseconds. */
const observedMs = 5_000;

const sendIntervalMs = 50;

describe("a target that names a limit", () => {
  let store: StoreStandIn;
  let routers: readonly FleetRouter[];
  let limited: TargetStandIn;
  let other: TargetStandIn;
  let arrivalTimes: number[];

  beforeEach(async () => {
    store = await startConfiguredStore();
    limited = await startTarget("limited", "desk");
    other = await startTarget("other", "desk");
    arrivalTimes = [];
    limited.setHandler((request, response) => {
      arrivalTimes.push(performance.now());
      setIdentityHeaders(request, response, limited.id);
      response.setHeader("Server-Limit", String(limitPerS));
      response.end("done");
    });
    for (const target of [limited, other]) {
      store.put(`servers/${target.id}`, target.createEntry());
    }
    routers = await Promise.all(
      ["router-1", "router-2", "router-3"].map((id) =>
        startFleetRouter(id, store)
      ),
    );
    await waitUntil(() =>
      routers.every((router) => hasLogged(router, "Router is ready"))
    );
  });

  afterEach(async () => {
    await Promise.all(
      routers.map(({ directRouter }) => directRouter.stop("test")),
    );
    await Promise.all([limited.close(), other.close(), store.close()]);
  });

  it.each([
    ["safe", "GET", "/proofs/"],
    ["unsafe", "POST", "/orders/"],
    ["stream", "POST", "/draft/"],
  ])("gets no more from all routers together (%s)", async (
    _kind,
    method,
    prefix,
  ) => {
    const statuses: Promise<number>[] = [];
    const endsAt = performance.now() + graceMs + observedMs;
    while (performance.now() < endsAt) {
      for (const router of routers) {
        const path = `${prefix}${statuses.length}`;
        statuses.push(
          sendRequest(router, path, { method }).then(({ status }) => status),
        );
      }
      await new Promise((resolve) => setTimeout(resolve, sendIntervalMs));
    }
    // The other target has room for all of them.
    expect(new Set(await Promise.all(statuses))).toEqual(new Set([200]));
    const [namedAt = 0] = arrivalTimes;
    const late = arrivalTimes.filter((at) => at >= namedAt + graceMs);
    const busiest = Math.max(
      ...late.map((from) =>
        late.filter((at) => at >= from && at < from + windowMs).length
      ),
    );
    expect(late.length).toBeGreaterThan(0);
    expect(busiest).toBeLessThanOrEqual(maxArrivals);
  });
});
