/** Reports start time and memory of idle processes and the binary's size. */

import { readFileSync, statSync } from "node:fs";
import type { RunningProcess, TestFleet } from "../harness/fleet.ts";
import type { DemoReport } from "./report.ts";

const bytesPerMegabyte = 1_000_000;

/** Reports the figures of one router, one agent and the binary. */
export function showIdleProcesses(
  { fleet, report, binary }: {
    readonly fleet: TestFleet;
    readonly report: DemoReport;
    readonly binary: string;
  },
): void {
  report.startSection("Idle processes");
  const [router] = fleet.routers;
  const [agent] = fleet.engineAgents;
  if (router !== undefined) showProcess(report, "router", router);
  if (agent !== undefined) showProcess(report, "agent", agent);
  const megabytes = statSync(binary).size / bytesPerMegabyte;
  report.printLine(`the size of the binary is ${megabytes.toFixed(1)} MB`);
  report.recordFigure("binary_mb", Number(megabytes.toFixed(1)));
}

function showProcess(
  report: DemoReport,
  name: string,
  running: RunningProcess,
): void {
  const megabytes = readResidentBytes(running.child.pid) / bytesPerMegabyte;
  report.printLine(
    `the ${name} was ready after ${running.readyMs} ms` +
      ` and uses ${megabytes.toFixed(1)} MB of memory`,
  );
  report.recordFigure(`${name}_ready_ms`, running.readyMs);
  report.recordFigure(`${name}_resident_mb`, Number(megabytes.toFixed(1)));
}

/** Returns the resident memory of a process, in bytes; 0 when it is unknown. */
function readResidentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? "0";
  return Number(kilobytes) * 1024;
}
