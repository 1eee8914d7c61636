import { promiseStatuses } from "./answer_checker.ts";
import {
  type CallerResponse,
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
import { startTarget, type TargetStandIn } from "./target_stand_in.ts";

/** Paths of all kinds of routes. */
const paths = {
  safe: "/proofs/1",
  unsafe: "/orders/1",
  "stream that cannot be resumed": "/lines/1",
  "resumable stream": "/draft/1",
};

/** Headers of a response that belongs to its request. */
const identity = { "X-Request-Id": "id-1", "X-Server-Stamp": "stamp" };

/** Responses of a target that has run the request. */
const responses: Readonly<
  Record<
    string,
    {
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
    }
  >
> = {
  ...Object.fromEntries(
    [408, 421, 429, 503].map((status) => [
      `${status} without a proof`,
      { status, headers: identity },
    ]),
  ),
  "503 that asks for a pause, without a proof": {
    status: 503,
    headers: { ...identity, "Retry-After": "0.001" },
  },
  "503 with a proof but no id": { status: 503, headers: { "X-Not-Run": "1" } },
  "421 without an id": { status: 421, headers: {} },
  "421 of another target, without a proof": {
    status: 421,
    headers: { "X-Request-Id": "id-1", "X-Instance": "another" },
  },
  ...Object.fromEntries(
    [200, 204, 404, 408, 500, 504].map((status) => [
      `${status} with a proof that contradicts it`,
      { status, headers: { ...identity, "X-Not-Run": "1" } },
    ]),
  ),
};

describe("a request that its target has run", () => {
  let store: StoreStandIn;
  let router: FleetRouter;
  let target: TargetStandIn;

  beforeAll(async () => {
    store = await startConfiguredStore();
    target = await startTarget("target-1", "desk");
    store.put("servers/target-1", target.createEntry());
    const { Routes } = createConfiguration(2);
    store.put(
      "op/config",
      createConfiguration(2, {
        Routes: [
          ...(Routes as readonly unknown[]),
          createRoute("/lines/", "stream"),
        ],
      }),
    );
    router = await startFleetRouter("router-1", store);
    await waitUntil(() => hasLogged(router, "Router is ready"));
  });

  afterAll(async () => {
    await router.directRouter.stop("test");
    await Promise.all([target.close(), store.close()]);
  });

  for (const [name, { status, headers }] of Object.entries(responses)) {
    describe(`and that is answered ${name}`, () => {
      it.each(Object.entries(paths))(
        "is not refused with a promise, %s",
        async (_kind, path) => {
          const runsBefore = target.getReceivedRequests().length;
          target.setHandler((_request, response) => {
            response.writeHead(status, headers).end();
          });
          const response = await sendUntilRun(path, runsBefore);
          expect(target.getReceivedRequests().length).toBe(runsBefore + 1);
          expect([...promiseStatuses]).not.toContain(response.status);
          expect(response.headers["retry-after"]).toBeUndefined();
        },
      );
    });
  }

  /**
   * Sends a request until the target has run it. Until the pause that an earlier
   * response asked for is over, it is refused and the target does not run it.
   */
  async function sendUntilRun(
    path: string,
    runsBefore: number,
  ): Promise<CallerResponse> {
    for (;;) {
      const response = await sendRequest(router, path, {
        method: "POST",
        headers: { "x-request-id": "id-1", "x-deadline-ms": "1000" },
      });
      if (target.getReceivedRequests().length > runsBefore) return response;
      expect(response.status).toBe(503);
      expect(response.body).toContain('"target_full"');
      const retryAfterMs = Number(response.headers["retry-after"]) * 1_000;
      expect(retryAfterMs).toBeGreaterThan(0);
      await new Promise((resolve) => setTimeout(resolve, retryAfterMs));
    }
  }
});
