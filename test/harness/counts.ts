/** Reads the counters of stand-ins. */

import type { StandIn, TestFleet } from "./fleet.ts";
import { readPath, tryCallHttp } from "./http.ts";

/** Returns the runs of a call, summed over all plain services that respond. */
export async function countRuns(
  fleet: TestFleet,
  id: string,
): Promise<number> {
  const counts = await Promise.all(
    fleet.services.map((service) => readCount(service, `counts.${id}`)),
  );
  return counts.reduce((sum, runs) => sum + runs, 0);
}

/** Returns one counter of a stand-in, or 0 when it cannot be read. */
export async function readCount(
  standIn: StandIn,
  path: string,
): Promise<number> {
  const response = await tryCallHttp(`${standIn.url}/counts`);
  return Number(readPath(response?.json, path) ?? 0);
}
