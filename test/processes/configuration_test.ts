import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { streamChat } from "../harness/chat.ts";
import { readCount } from "../harness/counts.ts";
import {
  binaryCommand,
  type RunningProcess,
  type StandIn,
  startFleet,
  type TestFleet,
} from "../harness/fleet.ts";
import { callHttp, readPath } from "../harness/http.ts";
import { waitFor } from "../harness/wait.ts";

/** Maximum time until an accepted patch is in force, in milliseconds. */
const maxPatchDelayMs = 6_000;

describe("configuration and exits of running processes", () => {
  let fleet: TestFleet;
  let first: RunningProcess;
  let others: readonly RunningProcess[];
  let directory: string;

  beforeEach(async () => {
    directory = mkdtempSync(join(tmpdir(), "mimosatray-"));
    fleet = await startFleet({ routers: 3, engines: 1, services: 1 });
    first = fleet.routers[0] as RunningProcess;
    others = fleet.getProcesses().filter((running) => running !== first);
  });

  afterEach(async () => {
    await fleet?.stop();
    rmSync(directory, { recursive: true });
  });

  it("applies a patch everywhere despite an immediate outage", async () => {
    const accepted = await submit(first, "next", 1);
    await setFaults({ outage: true });
    expect(accepted).toEqual({ exitCode: 0, version: 2 });
    await waitForVersion(fleet.getProcesses(), 2);
    expect(await submit(first, "refused", 2)).toMatchObject({ exitCode: 1 });
  });

  it("applies a patch everywhere after its router is killed", async () => {
    const accepted = await submit(first, "next", 1);
    await first.child.kill();
    expect(accepted.exitCode).toBe(0);
    await waitForVersion(others, 2);
  });

  it("updates a router that starts during a platform outage", async () => {
    await submit(first, "next", 1);
    await setFaults({ outage: true });
    const lateRouter = await fleet.addRouter("router-late");
    await waitForVersion([lateRouter], 2);
    await first.child.kill();
    const restartedRouter = await fleet.restart(first);
    await waitForVersion([restartedRouter], 2);
  });

  it("updates a process that was frozen during two patches", async () => {
    const frozen = others[0] as RunningProcess;
    frozen.child.signal("SIGSTOP");
    await submit(first, "next", 1);
    await submit(first, "after", 2);
    frozen.child.signal("SIGCONT");
    await waitForVersion([frozen], 3);
  });

  it("finds a patch by its id after a lost platform response", async () => {
    await setFaults({ lostAnswers: 1, lostPrefix: "config/patch/" });
    expect(await submit(first, "next", 1)).toMatchObject({ version: 2 });
    const second = others.find(({ role }) =>
      role === "router"
    ) as RunningProcess;
    expect(await submit(second, "next", 1)).toMatchObject({ version: 2 });
    const showResult = await runBinary([
      "config",
      "show",
      "next",
      ...getRouterArguments(second),
    ]);
    expect(showResult.exitCode).toBe(0);
    await waitForVersion(fleet.getProcesses(), 2);
  });

  it("accepts one of two concurrent patches at two routers", async () => {
    const second = others.find(({ role }) =>
      role === "router"
    ) as RunningProcess;
    const results = await Promise.all([
      submit(first, "mine", 1),
      submit(second, "yours", 1),
    ]);
    const exitCodes = results.map(({ exitCode }) => exitCode).sort();
    expect(exitCodes).toEqual([0, 1]);
    await waitForVersion(fleet.getProcesses(), 2);
  });

  it("exits at once on the second signal with work in flight", async () => {
    const stream = streamChat(first.callerUrl, {
      messages: [{ role: "user", content: "A long note" }],
      conversation: "long",
      maxTokens: 2_000,
    }).catch(() => undefined);
    await waitFor("the stream to run", async () => {
      const [engine] = fleet.engines as [StandIn];
      return await readCount(engine, "running") === 1;
    });
    first.child.signal("SIGTERM");
    await waitForLogMessage(first, "Process stops");
    expect(first.child.isRunning()).toBe(true);
    first.child.signal("SIGINT");
    expect(await first.child.waitForExit()).toMatchObject({ code: 130 });
    await stream;
  });

  it("does not start with invalid settings or a port in use", async () => {
    const invalidFile = join(directory, "wrong.jsonc");
    writeFileSync(invalidFile, '{ "role": "router", }');
    expect(await runBinary(["router", invalidFile])).toMatchObject({
      exitCode: 2,
    });
    const { settingsFile } = first;
    expect(await runBinary(["agent", settingsFile])).toMatchObject({
      exitCode: 2,
    });
    expect(await runBinary(["router", settingsFile])).toMatchObject({
      exitCode: 4,
    });
  });

  /** Submits a patch of one workspace through the command line. */
  async function submit(
    router: RunningProcess,
    id: string,
    baseVersion: number,
  ): Promise<{ readonly exitCode: number; readonly version: unknown }> {
    const file = join(directory, `${id}.json`);
    const value = { weight: 2, requestsPerSecond: 0, services: [] };
    const operations = [{ kind: "put_workspace", name: "team-1", value }];
    const patch = { id, operator: "mina", baseVersion, operations };
    writeFileSync(file, JSON.stringify(patch));
    const result = await runBinary([
      "config",
      "patch",
      file,
      "--json",
      ...getRouterArguments(router),
    ]);
    const body = JSON.parse(result.output) as { readonly version?: number };
    return { exitCode: result.exitCode, version: body.version };
  }

  function setFaults(faults: object): Promise<unknown> {
    return callHttp(`${fleet.platform.url}/faults`, { body: faults });
  }
});

function getRouterArguments(router: RunningProcess): readonly string[] {
  return ["--router", `127.0.0.1:${router.adminPort}`];
}

/** Waits until a process has logged a message. */
async function waitForLogMessage(
  running: RunningProcess,
  message: string,
): Promise<void> {
  await waitFor(
    `${running.id} to log "${message}"`,
    () => running.child.getLines().some((line) => line.includes(message)),
  );
}

/** Runs the binary and returns its exit code and standard output. */
async function runBinary(
  argv: readonly string[],
): Promise<{ readonly exitCode: number; readonly output: string }> {
  const [file = "", ...firstArguments] = binaryCommand;
  const child = spawn(file, [...firstArguments, ...argv], {
    stdio: ["ignore", "pipe", "ignore"],
  });
  let output = "";
  child.stdout.on("data", (data) => {
    output += String(data);
  });
  const [exitCode] = await once(child, "close") as [number];
  return { exitCode, output };
}

/** Waits until a version is in force in all given processes. */
async function waitForVersion(
  processes: readonly RunningProcess[],
  version: number,
): Promise<void> {
  await Promise.all(
    processes.map((running) =>
      waitFor(`version ${version} at ${running.id}`, async () => {
        const { json } = await callHttp(`${running.adminUrl}/status`);
        return readPath(json, "configurationVersion") === version;
      }, { timeoutMs: maxPatchDelayMs })
    ),
  );
}
