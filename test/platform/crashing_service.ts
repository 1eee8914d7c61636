/** A service whose targets end when they run some requests, on loopback. */

import {
  type FleetRouter,
  hasLogged,
  startConfiguredStore,
  startFleetRouter,
  waitUntil,
} from "./direct_fleet.ts";
import type { StoreStandIn } from "./store_stand_in.ts";
import {
  type ReceivedRequest,
  setIdentityHeaders,
  startTarget,
  type TargetStandIn,
} from "./target_stand_in.ts";

/** Time until the replacement of a crashed target is registered, in ms. */
const replacementMs = 30;

/** Time that a slow request runs, in milliseconds. */
const slowRunMs = 300;

/** What targets do with sound requests. */
type Manner = "serve" | "reset" | "spoil";

/** A service that a test controls. */
export interface CrashingService {
  /** Sets what all targets do with sound requests. */
  setManner(manner: Manner): void;
  /** Returns the number of requests that arrived and match, run or not. */
  countArrivals(matches: (request: ReceivedRequest) => boolean): number;
  /** Returns the number of targets that have crashed. */
  countCrashes(): number;
  /** Ends all targets without a request that causes it. */
  crashAll(): Promise<void>;
  close(): Promise<void>;
}

/** Two or more routers, their store and one service. */
export interface CrashingFleet {
  readonly store: StoreStandIn;
  readonly service: CrashingService;
  readonly routers: readonly FleetRouter[];
}

/** Starts a fleet of two routers that are ready. */
export async function startCrashingFleet(
  options: Parameters<typeof startCrashingService>[1],
): Promise<CrashingFleet> {
  const store = await startConfiguredStore();
  const service = await startCrashingService(store, options);
  const routers = await Promise.all(
    ["router-1", "router-2"].map((id) => startFleetRouter(id, store)),
  );
  await waitUntil(() =>
    routers.every((router) => hasLogged(router, "Router is ready"))
  );
  return { store, service, routers };
}

/** Stops the routers, then their service and store. */
export async function closeCrashingFleet(
  { store, service, routers }: CrashingFleet,
): Promise<void> {
  await Promise.all(
    routers.map(({ directRouter }) => directRouter.stop("test")),
  );
  await Promise.all([service, store].map((stand) => stand.close()));
}

/** Starts a service whose crashed targets are replaced soon. */
async function startCrashingService(
  store: StoreStandIn,
  { targets: count, isDeadly }: {
    readonly targets: number;
    readonly isDeadly: (request: ReceivedRequest) => boolean;
  },
): Promise<CrashingService> {
  const arrived: ReceivedRequest[] = [];
  const running = new Set<TargetStandIn>();
  const replacements = new Set<Promise<void>>();
  let started = 0;
  let crashes = 0;
  let isClosed = false;
  let manner: Manner = "serve";
  await Promise.all(Array.from({ length: count }, start));

  return {
    setManner: (value) => {
      manner = value;
    },
    countArrivals: (matches) => arrived.filter(matches).length,
    countCrashes: () => crashes,
    crashAll: async () => {
      await Promise.all([...running].map(crash));
    },
    close: async () => {
      isClosed = true;
      await Promise.all(replacements);
      await Promise.all([...running].map((target) => target.close()));
    },
  };

  async function start(): Promise<void> {
    const id = `target-${++started}`;
    const target = await startTarget(id, "desk");
    running.add(target);
    target.setHandler((request, response) => {
      arrived.push(request);
      if (isDeadly(request)) return void crash(target);
      if (manner === "reset") return response.socket?.resetAndDestroy();
      setIdentityHeaders(request, response, id);
      if (manner === "spoil") response.setHeader("X-Request-Id", "another");
      if (request.path.endsWith("/slow")) {
        return void setTimeout(() => response.end("done"), slowRunMs);
      }
      if (!request.path.startsWith("/draft/")) return void response.end("done");
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.end("id: 1\ndata: word\n\n");
    });
    // The router tells processes apart by their start.
    store.put(
      `servers/${id}`,
      target.createEntry("ready", { born: Date.now() }),
    );
  }

  async function crash(target: TargetStandIn): Promise<void> {
    if (!running.delete(target)) return;
    crashes++;
    await target.close();
    const replacement = replace(target.id);
    replacements.add(replacement);
    await replacement;
    replacements.delete(replacement);
  }

  async function replace(id: string): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, replacementMs));
    store.remove(`servers/${id}`);
    if (!isClosed) await start();
  }
}
