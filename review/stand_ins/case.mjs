/** Runs one case: keeps its record, ends what it started, and its exit code. */

import { createWriteStream, mkdtempSync, rmSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { listen } from "./common.mjs";
import { createRouter } from "./router.mjs";
import { startServer } from "./server.mjs";
import { startStore } from "./store.mjs";

/** Exit codes of a case. */
const exitCodes = { held: 0, broken: 1, notRun: 2 };

/** Port at which each router serves its metrics; its settings don't name one. */
const metricsPort = 9464;

/** Maximum number of routers of a case. */
const maxRouters = 5;

/** Longest time of a case, in milliseconds. */
const maxRunMs = 110_000;

/** True unless the case runs without its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/**
 * Runs `play`, which returns whether the rule was broken, with a summary. It
 * gets functions that start the store, routers and servers.
 */
export async function runCase(moduleUrl, play) {
  const caseFolder = dirname(fileURLToPath(moduleUrl));
  process.chdir(join(caseFolder, "../.."));
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const out = createWriteStream(join(caseFolder, "record.txt"));
  const startedAt = performance.now();
  const ends = [];
  let routers = 0;
  let exitCode = exitCodes.notRun;
  const timer = setTimeout(() => {
    record("case took too long", {});
    void finish();
  }, maxRunMs);
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => void finish());
  }
  record("case starts", { hasTrouble });
  let network;
  try {
    network = await findNetwork();
    const { isBroken, ...summary } = await play({
      record,
      ...{ addStore, addRouter, addServer },
    });
    record(isBroken ? "rule was broken" : "rule held", summary);
    console.log(isBroken ? "broken" : "held", JSON.stringify(summary));
    exitCode = isBroken ? exitCodes.broken : exitCodes.held;
  } catch (error) {
    record("case could not run", { reason: String(error?.stack ?? error) });
    console.log("not run", String(error));
  }
  await finish();

  async function finish() {
    clearTimeout(timer);
    await Promise.all(ends.map((end) => end()));
    if (process.env.KEEP !== "1") rmSync(folder, { recursive: true, force: true });
    else console.log(folder);
    await new Promise((resolve) => out.end(resolve));
    process.exit(exitCode);
  }

  /** Writes a line: the time in ms, what happened, and its fields. */
  function record(event, fields) {
    const ms = (performance.now() - startedAt).toFixed(1).padStart(9);
    out.write(`${ms} ${event} ${JSON.stringify(fields)}\n`);
  }

  async function addStore() {
    const store = await startStore();
    ends.push(store.close);
    return store;
  }

  /** Creates a router with a gate of the store of its own. */
  async function addRouter(store) {
    const index = ++routers;
    const gate = await store.openGate();
    const router = createRouter({
      ...{ id: `router-${index}`, ip: getIp(index) },
      ...{ ports: network.ports, folder, record },
      ...{ storeAddress: gate.address, seeds: [1, 2].map(getIp) },
    });
    ends.push(router.kill);
    return { ...router, gate };
  }

  function getIp(index) {
    return `${network.prefix}.${index}`;
  }

  async function addServer(store, options) {
    const server = await startServer({ record, service: "desk", ...options });
    ends.push(server.close);
    store.put(`servers/${server.id}`, server.getEntry());
    return server;
  }
}

/** Finds loopback addresses and ports that nothing listens at. */
async function findNetwork() {
  const [front, ready, control, peers] = await Promise.all(
    Array.from({ length: 4 }, () => findPort()),
  );
  for (let tries = 0; tries < 50; tries++) {
    const draw = () => 1 + Math.floor(Math.random() * 254);
    const prefix = `127.${draw()}.${draw()}`;
    const hosts = Array.from(
      { length: maxRouters },
      (_, index) => `${prefix}.${index + 1}`,
    );
    const checks = hosts.flatMap((host) =>
      [metricsPort, front, ready, control, peers].map((port) =>
        isFree(host, port)
      )
    );
    const areFree = await Promise.all(checks);
    if (areFree.every((free) => free)) {
      return { prefix, ports: { front, ready, control, peers } };
    }
  }
  throw new Error("No loopback addresses are free");
}

async function findPort() {
  const server = createServer();
  const port = await listen(server, "127.0.0.1");
  await new Promise((resolve) => server.close(resolve));
  return Math.min(port, 65_000);
}

async function isFree(host, port) {
  const server = createServer();
  try {
    await listen(server, host, port);
    await new Promise((resolve) => server.close(resolve));
    return true;
  } catch {
    return false;
  }
}

/** Starts routers and waits until all are ready. */
export async function startRouters(routers) {
  routers.forEach((router) => router.start());
  for (const router of routers) {
    if (!await router.waitUntilReady()) {
      throw new Error(`${router.id} is not ready`);
    }
  }
}

/** Returns a configuration with routes to the service `desk`. */
export function createConfiguration(version, routes) {
  return {
    Version: version,
    Routes: routes.map((route) => ({
      ...{ Name: route.Prefix, Host: "cards.example", Service: "desk" },
      ...{ TimeoutMs: 15000, GoalMs: 800, Priority: 1, Attempts: 1 },
      ...{ Public: false, Sticky: false, Resumable: false, GapGoalMs: 250 },
      ...route,
    })),
    Services: [{
      ...{ Name: "desk", HealthPath: "/healthz", MaxConns: 110 },
      ...{ Protocol: "h1", Tls: false },
    }],
    Limits: {
      ...{ MaxHeaderBytes: 16384, MaxBodyBytes: 4194304 },
      ...{ HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
    },
    Tenants: [{ Name: "artists", ApiKeys: ["key-1"], Priority: 1 }],
  };
}
