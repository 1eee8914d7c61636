/** Finds loopback ports that are free for TCP and for UDP. */

import { createSocket } from "node:dgram";
import { createServer } from "node:net";

/** First candidate port; the range lies below the ephemeral ports. */
const firstPort = 20_000;

/** Number of candidate ports. */
const portCount = 10_000;

/**
 * Distance between the first ports of processes with successive ids, so that
 * concurrent tests rarely try the same ports.
 */
const portsPerProcess = 200;

/** Allocates free ports, each of them once. */
export interface Ports {
  allocate(): Promise<number>;
}

/** Creates an allocator whose first port depends on the process id. */
export function createPorts(): Ports {
  let nextOffset = process.pid * portsPerProcess % portCount;

  return { allocate };

  async function allocate(): Promise<number> {
    for (let count = 0; count < portCount; count++) {
      const port = firstPort + nextOffset;
      nextOffset = (nextOffset + 1) % portCount;
      if (await isFree(port)) return port;
    }
    throw new Error("No loopback port is free");
  }
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
