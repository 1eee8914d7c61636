/** The steps of the demo, each with what it shows. */

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
import { checkDraft } from "../stand_ins/engine/draft.ts";
import type { Report } from "./report.ts";

/** What the steps work on. */
export interface DemoHost {
  readonly fleet: TestFleet;
  readonly report: Report;
  readonly first: RunningProcess;
  readonly second: RunningProcess;
}

/** A question with a prompt long enough to be worth keeping. */
const question: ChatMessage = {
  role: "user",
  content: "Please write a short note about rivers. ".repeat(20),
};

/** Tokens of each answer. */
const answerTokens = 24;

/** Longest time until a drained target gets no new work, in milliseconds. */
const drainBoundMs = 3000;

/** Wait of a refused caller before its next chat, in milliseconds. */
const refusedPauseMs = 100;

/** Longest time until a patch is in force, in milliseconds. */
const patchBoundMs = 6000;

/** A chat, then the same chat with its next question by the other router. */
export async function showChats({ report, first, second }: DemoHost) {
  report.section("A chat, streamed");
  const startedAt = performance.now();
  let firstTokenMs = 0;
  const answer = await streamChat(first.callerUrl, {
    messages: [question],
    conversation: "chat-7",
    maxTokens: answerTokens,
    onText: () => {
      firstTokenMs ||= performance.now() - startedAt;
    },
  });
  report.say(`${first.id} placed it at ${answer.place}`);
  report.say(`first token after ${firstTokenMs.toFixed(1)} ms`);
  report.say(`"${answer.text.slice(0, 60)}..."`);
  report.check(
    "the answer is whole and one draft",
    answer.isComplete && checkDraft(answer.text, answerTokens) === "whole",
  );

  report.section("The same chat returns through the other router");
  const again = await sendChat(second.callerUrl, {
    messages: [
      question,
      { role: "assistant", content: answer.text },
      { role: "user", content: "Shorter, please" },
    ],
    conversation: "chat-7",
    maxTokens: answerTokens,
  });
  report.say(`${second.id} placed it at ${again.place}`);
  report.say(
    `${again.cachedTokens} of ${again.promptTokens} prompt tokens in cache`,
  );
  report.check("it found its place", again.place === answer.place);
  report.check("its context was in the cache", again.cachedTokens > 0);
  report.note("first_token_ms", Number(firstTokenMs.toFixed(1)));
  report.note("returning_prompt_tokens", again.promptTokens);
  report.note("returning_cached_tokens", again.cachedTokens);
}

/** A call that must not repeat, and its resend through the other router. */
export async function showOrders({ fleet, report, first, second }: DemoHost) {
  report.section("A call that must not repeat, and its resend");
  const call = {
    path: "/orders",
    body: { callId: "order-1", boxes: 2 },
    key: "order-1-key",
  };
  const sent = await callService(first.callerUrl, call);
  const resent = await callService(second.callerUrl, call);
  const runs = await countRuns(fleet, "order-1");
  report.say(`${first.id}: ${sent.status} ${describeOutcome(sent.headers)}`);
  report.say(
    `${second.id}: ${resent.status} ${describeOutcome(resent.headers)}`,
  );
  report.check("it ran one time", runs === 1);
  report.check(
    "the resend got the kept answer",
    resent.status === 200 && resent.text === sent.text,
  );
  report.note("order_runs", runs);
  report.note("resend_got_kept_answer", resent.text === sent.text);
}

/** A patch, and when each router had it in force. */
export async function showPatch({ fleet, report, first }: DemoHost) {
  report.section("A patch");
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
  report.say(
    `version ${version} was accepted after ${acceptedMs.toFixed(1)} ms`,
  );
  const times = await Promise.all(
    fleet.getProcesses().map(async (running) => {
      await waitFor(`version ${version} at ${running.id}`, async () => {
        const held = await tryCallHttp(`${running.adminUrl}/status`);
        return Number(held?.json?.["configurationVersion"]) >= version;
      });
      return { running, ms: performance.now() - startedAt };
    }),
  );
  times.forEach(({ running, ms }) =>
    report.say(`${running.id}: in force after ${ms.toFixed(1)} ms`)
  );
  const slowest = Math.max(...times.map(({ ms }) => ms));
  report.check("in force everywhere within 6 s", slowest <= patchBoundMs);
  report.note("patch_accepted_ms", Number(acceptedMs.toFixed(1)));
  report.note("patch_in_force_everywhere_ms", Number(slowest.toFixed(1)));
  times.filter(({ running }) => running.role === "router")
    .forEach(({ running, ms }) =>
      report.note(`patch_${running.id}_ms`, Number(ms.toFixed(1)))
    );
}

/** A drain under load: nothing is cut, and soon nothing new arrives. */
export async function showDrain({ fleet, report, first, second }: DemoHost) {
  report.section("A drain while chats go on");
  const [target] = fleet.engineAgents;
  const [engine] = fleet.engines;
  if (target === undefined || engine === undefined) return;
  const load = startLoad([first, second]);
  await sleep(300);
  const drain = await callHttp(`${target.adminUrl}/drain`, {
    body: { operator: "demo" },
  });
  const drainedAt = performance.now();
  report.say(`${target.id}: ${drain.status} ${drain.text}`);
  const lastRunAt = await watchRuns(engine.url, drainBoundMs);
  const result = await load.stop();
  const lateMs = Math.max(0, lastRunAt - drainedAt);
  report.say(
    `${result.whole} chats whole, ${result.refused} refused with "not run"`,
  );
  result.ends.forEach((end) => report.say(`not whole: ${end}`));
  report.say(`its last new work came ${lateMs.toFixed(0)} ms after the drain`);
  report.check("no new work after 3 s", lateMs < drainBoundMs);
  report.check("no chat was cut or lost", result.ends.length === 0);
  report.note("drain_last_new_work_ms", Math.round(lateMs));
  report.note("drain_chats_whole", result.whole);
  report.note("drain_chats_refused", result.refused);
  report.note("drain_chats_cut", result.ends.length);
}

function describeOutcome(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): string {
  return String(headers["x-outcome"] ?? "");
}

/** Chats one after the other through each router, until it is stopped. */
function startLoad(routers: readonly RunningProcess[]) {
  let stopped = false;
  let refused = 0;
  let whole = 0;
  const ends: string[] = [];
  const callers = routers.flatMap((router) =>
    Array.from({ length: 4 }, (_, index) => run(router, index))
  );

  return { stop };

  async function stop() {
    stopped = true;
    await Promise.all(callers);
    return { refused, whole, ends };
  }

  async function run(router: RunningProcess, caller: number): Promise<void> {
    for (let index = 0; !stopped; index++) {
      const answer = await streamChat(router.callerUrl, {
        messages: [question],
        conversation: `load-${router.id}-${caller}-${index}`,
        maxTokens: answerTokens,
      });
      const isWhole = answer.isComplete &&
        checkDraft(answer.text, answerTokens) === "whole";
      if (isWhole) {
        whole++;
      } else if (answer.outcome === "not_run") {
        // The answer says that nothing ran and when to come back.
        refused++;
        await sleep(refusedPauseMs);
      } else {
        ends.push(`${answer.status} ${answer.code || "no code"}`);
      }
    }
  }
}

/** Returns when an engine's last new run was seen, watching for some time. */
async function watchRuns(url: string, forMs: number): Promise<number> {
  const endsAt = performance.now() + forMs;
  let started = -1;
  let changedAt = 0;
  while (performance.now() < endsAt) {
    const counts = await callHttp(`${url}/counts`);
    const now = Number(counts.json?.["started"]);
    if (now !== started) {
      changedAt = started < 0 ? changedAt : performance.now();
      started = now;
    }
    await sleep(20);
  }
  return changedAt;
}
