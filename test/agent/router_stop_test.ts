import { waitFor } from "../harness/wait.ts";
import { openRawCaller } from "../support/raw_caller.ts";
import {
  plainService,
  type SmallFleet,
  startSmallFleet,
} from "../support/small_fleet.ts";

/** Time that a router may take to stop, in milliseconds. */
const shutdownMs = 2_400;

/** Time that a call takes, beyond the stop, in milliseconds. */
const callMs = 6_000;

/** Calls that run at the agent, as many as it has slots, and that wait there. */
const runningCalls = 64;
const waitingCalls = 36;

// Calls that waited lost their connections and ran afterwards.
describe("a router's stop beside calls that wait at an agent", () => {
  let fleet: SmallFleet;

  beforeEach(async () => {
    fleet = await startSmallFleet({
      routers: 1,
      engines: 0,
      services: 1,
      shutdownMs,
    });
  });

  afterEach(() => fleet.stop());

  it("refuses them with the proof that they never run", async () => {
    const [router] = fleet.routers;
    const [target] = fleet.services;
    if (router === undefined || target === undefined) throw new Error("Empty");
    target.settings.delayMs = callMs;
    const port = Number(new URL(router.url).port);
    const callers = Array.from(
      { length: runningCalls + waitingCalls },
      (_, index) => openRawCaller(port, formatCall(index)),
    );
    await waitFor(
      "all calls to be at the agent",
      () => {
        const dump = fleet.agents[0]?.role.dump() as
          | { readonly waiting: number }
          | undefined;
        return dump?.waiting === waitingCalls;
      },
    );
    const { cutOff } = await router.role.stop();
    const refusals = callers.filter(({ getText }) =>
      getText().startsWith("HTTP/1.1 503 ") &&
      getText().includes("x-code: router_stopping")
    );
    expect(target.getCounts().total).toBe(runningCalls);
    expect(cutOff).toBe(runningCalls);
    expect(refusals).toHaveLength(waitingCalls);
    callers.forEach(({ socket }) => socket.destroy());
  });
});

function formatCall(index: number): string {
  return `POST /services/${plainService}/orders HTTP/1.1\r\n` +
    `host: a.example\r\nx-workspace: team-1\r\nx-call-id: call-${index}\r\n` +
    "x-deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n";
}
