/**
 * Runs the whole system on loopback: two routers, three engines and two plain
 * services with their agents. With --keep it runs until it is interrupted.
 */

import { once } from "node:events";
import { binaryCommand, startFleet, type TestFleet } from "../harness/fleet.ts";
import { showIdleProcesses } from "./idle.ts";
import { createDemoReport, type DemoReport } from "./report.ts";
import { showChats, showDrain, showOrders, showPatch } from "./steps.ts";

const steps = [showChats, showOrders, showPatch, showDrain];

/** Runs the demo and returns its exit code. */
async function main(): Promise<number> {
  const report = createDemoReport();
  const startedAt = performance.now();
  report.startSection(
    "Starting stand-ins, 2 routers and 5 targets with agents",
  );
  const fleet = await startFleet({ routers: 2, engines: 3, services: 2 });
  try {
    const startMs = Math.round(performance.now() - startedAt);
    report.printLine(`all ready after ${startMs} ms`);
    report.recordFigure("fleet_ready_ms", startMs);
    showIdleProcesses({ fleet, report, binary: binaryCommand[0] ?? "" });
    await runSteps(fleet, report);
    if (process.argv.includes("--keep")) await keepRunning(fleet, report);
  } finally {
    await fleet.stop();
  }
  const stillRunning = fleet.getChildren().filter((child) => child.isRunning());
  report.check("nothing is left running", stillRunning.length === 0);
  report.finish();
  return report.getFailures().length === 0 ? 0 : 1;
}

async function runSteps(fleet: TestFleet, report: DemoReport): Promise<void> {
  const [first, second] = fleet.routers;
  if (first === undefined || second === undefined) return;
  for (const step of steps) {
    await step({ fleet, report, first, second });
  }
}

/** Prints commands to try and waits until the demo is interrupted. */
async function keepRunning(
  fleet: TestFleet,
  report: DemoReport,
): Promise<void> {
  const [first] = fleet.routers;
  if (first === undefined) return;
  report.startSection("The fleet keeps running; interrupt the demo to stop it");
  fleet.getProcesses().forEach((running) => {
    const caller = running.role === "router"
      ? `, callers ${running.callerUrl}`
      : "";
    report.printLine(`${running.id}: operators ${running.adminUrl}${caller}`);
  });
  report.printLine(
    `platform: ${fleet.platform.url}, relay: ${fleet.relay.url}`,
  );
  report.startSection("Commands to try");
  const address = `127.0.0.1:${first.adminPort}`;
  report.printLine(`dist/mimosatray status --router ${address}`);
  report.printLine(`dist/mimosatray dump ${address}`);
  report.printLine(
    `curl -N ${first.callerUrl}/v1/chat/completions -H 'x-workspace: team-1'` +
      ` -H 'x-conversation: chat-8' -d '{"model": "chat-model",` +
      ` "stream": true, "messages": [{"role": "user",` +
      ` "content": "A note about autumn"}]}'`,
  );
  await Promise.race([once(process, "SIGINT"), once(process, "SIGTERM")]);
}

main().then((code) => process.exit(code), (error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exit(1);
});
