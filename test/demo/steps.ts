/** The steps of the demo; each one runs a scenario and reports its result. */

import {
  callService,
  type ChatMessage,
  sendChat,
  streamChat,
} from "../harness/chat.ts";
import { countRuns } from "../harness/counts.ts";
import { type RunningProcess, type TestFleet } from "../harness/fleet.ts";
import { callHttp, tryCallHttp } from "../harness/http.ts";
import { sleep, waitFor } from "../harness/wait.ts";
import { classifyDraft } from "../stand_ins/engine/draft.ts";
import type { DemoReport } from "./report.ts";

/** The fleet that the steps run on, two of its routers, and the report. */
export interface DemoContext {
  readonly fleet: TestFleet;
  readonly report: DemoReport;
  readonly first: RunningProcess;
  readonly second: RunningProcess;
}

/** A question with a prompt long enough to be worth caching. */
const question: ChatMessage = {
  role: "user",
  content: "Please write a short note about rivers. ".repeat(20),
};

/** Tokens of each response. */
const responseTokens = 24;

/** Maximum delay until a drained target gets no new work, in milliseconds. */
const maxDrainDelayMs = 3000;

/** Delay of a refused caller before its next chat, in milliseconds. */
const nextChatDelayMs = 100;

/** Maximum delay until a patch is in force, in milliseconds. */
const maxPatchDelayMs = 6000;

/** Streams a chat, then sends its next turn through the other router. */
export async function showChats({ report, first, second }: DemoContext) {
  report.startSection("A chat, streamed");
  const startedAt = performance.now();
  let firstTokenMs = 0;
  const response = await streamChat(first.callerUrl, {
    messages: [question],
    conversation: "chat-7",
    maxTokens: responseTokens,
    onText: () => {
      firstTokenMs ||= performance.now() - startedAt;
    },
  });
  report.printLine(`${first.id} placed it at ${response.targetId}`);
  report.printLine(`first token after ${firstTokenMs.toFixed(1)} ms`);
  report.printLine(`"${response.text.slice(0, 60)}..."`);
  report.check(
    "the response is complete and from a single draft",
    response.isComplete &&
      classifyDraft(response.text, responseTokens) === "whole",
  );

  report.startSection("The same chat returns through the other router");
  const followUp = await sendChat(second.callerUrl, {
    messages: [
      question,
      { role: "assistant", content: response.text },
      { role: "user", content: "Shorter, please" },
    ],
    conversation: "chat-7",
    maxTokens: responseTokens,
  });
  report.printLine(`${second.id} placed it at ${followUp.targetId}`);
  report.printLine(
    `${followUp.cachedTokens} of ${followUp.promptTokens} prompt tokens cached`,
  );
  report.check(
    "it was placed at the same target",
    followUp.targetId === response.targetId,
  );
  report.check("its context was cached", followUp.cachedTokens > 0);
  report.recordFigure("first_token_ms", Number(firstTokenMs.toFixed(1)));
  report.recordFigure("returning_prompt_tokens", followUp.promptTokens);
  report.recordFigure("returning_cached_tokens", followUp.cachedTokens);
}

/** Sends a call that must not run twice, and retries it at the other router. */
export async function showOrders(
  { fleet, report, first, second }: DemoContext,
) {
  report.startSection("A call that must not run twice, and its retry");
  const call = {
    path: "/orders",
    body: { callId: "order-1", boxes: 2 },
    key: "order-1-key",
  };
  const firstResponse = await callService(first.callerUrl, call);
  const retryResponse = await callService(second.callerUrl, call);
  const runs = await countRuns(fleet, "order-1");
  report.printLine(
    `${first.id}: ${firstResponse.status} ${
      describeOutcome(firstResponse.headers)
    }`,
  );
  report.printLine(
    `${second.id}: ${retryResponse.status} ${
      describeOutcome(retryResponse.headers)
    }`,
  );
  report.check("it ran once", runs === 1);
  report.check(
    "the retry got the retained response",
    retryResponse.status === 200 && retryResponse.text === firstResponse.text,
  );
  report.recordFigure("order_runs", runs);
  report.recordFigure(
    "resend_got_kept_answer",
    retryResponse.text === firstResponse.text,
  );
}

/** Submits a patch and measures when each process has it in force. */
export async function showPatch({ fleet, report, first }: DemoContext) {
  report.startSection("A patch");
  const status = await callHttp(`${first.adminUrl}/status`);
  const base = Number(status.json?.["configurationVersion"]);
  const startedAt = performance.now();
  const version = await fleet.patch(first, {
    id: "more-weight",
    baseVersion: base,
    operations: [{
      kind: "put_workspace",
      name: "team-1",
      value: { weight: 2, requestsPerSecond: 0, services: [] },
    }],
  });
  const acceptedMs = performance.now() - startedAt;
  report.printLine(
    `version ${version} was accepted after ${acceptedMs.toFixed(1)} ms`,
  );
  const times = await Promise.all(
    fleet.getProcesses().map(async (running) => {
      await waitFor(`version ${version} at ${running.id}`, async () => {
        const statusResponse = await tryCallHttp(`${running.adminUrl}/status`);
        return Number(statusResponse?.json?.["configurationVersion"]) >=
          version;
      });
      return { running, ms: performance.now() - startedAt };
    }),
  );
  times.forEach(({ running, ms }) =>
    report.printLine(`${running.id}: in force after ${ms.toFixed(1)} ms`)
  );
  const slowestMs = Math.max(...times.map(({ ms }) => ms));
  report.check("in force everywhere within 6 s", slowestMs <= maxPatchDelayMs);
  report.recordFigure("patch_accepted_ms", Number(acceptedMs.toFixed(1)));
  report.recordFigure(
    "patch_in_force_everywhere_ms",
    Number(slowestMs.toFixed(1)),
  );
  times.filter(({ running }) => running.role === "router")
    .forEach(({ running, ms }) =>
      report.recordFigure(`patch_${running.id}_ms`, Number(ms.toFixed(1)))
    );
}

/** Drains a target under load: no chat is cut, and new work soon stops. */
export async function showDrain({ fleet, report, first, second }: DemoContext) {
  report.startSection("A drain under load");
  const [target] = fleet.engineAgents;
  const [engine] = fleet.engines;
  if (target === undefined || engine === undefined) return;
  const load = startLoad([first, second]);
  await sleep(300);
  const drain = await callHttp(`${target.adminUrl}/drain`, {
    body: { operator: "demo" },
  });
  const drainedAt = performance.now();
  report.printLine(`${target.id}: ${drain.status} ${drain.text}`);
  const lastRunAt = await watchRuns(engine.url, maxDrainDelayMs);
  const result = await load.stop();
  const lateMs = Math.max(0, lastRunAt - drainedAt);
  report.printLine(
    `${result.complete} chats complete, ${result.refused} refused as "not run"`,
  );
  result.incompleteEnds.forEach((end) =>
    report.printLine(`incomplete: ${end}`)
  );
  report.printLine(
    `its last new run started ${lateMs.toFixed(0)} ms after the drain`,
  );
  report.check(
    "no new run later than 3 s after the drain",
    lateMs < maxDrainDelayMs,
  );
  report.check("no chat was cut or lost", result.incompleteEnds.length === 0);
  report.recordFigure("drain_last_new_work_ms", Math.round(lateMs));
  report.recordFigure("drain_chats_whole", result.complete);
  report.recordFigure("drain_chats_refused", result.refused);
  report.recordFigure("drain_chats_cut", result.incompleteEnds.length);
}

function describeOutcome(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): string {
  return String(headers["x-outcome"] ?? "");
}

/** Runs callers at each router that send chat after chat until stopped. */
function startLoad(routers: readonly RunningProcess[]) {
  let stopped = false;
  let refused = 0;
  let complete = 0;
  const incompleteEnds: string[] = [];
  const callers = routers.flatMap((router) =>
    Array.from({ length: 4 }, (_, index) => run(router, index))
  );

  return { stop };

  async function stop() {
    stopped = true;
    await Promise.all(callers);
    return { refused, complete, incompleteEnds };
  }

  async function run(router: RunningProcess, caller: number): Promise<void> {
    for (let index = 0; !stopped; index++) {
      const response = await streamChat(router.callerUrl, {
        messages: [question],
        conversation: `load-${router.id}-${caller}-${index}`,
        maxTokens: responseTokens,
      });
      const isWhole = response.isComplete &&
        classifyDraft(response.text, responseTokens) === "whole";
      if (isWhole) {
        complete++;
      } else if (response.outcome === "not_run") {
        // Nothing ran, so the caller pauses and then sends its next chat.
        refused++;
        await sleep(nextChatDelayMs);
      } else {
        incompleteEnds.push(`${response.status} ${response.code || "no code"}`);
      }
    }
  }
}

/** Watches an engine; returns when the last new run started, 0 if none did. */
async function watchRuns(url: string, durationMs: number): Promise<number> {
  const endsAt = performance.now() + durationMs;
  let lastStarted = -1;
  let changedAt = 0;
  while (performance.now() < endsAt) {
    const counts = await callHttp(`${url}/counts`);
    const started = Number(counts.json?.["started"]);
    if (started !== lastStarted) {
      changedAt = lastStarted < 0 ? changedAt : performance.now();
      lastStarted = started;
    }
    await sleep(20);
  }
  return changedAt;
}
