import {
  type Running,
  startFleet,
  type TestFleet,
  waitForVersion,
} from "../harness/fleet.ts";
import { callHttp, readPath } from "../harness/http.ts";
import { waitFor } from "../harness/wait.ts";

/** Time within which an accepted patch is in force, in milliseconds. */
const maxPatchDelayMs = 6000;

describe("patches over processes", () => {
  let fleet: TestFleet;
  let first: Running;
  let second: Running;
  let version = 1;

  beforeAll(async () => {
    fleet = await startFleet({ routers: 2, engines: 1, services: 1 });
    [first, second] = fleet.routers as [Running, Running];
  });
  afterAll(() => fleet?.stop());
  afterEach(async () => {
    await setFaults({ outage: false, lostAnswers: 0, lostRequests: 0 });
  });

  it("are in force on every process within 6 s", async () => {
    await submit(first, "everywhere");
    await expectInForceEverywhere();
  });

  it("are in force though the service goes down at once", async () => {
    await submit(second, "then-outage");
    await setFaults({ outage: true });
    await expectInForceEverywhere();
  });

  it("reach a router whose way to the platform is cut", async () => {
    const { url, setCut } = await createPlatformLink();
    const isolatedRouter = await fleet.addRouter("router-3", { platform: url });
    await setCut("both");
    await submit(first, "past-the-cut");
    await expectInForceEverywhere();
    const refusedResponse = await post(isolatedRouter, "from-the-cut");
    expect(refusedResponse.status).toBe(503);
    await setCut("none");
    await waitFor("the healed router to submit", async () => {
      const response = await post(isolatedRouter, "from-the-cut");
      version = Number(response.json?.["version"] ?? version);
      return response.status < 300;
    });
    await expectInForceEverywhere();
  });

  it("reach a router that was frozen meanwhile", async () => {
    second.child.signal("SIGSTOP");
    for (const id of ["frozen-1", "frozen-2", "frozen-3"]) {
      await submit(first, id);
    }
    second.child.signal("SIGCONT");
    await expectInForceEverywhere();
  });

  it("reach a router that starts while the service is down", async () => {
    await submit(first, "before-the-outage");
    await setFaults({ outage: true });
    await fleet.addRouter("router-4");
    await expectInForceEverywhere();
  });

  it("are accepted once though the answer was lost", async () => {
    await setFaults({ lostAnswers: 1, lostPrefix: "config/patch/" });
    const versionBefore = version;
    await waitFor("the patch to be known", async () => {
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

  it("that race are ordered, and the later one learns of it", async () => {
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

  it("that are bad name the field and change nothing", async () => {
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

  async function submit(router: Running, id: string): Promise<void> {
    const response = await post(router, id);
    expect(response.status).toBe(201);
    version = Number(response.json?.["version"]);
  }

  function post(router: Running, id: string, baseVersion = version) {
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

  /** All processes have the newest version, with the same checksum. */
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

  /** A path through the relay to the platform. */
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
