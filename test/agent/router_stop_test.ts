import { waitFor } from "../harness/wait.ts";
import { openRawCaller, type RawCaller } from "../support/raw_caller.ts";
import {
  plainService,
  type SmallFleet,
  startSmallFleet,
} from "../support/small_fleet.ts";

/** Time that a router may take to stop, in milliseconds. */
const shutdownMs = 2_400;

/** Time that a call takes, beyond the stop, in milliseconds. */
const callMs = 12_000;

/** Calls that run at the agent, as many as it has slots, and that wait there. */
const runningCalls = 64;
const waitingCalls = 36;

/** Calls that arrive at once; more could wait too long to be accepted. */
const arrivingCalls = 20;

// Calls that waited lost their connections and ran afterwards.
describe.each([1, 3])(
  "a router's stop beside calls that wait at agents (%d)",
  (agentCount) => {
    const runningCount = runningCalls * agentCount;
    const waitingCount = waitingCalls * agentCount;
    let fleet: SmallFleet;

    beforeEach(async () => {
      fleet = await startSmallFleet({
        routers: 1,
        engines: 0,
        services: agentCount,
        shutdownMs,
      });
    });

    afterEach(() => fleet.stop());

    it("refuses them with the proof that they never run", async () => {
      const [router] = fleet.routers;
      if (router === undefined) throw new Error("Empty");
      fleet.services.forEach(({ settings }) => {
        settings.delayMs = callMs;
      });
      const port = Number(new URL(router.url).port);
      const callers: RawCaller[] = [];
      while (callers.length < runningCount + waitingCount) {
        for (let arriving = 0; arriving < arrivingCalls; arriving++) {
          callers.push(openRawCaller(port, formatCall(callers.length)));
        }
        await waitFor(
          "all calls to be at the agents",
          () => countAtAgents(fleet).all === callers.length,
        );
      }
      expect(countAtAgents(fleet).waiting).toBe(waitingCount);
      const { cutOff } = await router.role.stop();
      const refusals = callers.filter(({ getText }) =>
        getText().startsWith("HTTP/1.1 503 ") &&
        getText().includes("x-code: router_stopping")
      );
      const runs = fleet.services.map(({ getCounts }) => getCounts().total);
      expect(runs).toEqual(runs.map(() => runningCalls));
      expect(cutOff).toBe(runningCount);
      expect(refusals).toHaveLength(waitingCount);
      callers.forEach(({ socket }) => socket.destroy());
    });
  },
);

/** Counts the calls at all agents, and those of them that wait. */
function countAtAgents(
  { agents }: SmallFleet,
): { readonly all: number; readonly waiting: number } {
  const dumps = agents.map(({ role }) =>
    role.dump() as { readonly running: number; readonly waiting: number }
  );
  const waiting = dumps.reduce((sum, dump) => sum + dump.waiting, 0);
  const running = dumps.reduce((sum, dump) => sum + dump.running, 0);
  return { all: running + waiting, waiting };
}

function formatCall(index: number): string {
  return `POST /services/${plainService}/orders HTTP/1.1\r\n` +
    `host: a.example\r\nx-workspace: team-1\r\nx-call-id: call-${index}\r\n` +
    "x-deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n";
}
