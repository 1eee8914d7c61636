/** Counts that the stand-ins keep, over a whole fleet. */

import type { StandIn, TestFleet } from "./fleet.ts";
import { readPath, tryCallHttp } from "./http.ts";

/** Runs of a call over all plain services that answer. */
export async function countRuns(
  fleet: TestFleet,
  id: string,
): Promise<number> {
  const counts = await Promise.all(
    fleet.services.map((service) => readCount(service, `counts.${id}`)),
  );
  return counts.reduce((sum, runs) => sum + runs, 0);
}

/** One count of a stand-in, 0 when it is not known. */
export async function readCount(
  standIn: StandIn,
  path: string,
): Promise<number> {
  const response = await tryCallHttp(`${standIn.url}/counts`);
  return Number(readPath(response?.json, path) ?? 0);
}
