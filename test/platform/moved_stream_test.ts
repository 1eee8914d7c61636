import type { ServerResponse } from "node:http";
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

const path = "/draft/1";

/** Time between the events of a target that works on, in milliseconds. */
const eventIntervalMs = 20;

/** What a target does after its first event, while it works on. */
const behaviours: Readonly<Record<string, (response: ServerResponse) => void>> =
  {
    "falls silent": () => undefined,
    "falls silent within an event": (response) => response.write("id: 2\nda"),
    "leaves events out": (response) => sendFrom(response, 5),
    "sends bytes that are no chunk": ({ socket }) =>
      socket?.write("\u0001\r\n"),
  };

function sendFrom(response: ServerResponse, firstId: number): void {
  let id = firstId;
  const timer = setInterval(
    () => response.write(`id: ${id++}\ndata: x\n\n`),
    eventIntervalMs,
  );
  response.on("close", () => clearInterval(timer));
}

// A target that was not told would work on while the stream goes on elsewhere.
describe("a stream that goes on at another target", () => {
  let store: StoreStandIn;
  let router: FleetRouter;
  let first: TargetStandIn;
  let second: TargetStandIn;

  beforeEach(async () => {
    store = await startConfiguredStore();
    first = await startTarget("target-1", "desk");
    second = await startTarget("target-2", "desk");
    store.put("servers/target-1", first.createEntry());
    router = await startFleetRouter("router-1", store);
    await waitUntil(() => hasLogged(router, "Router is ready"));
  });

  afterEach(async () => {
    await router.directRouter.stop("test");
    await Promise.all([first.close(), second.close(), store.close()]);
  });

  it.each(Object.entries(behaviours))(
    "has ended at the one before, which %s, without the help of the next",
    async (_name, workOn) => {
      let isWorking = false;
      const firstEnded = new Promise<void>((resolve) => {
        first.setHandler((request, response) => {
          isWorking = true;
          response.on("close", () => {
            isWorking = false;
            resolve();
          });
          setIdentityHeaders(request, response, first.id);
          response.writeHead(200, { "Content-Type": "text/event-stream" });
          store.put("servers/target-2", second.createEntry());
          void waitUntil(() =>
            hasLogged(router, "Target changed", { target: second.id })
          ).then(() => {
            response.write("id: 1\ndata: a\n\n");
            workOn(response);
          });
        });
      });
      second.setHandler((request, response) => {
        setIdentityHeaders(request, response, second.id);
        void firstEnded.then(() => {
          response.writeHead(200, { "Content-Type": "text/event-stream" });
          response.end("id: 2\ndata: b\n\n");
        });
      });
      const response = await sendRequest(router, path, { method: "POST" });
      expect(response).toMatchObject({
        ...{ status: 200, isComplete: true },
        body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
      });
      expect(isWorking).toBe(false);
      expect(second.getReceivedRequests()).toHaveLength(1);
    },
  );
});
