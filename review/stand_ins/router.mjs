/** Starts routers with the command of the deploy file. */

import { spawn } from "node:child_process";
import { openSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { sleep } from "./common.mjs";

/** Bounds of the small deployments in SYSTEM.md. */
export const bounds = {
  ...{ SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000 },
  ...{ CatchUpS: 4, DrainMs: 2000, GraceS: 8, LossSlackMs: 200 },
  ...{ ConfigApplyMs: 2000, RevertSlackMs: 250, MaxSkewMs: 5000 },
  ...{ StrictRevoke: false, RevokeMs: 5000, RetryRatio: 0.2 },
  ...{ RetryWindowS: 10, RetrySlack: 56, RecoverS: 12, PassMs: 120 },
  ...{ ReuseWindowS: 10, CapFactor: 2 },
};

/**
 * Creates a router at a loopback address of its own; `start` runs it. `ports` are
 * the same for all routers.
 */
export function createRouter(
  { id, ip, ports, storeAddress, seeds, folder, record },
) {
  const settingsFile = join(folder, `${id}.yaml`);
  // JSON is also YAML.
  writeFileSync(settingsFile, JSON.stringify(getSettings()));
  let child;
  let starts = 0;

  return { id, ip, port: ports.front, start, stop, kill, waitUntilReady };

  /** Runs the `run` line of the role in deploy/system.toml. */
  function start() {
    const log = openSync(join(folder, `${id}_${starts++}.log`), "w");
    const [program, ...words] = getRunLine().split(" ");
    const started = spawn(program, words, {
      env: {
        ...{ PATH: process.env.PATH, HOME: process.env.HOME },
        ...{ LANG: process.env.LANG ?? "C", MIMOSATRAY_BOOT: settingsFile },
      },
      stdio: ["ignore", log, log],
    });
    started.exited = new Promise((resolve) => {
      started.on("error", () => resolve());
      started.on("exit", (code, signal) => {
        record("router ended", { router: id, code, signal });
        resolve();
      });
    });
    child = started;
    record("router started", { router: id });
  }

  async function stop() {
    child?.kill("SIGTERM");
    await child?.exited;
  }

  async function kill() {
    child?.kill("SIGKILL");
    await child?.exited;
  }

  async function waitUntilReady() {
    for (let tries = 0; tries < 200; tries++) {
      if (await isReady()) return true;
      await sleep(50);
    }
    return false;
  }

  async function isReady() {
    try {
      const { status } = await fetch(`http://${ip}:${ports.ready}/-/readyz`, {
        signal: AbortSignal.timeout(500),
      });
      return status === 200;
    } catch {
      return false;
    }
  }

  function getSettings() {
    return {
      ...{ NodeName: id, Role: "router", MachineClass: "edge", Ip: ip },
      ...{ Serves: ["edge", "control"], Zone: "zone-a", Region: "region-1" },
      Zones: { "zone-a": "region-1" },
      Listen: {
        Front: `${ip}:${ports.front}`,
        ReadyAddr: `${ip}:${ports.ready}`,
        Control: `${ip}:${ports.control}`,
      },
      PortRange: [ports.peers, ports.peers + 15],
      Seeds: seeds.map((seed) => `${seed}:${ports.control}`),
      ...{ Bootstrap: true, InTolerance: false, DataDir: null },
      Limits: {
        ...{ CpuShare: 0.513, Cores: 1, MemoryMb: 350, MaxFds: 4100 },
        ...{ LinkMbps: 1000.0, DiskMb: 0 },
      },
      ...{ Discovery: "platform", Entry: "vip", HeartbeatMs: 1200 },
      Contracts: [
        ...["base", "drain", "config", "cost", "retry", "recover", "engine"],
        ...["stream", "tenants", "platform"],
      ],
      FaultTolerance: { Machines: 2, Zones: 0, Regions: 0 },
      Bounds: bounds,
      Platform: {
        ...{ Address: storeAddress, form: "kv", WritesPerS: 400 },
        ...{ ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576 },
        TtlMinMs: 1000,
      },
    };
  }
}

function getRunLine() {
  const text = readFileSync("deploy/system.toml", "utf8");
  const line = /^run = "(.*)"$/m.exec(text)?.[1];
  if (line === undefined) throw new Error("deploy/system.toml has no run line");
  return line;
}
