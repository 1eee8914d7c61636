/** Tells by a connection attempt whether a process still listens. */

import { connect } from "node:net";
import type { ProbeResult } from "../types/direct_calls.ts";

/** Time for a connection attempt, in milliseconds. */
const connectTimeoutMs = 350;

/** Error code of a connection to a port without a listener. */
const refusedErrorCode = "ECONNREFUSED";

/** Probes an address of the form `host:port`; sends nothing on success. */
export function probeTarget(address: string): Promise<ProbeResult> {
  const separator = address.lastIndexOf(":");
  return new Promise((resolve) => {
    const socket = connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      timeout: connectTimeoutMs,
    });
    socket.on("connect", () => finish("accepts"));
    socket.on("timeout", () => finish("unknown"));
    socket.on("error", ({ code }: NodeJS.ErrnoException) => {
      finish(code === refusedErrorCode ? "refuses" : "unknown");
    });

    function finish(result: ProbeResult): void {
      resolve(result);
      socket.destroy();
    }
  });
}
