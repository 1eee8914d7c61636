/**
 * Shows the whole system on loopback: two routers, three engines and two plain
 * services with their agents. With --keep it stays up until it is interrupted.
 */

import { once } from "node:events";
import { binaryCommand, startFleet, type TestFleet } from "../harness/fleet.ts";
import { showIdle } from "./idle.ts";
import { createReport, type Report } from "./report.ts";
import { showChats, showDrain, showOrders, showPatch } from "./steps.ts";

const steps = [showChats, showOrders, showPatch, showDrain];

/** Runs the demo and returns its exit code. */
async function main(): Promise<number> {
  const report = createReport();
  const startedAt = performance.now();
  report.section("Starting stand-ins, 2 routers and 5 targets with agents");
  const fleet = await startFleet({ routers: 2, engines: 3, services: 2 });
  try {
    const startMs = Math.round(performance.now() - startedAt);
    report.say(`all ready after ${startMs} ms`);
    report.note("fleet_ready_ms", startMs);
    showIdle({ fleet, report, binary: binaryCommand[0] ?? "" });
    await runSteps(fleet, report);
    if (process.argv.includes("--keep")) await keep(fleet, report);
  } finally {
    await fleet.stop();
  }
  const left = fleet.getChildren().filter((child) => child.isRunning());
  report.check("nothing is left running", left.length === 0);
  report.finish();
  return report.getFailures().length === 0 ? 0 : 1;
}

async function runSteps(fleet: TestFleet, report: Report): Promise<void> {
  const [first, second] = fleet.routers;
  if (first === undefined || second === undefined) return;
  for (const step of steps) {
    await step({ fleet, report, first, second });
  }
}

/** Stays up until it is interrupted, and says what can be tried. */
async function keep(fleet: TestFleet, report: Report): Promise<void> {
  const [first] = fleet.routers;
  if (first === undefined) return;
  report.section("The fleet stays up; interrupt it to end");
  fleet.getProcesses().forEach((running) => {
    const caller = running.role === "router"
      ? `, callers ${running.callerUrl}`
      : "";
    report.say(`${running.id}: operators ${running.adminUrl}${caller}`);
  });
  report.say(`platform: ${fleet.platform.url}, relay: ${fleet.relay.url}`);
  report.section("To try next");
  const address = `127.0.0.1:${first.adminPort}`;
  report.say(`dist/mimosatray status --router ${address}`);
  report.say(`dist/mimosatray dump ${address}`);
  report.say(
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
