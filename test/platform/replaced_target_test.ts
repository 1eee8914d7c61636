import {
  type CallerResponse,
  type FleetRouter,
  hasLogged,
  sendRequest,
  startConfiguredStore,
  startFleetRouter,
  waitUntil,
} from "./direct_fleet.ts";
import type { StoreStandIn } from "./store_stand_in.ts";
import { startTarget, type TargetStandIn } from "./target_stand_in.ts";

const requestCount = 12;

const attemptMessage = "Try ended without an answer";

/** Paths of requests that may run once, and of those that may run again. */
const paths = { once: ["/orders/"], again: ["/proofs/", "/draft/"] };

// A request that the target of an address had run was sent to the next one, or
// its caller was told that it had not run.
describe("requests to an address that has another target", () => {
  let store: StoreStandIn;
  let router: FleetRouter;
  let replaced: TargetStandIn;
  let other: TargetStandIn;

  beforeEach(async () => {
    store = await startConfiguredStore();
    replaced = await startTarget("target-1", "desk");
    other = await startTarget("target-2", "desk");
  });

  afterEach(async () => {
    await router.directRouter.stop("test");
    await Promise.all([replaced.close(), other.close(), store.close()]);
  });

  /** Sends requests one by one; the target has the entry of `id`. */
  async function sendAll(
    prefix: string,
    id: string,
  ): Promise<readonly CallerResponse[]> {
    store.put(`servers/${id}`, replaced.createEntry());
    store.put("servers/target-2", other.createEntry());
    router = await startFleetRouter("router-1", store);
    await waitUntil(() => hasLogged(router, "Router is ready"));
    const responses: CallerResponse[] = [];
    for (let index = 0; index < requestCount; index++) {
      responses.push(await sendRequest(router, `${prefix}${index}`));
    }
    return responses;
  }

  function countRuns(path: string): number {
    return [replaced, other]
      .flatMap((target) => target.getReceivedRequests())
      .filter((request) => request.path === path).length;
  }

  it.each([...paths.once, ...paths.again])(
    "move on at once where it states that they have not run, %s",
    async (prefix) => {
      const responses = await sendAll(prefix, "target-0");
      expect(responses.map(({ status }) => status))
        .toEqual(Array.from({ length: requestCount }, () => 200));
      expect(replaced.getReceivedRequests()).toEqual([]);
      expect(other.getReceivedRequests()).toHaveLength(requestCount);
      expect(hasLogged(router, attemptMessage, {
        ...{ target: "target-0", result: "wrong_target", status: 421 },
        ...{ verdict: "not_run", proof: "stated" },
      })).toBe(true);
      expect(hasLogged(router, "Target is set aside", {
        ...{ target: "target-0", outcome: "unreachable" },
      })).toBe(true);
    },
  );

  describe("which has run them and does not state that they have not", () => {
    beforeEach(() => {
      replaced.setHandler((request, response) => {
        response.writeHead(421, {
          "X-Request-Id": request.headers["x-request-id"] ?? "",
          "X-Instance": "target-9",
        }).end();
      });
    });

    it.each(paths.once)("end without a promise, %s", async (prefix) => {
      const responses = await sendAll(prefix, "target-1");
      const ranAndRefused = replaced.getReceivedRequests().length;
      expect(ranAndRefused).toBeGreaterThan(0);
      responses.forEach(({ status, body }, index) => {
        expect(countRuns(`${prefix}${index}`)).toBe(1);
        expect([200, 502]).toContain(status);
        if (status === 502) expect(body).toContain('"outcome":"unknown"');
      });
      expect(responses.filter(({ status }) => status === 502))
        .toHaveLength(ranAndRefused);
      expect(hasLogged(router, attemptMessage, { proof: "stated" }))
        .toBe(false);
    });

    it.each(paths.again)(
      "are retried as those that ran, %s",
      async (prefix) => {
        const responses = await sendAll(prefix, "target-1");
        expect(responses.map(({ status }) => status))
          .toEqual(Array.from({ length: requestCount }, () => 200));
        expect(replaced.getReceivedRequests().length).toBeGreaterThan(0);
        expect(hasLogged(router, attemptMessage, {
          ...{ result: "spoiled", verdict: "lost" },
        })).toBe(true);
      },
    );
  });
});
