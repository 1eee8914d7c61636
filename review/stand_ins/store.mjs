/** Stands in for the platform's metadata store, as PROTOCOL.md describes it. */

import { createServer } from "node:http";
import { listen, sleep } from "./common.mjs";

/** Maximum items of one page of a range. */
const maxPageItems = 500;

/**
 * Starts a store that holds nothing. Each router gets a gate of its own, which
 * may be disrupted apart from the others:
 *
 * - `serve`: calls are handled, after `delayMs`.
 * - `busy`: 503, nothing is done.
 * - `silent`: no response; calls that wait get none either.
 * - `reset`: connections are reset.
 */
export async function startStore() {
  const items = new Map();
  const gates = [];
  const watches = new Set();
  let history = [];
  let compactedRevision = 0;
  let revision = 100;

  return { put, remove, tryGet, compact, openGate, close };

  function put(key, value, lease = 0) {
    revision++;
    const text = typeof value === "string" ? value : JSON.stringify(value);
    const item = {
      Key: key,
      Value: Buffer.from(text).toString("base64"),
      Rev: revision,
      Created: items.get(key)?.Created ?? revision,
      Lease: lease,
    };
    items.set(key, item);
    history.push(item);
    checkWatches();
  }

  function remove(key) {
    if (!items.delete(key)) return;
    revision++;
    history.push({ Key: key, Rev: revision, Deleted: true });
    checkWatches();
  }

  function tryGet(key) {
    const value = items.get(key)?.Value;
    return value && Buffer.from(value, "base64").toString();
  }

  /** Drops the history and cuts all watches. */
  function compact() {
    history = [];
    compactedRevision = revision;
    for (const watch of [...watches]) watch.cut();
  }

  function checkWatches() {
    for (const watch of [...watches]) watch.check();
  }

  async function openGate() {
    const sockets = new Set();
    const gate = { address: "", mode: "serve", delayMs: 0, setMode };
    const server = createServer((request, response) => {
      request.on("error", () => undefined);
      response.on("error", () => undefined);
      void handle(gate, request, response).catch(() => response.destroy());
    });
    server.on("connection", (socket) => {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
    });
    const port = await listen(server, "127.0.0.1");
    gate.address = `127.0.0.1:${port}`;
    gates.push({ server, sockets });
    return gate;

    function setMode(mode) {
      gate.mode = mode;
      if (mode === "reset") sockets.forEach((s) => s.resetAndDestroy());
      if (mode === "silent") {
        for (const watch of [...watches]) if (watch.gate === gate) watch.mute();
      }
    }
  }

  async function handle(gate, request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (gate.delayMs > 0) await sleep(gate.delayMs);
    if (gate.mode === "silent") return;
    if (gate.mode === "reset") return void request.socket.resetAndDestroy();
    if (gate.mode === "busy") return send(response, 503, {});
    const { pathname, searchParams } = new URL(request.url, "http://store");
    switch (pathname) {
      case "/-/kv-range":
        return sendRange(searchParams, response);
      case "/-/kv-watch":
        return startWatch(gate, searchParams, response);
      case "/-/kv-txn":
        return commit(JSON.parse(Buffer.concat(chunks).toString()), response);
      default:
        return send(response, 404, {});
    }
  }

  function sendRange(query, response) {
    const prefix = query.get("Prefix") ?? "";
    const after = query.get("After") ?? "";
    const matches = [...items.values()]
      .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
      .sort((left, right) => (left.Key < right.Key ? -1 : 1));
    send(response, 200, {
      Items: matches.slice(0, maxPageItems),
      Truncated: matches.length > maxPageItems,
      AsOf: revision,
    });
  }

  function startWatch(gate, query, response) {
    const prefix = query.get("Prefix") ?? "";
    const after = Number(query.get("After"));
    if (after < compactedRevision) return send(response, 410, {});
    const timer = setTimeout(() => end([]), Number(query.get("WaitMs")));
    const watch = { gate, check, cut, mute };
    watches.add(watch);
    response.on("close", mute);
    check();

    function check() {
      const events = history.filter(({ Key, Rev }) =>
        Key.startsWith(prefix) && Rev > after
      );
      if (events.length > 0) end(events);
    }

    function end(events) {
      mute();
      send(response, 200, { events, AsOf: revision });
    }

    function cut() {
      mute();
      response.destroy();
    }

    function mute() {
      clearTimeout(timer);
      watches.delete(watch);
    }
  }

  function commit({ Precondition = [], Writes = [], Deletes = [] }, response) {
    const fails = Precondition.some(({ Key, Rev }) =>
      (items.get(Key)?.Rev ?? 0) !== Rev
    );
    if (fails) {
      const Items = Precondition.flatMap(({ Key }) => items.get(Key) ?? []);
      return send(response, 412, { Items });
    }
    for (const { Key, Value, Lease } of Writes) {
      put(Key, Buffer.from(Value, "base64").toString(), Lease);
    }
    Deletes.forEach(remove);
    send(response, 200, { Rev: revision });
  }

  function close() {
    for (const { server, sockets } of gates) {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    }
  }
}

function send(response, status, body) {
  if (response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
