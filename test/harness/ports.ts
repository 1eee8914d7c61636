/**
 * Hands out loopback ports for TCP and for UDP, each of them once on this
 * machine. A port is found free long before its process binds it, so that a
 * check alone would let two suites take the same one. Ports are therefore
 * taken from blocks: whoever listens on the first port of a block, its guard,
 * owns the others until its process ends.
 */

import { createSocket } from "node:dgram";
import { createServer } from "node:net";

/**
 * First port of the first block; all lie below the ephemeral ports, which the
 * kernel gives to outgoing connections.
 */
const firstPort = 20_000;

/** Number of ports in one block, with its guard. */
const portsPerBlock = 50;

/** Number of blocks. */
const blockCount = 200;

/** Allocates free ports, each of them once. */
export interface Ports {
  allocate(): Promise<number>;
}

/** Creates an allocator whose first block depends on the process id. */
export function createPorts(): Ports {
  const available: number[] = [];
  let allocation: Promise<unknown> = Promise.resolve();

  return { allocate };

  /** Runs one allocation at a time, so that no block is guarded in vain. */
  function allocate(): Promise<number> {
    const next = allocation.then(takePort);
    allocation = next.catch(() => undefined);
    return next;
  }

  async function takePort(): Promise<number> {
    while (true) {
      const port = available.shift();
      if (port === undefined) available.push(...await takeBlock());
      else if (await isFree(port)) return port;
    }
  }
}

/** Guards a block that no process owns and returns its other ports. */
async function takeBlock(): Promise<readonly number[]> {
  for (let count = 0; count < blockCount; count++) {
    const block = (process.pid + count) % blockCount;
    const guard = firstPort + block * portsPerBlock;
    if (!await tryListen(guard)) continue;
    return Array.from(
      { length: portsPerBlock - 1 },
      (_, index) => guard + 1 + index,
    );
  }
  throw new Error("All blocks of loopback ports are in use");
}

/** Listens until the process ends; returns false if the port is taken. */
function tryListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer().unref();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => resolve(true));
  });
}

async function isFree(port: number): Promise<boolean> {
  return await isTcpFree(port) && await isUdpFree(port);
}

function isTcpFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => {
      server.close(() => resolve(true));
    });
  });
}

function isUdpFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = createSocket("udp4");
    socket.once("error", () => resolve(false));
    socket.bind(port, "127.0.0.1", () => {
      socket.close(() => resolve(true));
    });
  });
}
