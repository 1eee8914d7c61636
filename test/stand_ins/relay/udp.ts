/** Relays UDP datagrams; datagrams on a cut link are dropped. */

import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import type { Link } from "./link.ts";
import type { LinkEndpoints, Relay } from "./tcp.ts";

/** Starts the UDP relay of a link, with a socket to the target per caller. */
export function startUdpRelay(
  endpoints: LinkEndpoints,
  link: Link,
): Promise<Relay> {
  const listener = createSocket("udp4");
  const socketsByCaller = new Map<string, Socket>();

  listener.on("message", (data, caller) => {
    if (link.isCut("to_target")) return;
    const targetSocket = getTargetSocket(caller);
    runDelayed(() =>
      targetSocket.send(data, endpoints.targetPort, endpoints.targetAddress)
    );
  });

  return new Promise((resolve, reject) => {
    listener.on("error", reject);
    listener.bind(endpoints.port, endpoints.address, () => {
      resolve({ port: listener.address().port, reset, close });
    });
  });

  function getTargetSocket(caller: RemoteInfo): Socket {
    const key = `${caller.address}:${caller.port}`;
    const existing = socketsByCaller.get(key);
    if (existing !== undefined) return existing;
    const targetSocket = createSocket("udp4");
    targetSocket.on("error", () => undefined);
    targetSocket.on("message", (data) => {
      if (link.isCut("from_target")) return;
      runDelayed(() => listener.send(data, caller.port, caller.address));
    });
    socketsByCaller.set(key, targetSocket);
    return targetSocket;
  }

  function runDelayed(callback: () => void): void {
    const { delayMs } = link.getState();
    if (delayMs === 0) {
      callback();
    } else {
      setTimeout(callback, delayMs);
    }
  }

  function reset(): void {
    socketsByCaller.forEach((targetSocket) => targetSocket.close());
    socketsByCaller.clear();
  }

  function close(): Promise<void> {
    reset();
    return new Promise((resolve) => listener.close(() => resolve()));
  }
}
