import {
  type RunningProcess,
  startFleet,
  type TestFleet,
  waitForVersion,
} from "../harness/fleet.ts";
import { callHttp, readPath } from "../harness/http.ts";
import { waitFor } from "../harness/wait.ts";

/** Time within which an accepted patch is in force, in milliseconds. */
const patchBoundMs = 6000;

describe("patches over processes", () => {
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
    await expectEverywhere();
  });

  it("are in force though the service goes down at once", async () => {
    await submit(second, "then-outage");
    await setFaults({ outage: true });
    await expectEverywhere();
  });

  it("reach a router whose way to the platform is cut", async () => {
    const { url, cut } = await createLink();
    const third = await fleet.addRouter("router-3", { platform: url });
    await cut("both");
    await submit(first, "past-the-cut");
    await expectEverywhere();
    const refused = await post(third, "from-the-cut");
    expect(refused.status).toBe(503);
    await cut("none");
    await waitFor("the healed router to submit", async () => {
      const answer = await post(third, "from-the-cut");
      version = Number(answer.json?.["version"] ?? version);
      return answer.status < 300;
    });
    await expectEverywhere();
  });

  it("reach a router that was frozen meanwhile", async () => {
    second.child.signal("SIGSTOP");
    for (const id of ["frozen-1", "frozen-2", "frozen-3"]) {
      await submit(first, id);
    }
    second.child.signal("SIGCONT");
    await expectEverywhere();
  });

  it("reach a router that starts while the service is down", async () => {
    await submit(first, "before-the-outage");
    await setFaults({ outage: true });
    await fleet.addRouter("router-4");
    await expectEverywhere();
  });

  it("are accepted once though the answer was lost", async () => {
    await setFaults({ lostAnswers: 1, lostPrefix: "config/patch/" });
    const before = version;
    await waitFor("the patch to be known", async () => {
      const answer = await post(first, "lost-answer", before);
      version = Number(answer.json?.["version"] ?? version);
      return answer.status < 300;
    });
    expect(version).toBe(before + 1);
    const again = await post(second, "lost-answer", before);
    expect(again.json).toMatchObject({ version, wasKnown: true });
    const found = await callHttp(
      `${second.adminUrl}/config/patches/lost-answer`,
    );
    expect(found.json).toMatchObject({ version, operator: "test" });
    await expectEverywhere();
  });

  it("that race are ordered, and the later one learns of it", async () => {
    const answers = await Promise.all([
      post(first, "race-1", version),
      post(second, "race-2", version),
    ]);
    const statuses = answers.map(({ status }) => status).sort();
    expect(statuses).toEqual([201, 409]);
    const loser = answers.find(({ status }) => status === 409);
    expect(
      readPath(loser?.json, "error.code") ??
        loser?.text,
    ).toContain("patch_conflict");
    version++;
    await expectEverywhere();
  });

  it("that are bad name the field and change nothing", async () => {
    const answer = await callHttp(`${first.adminUrl}/config/patches`, {
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
    expect(answer.status).toBe(422);
    expect(answer.text).toContain("weight");
    const status = await callHttp(`${first.adminUrl}/status`);
    expect(status.json?.["configurationVersion"]).toBe(version);
  });

  async function submit(router: RunningProcess, id: string): Promise<void> {
    const answer = await post(router, id);
    expect(answer.status).toBe(201);
    version = Number(answer.json?.["version"]);
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

  /** All processes have the newest version, with the same checksum. */
  async function expectEverywhere(): Promise<void> {
    const processes = fleet.getProcesses();
    await Promise.all(
      processes.map((running) =>
        waitForVersion(running, version, { timeoutMs: patchBoundMs })
      ),
    );
    const statuses = await Promise.all(
      processes.map(({ adminUrl }) => callHttp(`${adminUrl}/status`)),
    );
    const seen = statuses.map(({ json }) =>
      `${json?.["configurationVersion"]}/${json?.["configurationChecksum"]}`
    );
    expect(new Set(seen).size).toBe(1);
    expect(seen[0]?.startsWith(`${version}/`)).toBe(true);
  }

  async function setFaults(faults: object): Promise<void> {
    await callHttp(`${fleet.platform.url}/faults`, { body: faults });
  }

  /** A path through the relay to the platform. */
  async function createLink() {
    const platformPort = Number(new URL(fleet.platform.url).port);
    const { json } = await callHttp(`${fleet.relay.url}/links`, {
      body: { name: "platform", kind: "tcp", targetPort: platformPort },
    });
    return {
      url: `http://127.0.0.1:${json?.["port"]}`,
      cut: (cut: string) =>
        callHttp(`${fleet.relay.url}/links/platform/state`, { body: { cut } }),
    };
  }
});
