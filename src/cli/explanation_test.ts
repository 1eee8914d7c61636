import { explainRequest } from "./explanation.ts";

function createLine(
  second: number,
  message: string,
  fields: Readonly<Record<string, unknown>> = {},
): string {
  return JSON.stringify({
    time: new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString(),
    level: "info",
    message,
    process: "router-1",
    ...fields,
  });
}

const logs = [
  createLine(1, "Target is set aside", { target: "t1", failures: 3 }),
  createLine(2, "Target is set aside", { target: "t9" }),
  createLine(3, "Try ended without an answer", { request: "r1", target: "t1" }),
  "a line that is not JSON",
  createLine(4, "Request ended", { request: "r1", target: "t2", code: "done" }),
  createLine(4, "Request ended", { request: "r2", target: "t2" }),
  createLine(5, "Store call failed", { kind: "unavailable" }),
  createLine(6, "Store returned from an older copy", { era: 2 }),
  createLine(40, "Target is gone", { target: "t1" }),
  createLine(4, "Target is gone", { target: "t1", process: "router-2" }),
  createLine(2, "Quarantine starts", { quarantined: "request:1" }),
  createLine(2, "Quarantine starts", { quarantined: "request:2" }),
  createLine(5, "Request ended", { request: "r4", quarantined: "request:1" }),
  createLine(2, "Target limits its requests", { target: "t7", perS: 2 }),
  createLine(5, "Request ended", { request: "r5", limited: "t6 t7" }),
  createLine(30, "Request ended", { request: "r6", target: "t6" }),
  createLine(31, "Request ended", {
    ...{ request: "r7", process: "router-3", target: "t7", resumes: "r6" },
  }),
].join("\n");

describe("explainRequest", () => {
  it("shows its attempts, changes of its targets and the store", () => {
    expect(explainRequest(logs, "r1")).toEqual([
      "router-1:",
      "  00:00:01.000 Target is set aside  target=t1  failures=3",
      "  00:00:03.000 Try ended without an answer  target=t1",
      "  00:00:04.000 Request ended  target=t2  code=done",
      "  00:00:05.000 Store call failed  kind=unavailable",
      "  00:00:06.000 Store returned from an older copy  era=2",
    ]);
  });

  it("shows why the request was quarantined", () => {
    expect(explainRequest(logs, "r4")).toEqual([
      "router-1:",
      "  00:00:05.000 Store call failed  kind=unavailable",
      "  00:00:06.000 Store returned from an older copy  era=2",
      "  00:00:02.000 Quarantine starts  quarantined=request:1",
      "  00:00:05.000 Request ended  quarantined=request:1",
    ]);
  });

  it("shows the limits for which it was refused", () => {
    expect(explainRequest(logs, "r5")).toEqual([
      "router-1:",
      "  00:00:05.000 Store call failed  kind=unavailable",
      "  00:00:06.000 Store returned from an older copy  era=2",
      "  00:00:02.000 Target limits its requests  target=t7  perS=2",
      "  00:00:05.000 Request ended  limited=t6 t7",
    ]);
  });

  it("shows the requests that took its stream up", () => {
    expect(explainRequest(logs, "r6")).toEqual([
      "router-1:",
      "  00:00:30.000 Request ended  target=t6",
      "router-3:",
      "  00:00:31.000 Request ended  target=t7  resumes=r6",
    ]);
  });

  it("is empty for a request that the logs do not contain", () => {
    expect(explainRequest(logs, "r3")).toEqual([]);
  });
});
