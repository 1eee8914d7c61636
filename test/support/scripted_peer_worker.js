/**
 * The thread of `scripted_peer.ts`: a TCP server that carries out its steps
 * after the first request, each when the test allows it.
 */

import { createServer } from "node:net";
import { parentPort, workerData } from "node:worker_threads";

const { steps, slots } = workerData;
const state = new Int32Array(workerData.state);

const server = createServer((socket) => {
  socket.on("error", () => undefined);
  socket.once("data", () => void run(socket));
});
server.listen(0, "127.0.0.1", () => {
  parentPort.postMessage(server.address().port);
});

async function run(socket) {
  signal(slots.requests, 1);
  for (const [index, step] of steps.entries()) {
    // This thread has nothing to do meanwhile: what is written is with the
    // kernel, and the rest of a flood waits for the reader.
    Atomics.wait(state, slots.allowed, index);
    await carryOut(socket, step);
    signal(slots.done, index + 1);
  }
}

async function carryOut(socket, { bytes, isFlood, end }) {
  const isWritten = new Promise((resolve) => socket.write(bytes, resolve));
  if (!isFlood) await isWritten;
  if (end === "reset") {
    const isClosed = new Promise((resolve) => socket.once("close", resolve));
    socket.resetAndDestroy();
    await isClosed;
  }
  if (end === "close") {
    const isFinished = new Promise((resolve) => socket.end(resolve));
    if (!isFlood) await isFinished;
  }
}

function signal(slot, value) {
  Atomics.store(state, slot, value);
  Atomics.notify(state, slot);
}
