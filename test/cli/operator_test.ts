/** Compares the output of the operators' commands with baselines. */

import {
  type AdminListener,
  openAdminListener,
} from "../../src/connection/admin_listener.ts";
import { createSilentLog } from "../../src/process/telemetry/log.ts";
import { createMetrics } from "../../src/process/telemetry/metrics.ts";
import { createConfigurationRoutes } from "../../src/roles/configuration_routes.ts";
import {
  createConfigurationStore,
  type LocalConfigurationStore,
} from "../../src/version/configuration_store.ts";
import {
  createMemoryPlatform,
  type MemoryPlatform,
} from "../fakes/memory_platform.ts";
import { expectBaseline } from "../support/baseline.ts";
import { createTestCodec } from "../support/codec.ts";
import { createDraft, createService, putWorkspace } from "../support/drafts.ts";
import { formatTranscript, runCommand } from "../support/run_cli.ts";

let listener: AdminListener;
let store: LocalConfigurationStore;
let platform: MemoryPlatform;

beforeEach(async () => {
  platform = createMemoryPlatform();
  store = createConfigurationStore({
    platform,
    log: createSilentLog(),
    metrics: createMetrics(),
    codec: createTestCodec(),
    getPeers: () => [],
    isWatcher: () => false,
    spreadPatch: () => undefined,
    pull: () => {
      throw new Error("There is no other member");
    },
  });
  await store.start();
  listener = await openAdminListener(createConfigurationRoutes({ store }), {
    address: "127.0.0.1",
    port: 0,
  });
});

afterEach(async () => {
  await store.stop();
  await listener.close();
});

describe("config", () => {
  it("submits, reads and compares patches and reports refusals", async () => {
    const first = createDraft({
      id: "add-chat",
      operations: [
        { kind: "put_service", name: "chat", value: createService() },
        putWorkspace("studio-1"),
      ],
    });
    const second = createDraft({
      id: "more",
      operator: "noor",
      baseVersion: 1,
      operations: [
        putWorkspace("studio-2", 3),
        { kind: "delete_workspace", name: "studio-1" },
      ],
    });
    const conflicting = {
      ...first,
      id: "late",
      operations: [putWorkspace("studio-2")],
    };
    const invalid = {
      ...first,
      id: "bad",
      colour: 1,
      operations: [{ kind: "put" }],
    };
    let text = "";
    text += await run(["config", "patch", "-"], first);
    text += await run(["config", "patch", "-"], first);
    text += await run(["config", "patch", "-"], second);
    text += await run(["config", "patch", "-"], conflicting);
    text += await run(["config", "patch", "-"], invalid);
    text += await run(["config", "patch", "--json", "-"], invalid);
    text += await run(["config", "get"]);
    text += await run(["config", "get", "service", "chat", "--json"]);
    text += await run(["config", "get", "workspace", "studio-9"]);
    text += await run(["config", "history"]);
    text += await run(["config", "diff", "0"]);
    text += await run(["config", "diff", "1", "2", "--json"]);
    text += await run(["config", "show", "more"]);
    text += await run(["config", "show", "none"]);
    expectBaseline("configuration.txt", text);
  });

  it("exits with 1 for a patch and 3 for a read in an outage", async () => {
    platform.faults.outage = true;
    const draft = JSON.stringify(createDraft());
    const argv = ["config", "patch", "-", "--router", getAddress()];
    expect(await runCommand(argv, draft)).toEqual({
      exitCode: 1,
      stdout: "",
      stderr: "The platform's service does not answer, nothing was changed " +
        "(platform_unavailable)\n",
    });
    const showArgv = ["config", "show", "patch-1", "--router", getAddress()];
    expect((await runCommand(showArgv)).exitCode).toBe(3);
  });

  it("ends a watch after the given number of patches", async () => {
    const argv = ["config", "watch", "--count", "1", "--router", getAddress()];
    const watchResult = runCommand([...argv, "--json"]);
    // The watch prints only patches accepted after its first poll.
    while (store.operator.getHistory(1).length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 300));
      await store.operator.submit(createDraft()).run();
    }
    const { exitCode, stdout } = await watchResult;
    expect(exitCode).toBe(0);
    expect(JSON.parse(stdout)).toMatchObject({ version: 1, id: "patch-1" });
  });

  it("refuses invalid JSON, large bodies and unknown paths", async () => {
    const url = `http://${getAddress()}`;
    const broken = await post(`${url}/config/patches`, '{"id"');
    expect(broken).toMatchObject({ status: 400, code: "bad_json" });
    const large = await post(`${url}/config/patches`, "x".repeat(2_000_000));
    expect(large).toMatchObject({ status: 413, code: "body_too_large" });
    const missing = await post(`${url}/nothing`, "{}");
    expect(missing).toMatchObject({ status: 404, code: "not_found" });
    expect(store.getConfiguration().version).toBe(0);
  });
});

function getAddress(): string {
  return `127.0.0.1:${listener.port}`;
}

/** Runs a command and returns its transcript with a fixed timestamp. */
async function run(
  argv: readonly string[],
  body?: unknown,
): Promise<string> {
  const stdin = body === undefined ? "" : JSON.stringify(body);
  const result = await runCommand([...argv, "--router", getAddress()], stdin);
  return formatTranscript(argv, result).replaceAll(
    /\d{4}-\d\d-\d\dT[\d:.]+Z/g,
    "2026-01-01T00:00:00.000Z",
  );
}

async function post(
  url: string,
  body: string,
): Promise<{ readonly status: number; readonly code: string }> {
  const response = await fetch(url, { method: "POST", body });
  const { errors } = await response.json() as { errors: { code: string }[] };
  return { status: response.status, code: errors[0]?.code ?? "" };
}
