import { type FleetRouter, hasLogged, sendRequest } from "./direct_fleet.ts";
import {
  closeCrashingFleet,
  type CrashingService,
  startCrashingFleet,
} from "./crashing_service.ts";
import type { StoreStandIn } from "./store_stand_in.ts";
import type { ReceivedRequest } from "./target_stand_in.ts";

/** Requests with the part after the fifth crash. */
const laterRequests = 20;

/** Requests with the part that may reach engines long after the fifth crash. */
const maxLateSends = 3;

/** Time for routers to tell each other of crashes, in milliseconds. */
const exchangeMs = 1_000;

const crashingPart = "c0ffee01";

describe("a prompt part that crashes engines", () => {
  let store: StoreStandIn;
  let service: CrashingService;
  let routers: readonly FleetRouter[];
  let sent: number;

  beforeEach(async () => {
    sent = 0;
    ({ store, service, routers } = await startCrashingFleet({
      targets: 6,
      isDeadly,
    }));
  });

  afterEach(() => closeCrashingFleet({ store, service, routers }));

  function isDeadly({ headers }: ReceivedRequest): boolean {
    return String(headers["x-prompt-prefix"]).includes(crashingPart);
  }

  it("reaches none with new requests, and sound ones are served", async () => {
    while (service.countCrashes() < 5 && !isKnown()) {
      await sendToEach([crashingPart]);
    }
    await new Promise((resolve) => setTimeout(resolve, exchangeMs));
    const before = service.countArrivals(isDeadly);
    for (let sends = 0; sends < laterRequests / routers.length; sends++) {
      await sendToEach([crashingPart]);
    }
    expect(service.countArrivals(isDeadly) - before)
      .toBeLessThanOrEqual(maxLateSends);
    for (let sends = 0; sends < 5; sends++) {
      expect(await sendToEach([])).toEqual([200, 200]);
    }
  });

  /** Returns true when all routers know what crashes engines. */
  function isKnown(): boolean {
    return routers.every((router) => hasLogged(router, "Quarantine starts"));
  }

  /** Sends a new request to each router; returns their statuses. */
  async function sendToEach(
    parts: readonly string[],
  ): Promise<readonly number[]> {
    const statuses: number[] = [];
    for (const router of routers) {
      const own = `${++sent}`.padStart(8, "0");
      const prefix = ["5ba4ed01", "5e5510e2", ...parts, own]
        .map((id) => `${id}:100`).join(",");
      const { status } = await sendRequest(router, `/draft/${own}`, {
        method: "POST",
        body: own,
        headers: {
          ...{ "x-request-id": own, "x-model": "m", "x-tokens": "400,80" },
          "x-prompt-prefix": prefix,
        },
      });
      statuses.push(status);
      await new Promise((resolve) => setTimeout(resolve, 40));
    }
    return statuses;
  }
});
