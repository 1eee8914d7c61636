/** Relays UDP datagrams; cut datagrams are lost. */

import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import type { Link } from "./link.ts";
import type { Path, Relay } from "./tcp.ts";

/** Starts a UDP relay with one socket to the target for each caller. */
export function startUdpRelay(path: Path, link: Link): Promise<Relay> {
  const front = createSocket("udp4");
  const backs = new Map<string, Socket>();

  front.on("message", (data, caller) => {
    if (link.isCut("to_target")) return;
    const back = getBack(caller);
    later(() => back.send(data, path.targetPort, path.targetAddress));
  });

  return new Promise((resolve, reject) => {
    front.on("error", reject);
    front.bind(path.port, path.address, () => {
      resolve({ port: front.address().port, reset, close });
    });
  });

  function getBack(caller: RemoteInfo): Socket {
    const key = `${caller.address}:${caller.port}`;
    const held = backs.get(key);
    if (held !== undefined) return held;
    const back = createSocket("udp4");
    back.on("error", () => undefined);
    back.on("message", (data) => {
      if (link.isCut("from_target")) return;
      later(() => front.send(data, caller.port, caller.address));
    });
    backs.set(key, back);
    return back;
  }

  function later(act: () => void): void {
    const { delayMs } = link.getState();
    if (delayMs === 0) {
      act();
    } else {
      setTimeout(act, delayMs);
    }
  }

  function reset(): void {
    backs.forEach((back) => back.close());
    backs.clear();
  }

  function close(): Promise<void> {
    reset();
    return new Promise((resolve) => front.close(() => resolve()));
  }
}
