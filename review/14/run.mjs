/**
 * Of five routers four are lost for good. The one that is left is partitioned from the
 * store for some seconds, in which a server leaves. The router takes its own cut for an
 * outage of the store, and the leave for an entry that expired in it.
 */

import { createRouters, nextHost, runCase, send, sleep, startProxy, startServer, startStore, waitUntilReady } from "./harness.mjs";

const hasTrouble = process.env.TROUBLE !== "0";

const contactMs = 3_000;
const drainMs = 2_000;
/** Times from the start of the cut. */
const leaveAfterMs = 1_500;
const minCutMs = 3_500;
const maxCutMs = 5_500;
/** Time after the last connection of the router at which the cut ends. */
const healAfterMs = 50;
/** Time for which orders are sent after the router is in touch, and between two. */
const playMs = 3_000;
const orderIntervalMs = 10;

const host = "cards.example";
const key = "n2ctnfzs989anu6wsjnb";

const configuration = {
  Version: 7,
  Routes: [{
    ...{ Name: "print-order", Host: host, Prefix: "/orders/", Type: "unsafe" },
    ...{ TimeoutMs: 600, GoalMs: 121, Priority: 2, Service: "order-desk" },
    ...{ Attempts: 1, Public: false, Sticky: false, Resumable: false, GapGoalMs: 0 },
  }],
  Services: [
    { Name: "order-desk", HealthPath: "/healthz", MaxConns: 110, Protocol: "h1", Tls: false },
  ],
  Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
  Tenants: [{ Name: "press", ApiKeys: [key], Priority: 1 }],
};

await runCase(process.argv[2], async ({ record, folder, routers }) => {
  const store = await startStore();
  store.put("op/config", configuration);
  const runs = [];
  let leftAt;
  let leaverId;
  const zones = ["coast-a", "coast-b", "coast-c"];
  const servers = [];
  for (const zone of zones) {
    servers.push(
      await startServer({ store, service: "order-desk", zone, slots: 6, record, handle: run }),
    );
  }
  const proxy = await startProxy(store.address);
  const { address } = store;
  const created = await createRouters({
    ...{ zones: ["coast-a", "coast-a", "coast-b", "coast-b", "coast-c"], record, folder },
    storeAddresses: [proxy.address, address, address, address, address],
  });
  routers.push(...created);
  routers.forEach((router) => router.start());
  if (!await waitUntilReady(routers)) throw new Error("the routers are not ready");
  await sleep(2_000);
  const [left, ...lost] = routers;
  lost.forEach((router) => router.signal("SIGKILL"));
  await Promise.all(lost.map((router) => router.exited));
  await sleep(contactMs);

  const cutAt = performance.now();
  if (hasTrouble) proxy.cut();
  record.add(`router ${left.id} is ${hasTrouble ? "" : "not "}cut off from the store`);
  await sleep(leaveAfterMs);
  leftAt = performance.now();
  const leaver = servers[0];
  leaverId = leaver.getId();
  leaver.leave();
  await sleep(minCutMs - leaveAfterMs);
  await waitForCall();
  proxy.heal();
  const healedAt = performance.now();
  record.add(`the path is back after ${Math.round(healedAt - cutAt)} ms`);
  await sleep(contactMs + 20);
  record.add(`router ${left.id} is in touch`);

  const endAt = performance.now() + playMs;
  const open = [];
  for (let count = 0; performance.now() < endAt; count++) {
    open.push(send(left, {
      ...{ path: `/orders/${count}`, host, body: `order ${count}`, deadlineMs: 600 },
      headers: { "X-Credential": key },
    }));
    await sleep(orderIntervalMs);
  }
  const answers = await Promise.all(open);
  return judge(answers);

  /** Waits until the router has just opened a connection to the store. */
  async function waitForCall() {
    while (hasTrouble && performance.now() < cutAt + maxCutMs) {
      if (performance.now() - proxy.getOpenedAt() >= healAfterMs &&
        performance.now() - proxy.getOpenedAt() < healAfterMs + 20) return;
      await sleep(5);
    }
  }

  function run({ response, identity, id }) {
    const at = performance.now();
    runs.push({ at, id });
    if (id === leaverId && leftAt !== undefined && at > leftAt + drainMs) {
      record.add(`server ${id} runs ${identity["X-Request-Id"]}, ${Math.round(at - leftAt)} ms after its leave`);
    }
    setTimeout(() => {
      response.writeHead(200, { ...identity, "content-length": 2 });
      response.end("ok");
    }, 21);
  }

  function judge(answers) {
    const served = answers.filter(({ status }) => status === 200).length;
    const statuses = {};
    answers.forEach(({ status }) => statuses[status] = (statuses[status] ?? 0) + 1);
    record.add(`orders: ${answers.length}, by status: ${JSON.stringify(statuses)}`);
    if (served < answers.length / 2) throw new Error("too few orders were served");
    const late = runs.filter(({ at, id }) => id === leaverId && at > leftAt + drainMs);
    record.add(`orders at the server later than ${drainMs} ms after its leave: ${late.length}`);
    return late.length > 0 ? 1 : 0;
  }
});
