/** Finds loopback ports that are free for TCP and for UDP. */

import { createSocket } from "node:dgram";
import { createServer } from "node:net";

/** First port that is tried, below those the system gives to connections. */
const firstPort = 20_000;

/** Number of ports that are tried. */
const portCount = 10_000;

/** Ports between the starting points of two processes. */
const portsPerProcess = 200;

/** Hands out ports; each is given once. */
export interface Ports {
  allocate(): Promise<number>;
}

/** Creates a source of ports that starts at another place in each process. */
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
