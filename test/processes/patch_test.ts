import {
  type RunningProcess,
  startFleet,
  type TestFleet,
  waitForVersion,
} from "../harness/fleet.ts";
import { callHttp } from "../harness/http.ts";
import { waitFor } from "../harness/wait.ts";

/** Maximum time until an accepted patch is in force, in milliseconds. */
const maxPatchDelayMs = 6000;

describe("configuration patches", () => {
  let fleet: TestFleet;
  let first: RunningProcess;
  let second: RunningProcess;
  let version = 1;

  beforeAll(async () => {
    fleet = await startFleet({ routers: 2, engines: 1, services: 1 });
    [first, second] = fleet.routers as [RunningProcess, RunningProcess];
  });
  afterAll(() => fleet?.stop());
  afterEach(async () => {
    await setFaults({ outage: false, lostAnswers: 0, lostRequests: 0 });
  });

  it("are in force on every process within 6 s", async () => {
    await submit(first, "everywhere");
    await expectInForceEverywhere();
  });

  it("are in force despite an immediate platform outage", async () => {
    await submit(second, "then-outage");
    await setFaults({ outage: true });
    await expectInForceEverywhere();
  });

  it("reach a router that is partitioned from the platform", async () => {
    const { url, setCut } = await createPlatformLink();
    const isolatedRouter = await fleet.addRouter("router-3", { platform: url });
    await setCut("both");
    await submit(first, "past-the-cut");
    await expectInForceEverywhere();
    const refusedResponse = await post(isolatedRouter, "from-the-cut");
    expect(refusedResponse.status).toBe(503);
    await setCut("none");
    await waitFor("the reconnected router to submit", async () => {
      const response = await post(isolatedRouter, "from-the-cut");
      version = Number(response.json?.["version"] ?? version);
      return response.status < 300;
    });
    await expectInForceEverywhere();
  });

  it("reach a router that was frozen when they were accepted", async () => {
    second.child.signal("SIGSTOP");
    for (const id of ["frozen-1", "frozen-2", "frozen-3"]) {
      await submit(first, id);
    }
    second.child.signal("SIGCONT");
    await expectInForceEverywhere();
  });

  it("reach a router that starts during a platform outage", async () => {
    await submit(first, "before-the-outage");
    await setFaults({ outage: true });
    await fleet.addRouter("router-4");
    await expectInForceEverywhere();
  });

  async function submit(router: RunningProcess, id: string): Promise<void> {
    const response = await post(router, id);
    expect(response.status).toBe(201);
    version = Number(response.json?.["version"]);
  }

  function post(router: RunningProcess, id: string, baseVersion = version) {
    return callHttp(`${router.adminUrl}/config/patches`, {
      body: {
        id,
        operator: "test",
        baseVersion,
        operations: [{
          kind: "put_workspace",
          name: "team-1",
          value: {
            weight: 1 + baseVersion,
            requestsPerSecond: 0,
            services: [],
          },
        }],
      },
    });
  }

  /** Expects the newest version with one checksum in all processes. */
  async function expectInForceEverywhere(): Promise<void> {
    const processes = fleet.getProcesses();
    await Promise.all(
      processes.map((running) =>
        waitForVersion(running, version, { timeoutMs: maxPatchDelayMs })
      ),
    );
    const statuses = await Promise.all(
      processes.map(({ adminUrl }) => callHttp(`${adminUrl}/status`)),
    );
    const versions = statuses.map(({ json }) =>
      `${json?.["configurationVersion"]}/${json?.["configurationChecksum"]}`
    );
    expect(new Set(versions).size).toBe(1);
    expect(versions[0]?.startsWith(`${version}/`)).toBe(true);
  }

  async function setFaults(faults: object): Promise<void> {
    await callHttp(`${fleet.platform.url}/faults`, { body: faults });
  }

  /** Creates a link to the platform that leads through the relay. */
  async function createPlatformLink() {
    const platformPort = Number(new URL(fleet.platform.url).port);
    const { json } = await callHttp(`${fleet.relay.url}/links`, {
      body: { name: "platform", kind: "tcp", targetPort: platformPort },
    });
    return {
      url: `http://127.0.0.1:${json?.["port"]}`,
      setCut: (cut: string) =>
        callHttp(`${fleet.relay.url}/links/platform/state`, { body: { cut } }),
    };
  }
});
