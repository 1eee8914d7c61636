/**
 * A client sends requests whose prompts are larger than the memory of any server, which
 * the servers reject as if they were full. Beside them run sound requests.
 */

import { createRouters, nextHost, runCase, send, sleep, startServer, startStore, waitUntilReady } from "./harness.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
/** Tokens of the large prompts; a memory holds 565,582. */
const largeTokens = Number(process.env.TOKENS ?? 5_000_000_000);

const playMs = 60_000;
const largeIntervalMs = 1_000;
const soundIntervalMs = 50;
/** Time after which the platform starts a process again that has ended. */
const restartMs = 500;
/** Ends by themselves of one machine's processes, and machines with so many. */
const maxEnds = 2;
const maxMachines = 1;

const host = "cards.example";
const key = "n2ctnfzs989anu6wsjnb";
const largeBody = JSON.stringify({ check: "the wording of all cards" });

const configuration = {
  Version: 7,
  Routes: [{
    ...{ Name: "tone-check", Host: host, Prefix: "/tone/", Type: "stream" },
    ...{ TimeoutMs: 3_000, GoalMs: 400, Priority: 2, Service: "verse-model" },
    ...{ Attempts: 1, Public: false, Sticky: true, Resumable: false, GapGoalMs: 250 },
  }],
  Services: [{
    ...{ Name: "verse-model", HealthPath: "/healthz", MaxConns: 370, Protocol: "h1", Tls: false },
    Engine: {
      ...{ Slots: 64, KvCapacity: 565_582, KvTokenBytes: 163_840, LinkMbps: 550_000 },
      ...{ Moves: true, Backups: true, Stride: 6, most: 2, PinMs: 4_000, HoldMs: 2_000 },
      ...{ HandleS: 5, Models: [{ Name: "m" }] },
    },
  }],
  Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
  Tenants: [{ Name: "press", ApiKeys: [key], Priority: 1 }],
};

await runCase(process.argv[2], async ({ record, folder, routers }) => {
  const store = await startStore();
  store.put("op/config", configuration);
  let sound = 0;
  let soundServed = 0;
  let large = 0;
  let rejected = 0;
  let isOver = false;
  const ends = new Map();
  const zones = ["coast-a", "coast-b", "coast-c"];
  for (let index = 0; index < 6; index++) {
    await startServer({
      ...{ store, service: "verse-model", zone: zones[index % 3], slots: 64 },
      ...{ record, handle: run, rejects: isLarge },
    });
  }
  const created = await createRouters({
    ...{ zones: ["coast-a", "coast-a", "coast-b", "coast-b", "coast-c"], record, folder },
    storeAddress: store.address,
  });
  routers.push(...created);
  routers.forEach((router) => void keepRunning(router));
  if (!await waitUntilReady(routers)) throw new Error("the routers are not ready");
  await sleep(1_000);

  const endAt = performance.now() + playMs;
  await Promise.all([sendSound(), sendLarge()]);
  isOver = true;
  return judge();

  /** Starts a router, and again after each end, as the platform does. */
  async function keepRunning(router) {
    while (!isOver) {
      router.start();
      await router.exited;
      if (isOver) return;
      ends.set(router.id, (ends.get(router.id) ?? 0) + 1);
      await sleep(restartMs);
    }
  }

  /** A request that is larger than the memory is rejected as if it were full. */
  function isLarge(request) {
    const [prompt = 0, output = 0] = (request.headers["x-tokens"] ?? "").split(",").map(Number);
    const { KvCapacity } = configuration.Services[0].Engine;
    if (prompt + output <= KvCapacity) return false;
    rejected++;
    return true;
  }

  /** Runs a request: a stream of three events in 40 ms. */
  function run({ response, identity, id }) {
    response.writeHead(200, { ...identity, "content-type": "text/event-stream" });
    let event = 0;
    const timer = setInterval(() => {
      event++;
      response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
      if (event < 3) return;
      clearInterval(timer);
      response.end();
    }, 15);
    response.on("close", () => clearInterval(timer));
  }

  async function sendSound() {
    const open = [];
    for (let count = 0; performance.now() < endAt; count++) {
      open.push(sendOne(routers[count % routers.length], {
        body: JSON.stringify({ check: `card ${count}` }),
        tokens: "701,24",
        parts: `5c1e07a2:341,${(0x91000000 + count).toString(16)}:360`,
      }).then((answer) => {
        sound++;
        if (answer.status === 200 && answer.isComplete) soundServed++;
      }));
      await sleep(soundIntervalMs);
    }
    await Promise.all(open);
  }

  /** Sends a large request to each router in turn, five in a second. */
  async function sendLarge() {
    while (performance.now() < endAt) {
      for (const router of routers) {
        const own = (0x92000000 + large++).toString(16);
        const tokens = hasTrouble ? largeTokens : 700;
        const answer = await sendOne(router, {
          body: largeBody,
          tokens: `${tokens},24`,
          parts: `a${own}:${tokens - 60},${own}:60`,
        });
        record.add(`${answer.requestId}, of ${tokens} tokens, at ${router.id}: ${answer.status}`);
      }
      await sleep(largeIntervalMs);
    }
  }

  function sendOne(router, { body, tokens, parts }) {
    return send(router, {
      ...{ path: "/tone/check", host, body, deadlineMs: 3_000 },
      headers: {
        ...{ "X-Credential": key, "X-Model": "m", "X-Tokens": tokens },
        "X-Prompt-Prefix": parts,
      },
    });
  }

  function judge() {
    record.add(`sound requests: ${sound}, served: ${soundServed}`);
    record.add(`large requests: ${large}, rejected by servers: ${rejected} times`);
    for (const { id } of routers) {
      record.add(`processes of ${id} that ended by themselves: ${ends.get(id) ?? 0}`);
    }
    if (hasTrouble && rejected === 0) throw new Error("no large request reached a server");
    const machines = [...ends.values()].filter((count) => count > maxEnds).length;
    return machines > maxMachines ? 1 : 0;
  }
});
