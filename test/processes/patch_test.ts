import {
  type RunningProcess,
  startFleet,
  type TestFleet,
  waitForVersion,
} from "../harness/fleet.ts";
import { callHttp, readPath } from "../harness/http.ts";
import { waitFor } from "../harness/wait.ts";

/** Maximum time until an accepted patch is in force, in milliseconds. */
const maxPatchDelayMs = 6000;

/** Longest time for which a router refuses calls after an outage, in ms. */
const maxBackOffMs = 3_000;

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
    await Promise.all([first, second].map(waitUntilPlatformIsReached));
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

  it("are accepted once if the platform's response is lost", async () => {
    await setFaults({ lostAnswers: 1, lostPrefix: "config/patch/" });
    const versionBefore = version;
    await waitFor("the patch to be accepted", async () => {
      const response = await post(first, "lost-answer", versionBefore);
      version = Number(response.json?.["version"] ?? version);
      return response.status < 300;
    });
    expect(version).toBe(versionBefore + 1);
    const secondResponse = await post(second, "lost-answer", versionBefore);
    expect(secondResponse.json).toMatchObject({ version, wasKnown: true });
    const patchResponse = await callHttp(
      `${second.adminUrl}/config/patches/lost-answer`,
    );
    expect(patchResponse.json).toMatchObject({ version, operator: "test" });
    await expectInForceEverywhere();
  });

  it("that conflict are ordered, and the later one is refused", async () => {
    const responses = await Promise.all([
      post(first, "race-1", version),
      post(second, "race-2", version),
    ]);
    const statuses = responses.map(({ status }) => status).sort();
    expect(statuses).toEqual([201, 409]);
    const conflictResponse = responses.find(({ status }) => status === 409);
    expect(
      readPath(conflictResponse?.json, "error.code") ??
        conflictResponse?.text,
    ).toContain("patch_conflict");
    version++;
    await expectInForceEverywhere();
  });

  it("with an invalid field are refused and change nothing", async () => {
    const response = await callHttp(`${first.adminUrl}/config/patches`, {
      body: {
        id: "bad",
        operator: "test",
        baseVersion: version,
        operations: [{
          kind: "put_workspace",
          name: "team-1",
          value: { weight: "heavy", requestsPerSecond: 0, services: [] },
        }],
      },
    });
    expect(response.status).toBe(422);
    expect(response.text).toContain("weight");
    const status = await callHttp(`${first.adminUrl}/status`);
    expect(status.json?.["configurationVersion"]).toBe(version);
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

  /** Waits for the end of the back-off that a router has after an outage. */
  async function waitUntilPlatformIsReached(
    { adminUrl }: RunningProcess,
  ): Promise<void> {
    await waitFor("the router to reach the platform", async () => {
      const { status } = await callHttp(`${adminUrl}/config/patches/unknown`);
      return status === 404;
    }, { timeoutMs: maxBackOffMs });
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
