/**
 * Measures the time of an agent's decisions and of forwarding a token, and the
 * memory per attempt. Prints one JSON object per line. Requires `--expose-gc`.
 */

import { EitherAsync } from "purify-ts";
import { Bench } from "tinybench";
import {
  type AttemptTable,
  createAttemptTable,
} from "../src/process/attempts/attempt_table.ts";
import { loadBodyDigests } from "../src/process/attempts/body_digest.ts";
import { createFairQueue } from "../src/process/admission/fair_queue.ts";
import { createLoadGate } from "../src/process/admission/load_gate.ts";
import {
  createWorkQueue,
  type Job,
} from "../src/process/admission/work_queue.ts";
import type {
  TargetError,
  TargetResponse,
} from "../src/connection/target_client.ts";
import type { AttemptService } from "../src/request/attempt_service.ts";
import { isLastEvent, type ResponseReader } from "../src/types/response.ts";
import type { RunOrder } from "../src/types/run_order.ts";
import {
  collectEvents,
  createAgentParts,
  createRunOrder,
} from "../test/fakes/agent_parts.ts";

/** Operations per sample; a single one is too short to be timed. */
const batchSize = 1_000;

/** Duration of each benchmark task, in milliseconds. */
const taskDurationMs = 500;

/** Number of attempts in each measurement of memory. */
const memoryAttemptCount = 5_000;

/** Tokens of one streamed response. */
const responseTokens = 500;

const slots = 64;
const queueLimit = 128;

/** Event of a stream that carries one token, as an engine sends it. */
const tokenEvent = Buffer.from(
  `data: {"id":"engine-1-1","object":"chat.completion.chunk",` +
    `"created":1764800000,"model":"m","choices":[{"index":0,` +
    `"delta":{"content":" token"},"finish_reason":null}]}\n\n`,
);

void main();

async function main(): Promise<void> {
  await measureDecisions();
  await measureStream();
  await measureMemory();
  // Timers of unfinished attempts would keep the process running.
  process.exit(0);
}

async function measureDecisions(): Promise<void> {
  const bench = new Bench({ time: taskDurationMs });
  const gate = createLoadGate({
    getMean: () => ({ mean: 1_000, targets: 213, ageMs: 0 }),
    getLoadMultiple: () => 1.25,
    getColdMultiple: () => 1.1,
  });
  gate.add(900);
  addTask(bench, "gate_check", () => {
    gate.check({
      work: 200,
      observedLoads: [1_000, 1_100, 1_200],
      silentTargets: 0,
      isHeld: false,
    });
  });
  addTableTasks(bench);
  addQueueTasks(bench);
  addFairQueueTask(bench, { waiting: 128, workspaces: 32 });
  addFairQueueTask(bench, { waiting: 1_024, workspaces: 1_000 });
  await bench.run();
  for (const task of bench.tasks) {
    const { result } = task;
    if (!("latency" in result)) throw new Error(`${task.name} did not run`);
    print(task.name, {
      nsPerOperation: result.latency.p50 * 1e6 / batchSize,
      p99NsPerOperation: result.latency.p99 * 1e6 / batchSize,
    });
  }
}

function addTask(bench: Bench, name: string, operation: () => void): void {
  bench.add(name, () => {
    for (let count = 0; count < batchSize; count++) operation();
  });
}

function addTableTasks(bench: Bench): void {
  const table = createTable();
  let number = 0;
  for (; number < 20_000; number++) table.settle(createAttempt(number));
  addTask(bench, "table_refuse_new", () => {
    table.settle(createAttempt(number++));
  });
  addTask(bench, "table_claim_known", () => {
    table.claim(createAttempt(number - 1));
  });
  addTask(bench, "table_run_and_finish", () => {
    const claimed = table.claim(createAttempt(number++));
    if (claimed.kind !== "new") throw new Error("The attempt is not new");
    table.tryStart(claimed.entry);
    table.finish(claimed.entry);
  });
}

function addQueueTasks(bench: Bench): void {
  const fullQueue = createQueue();
  const pending = new Promise<void>(() => undefined);
  for (let count = 0; count < slots + queueLimit; count++) {
    fullQueue.add(
      createJob({ workspace: `w${count % 32}`, run: () => pending }),
    );
  }
  addTask(bench, "queue_refuse_when_full", () => {
    const decision = fullQueue.add(
      createJob({ workspace: "w1", run: () => pending }),
    );
    if (decision.kind === "admitted") decision.withdraw();
  });
  const emptyQueue = createQueue();
  bench.add("queue_run_at_once", async () => {
    for (let count = 0; count < batchSize / 50; count++) {
      const completions = Array.from(
        { length: 50 },
        () =>
          new Promise<void>((resolve) => {
            emptyQueue.add(createJob({
              run: () => {
                resolve();
                return Promise.resolve();
              },
            }));
          }),
      );
      await Promise.all(completions);
    }
  });
}

function addFairQueueTask(
  bench: Bench,
  { waiting, workspaces }: {
    readonly waiting: number;
    readonly workspaces: number;
  },
): void {
  const queue = createFairQueue<number>({
    getPriorityWeight: (priority) => priority === "interactive" ? 4 : 1,
    getWorkspaceWeight: () => 1,
  });
  let nextItem = 0;
  const addItem = (): void => {
    const priority = nextItem % 4 === 0 ? "background" : "interactive";
    const workspace = `w${nextItem % workspaces}`;
    queue.add({
      priority,
      workspace,
      cost: 100 + nextItem % 100,
      item: nextItem++,
    });
  };
  for (let count = 0; count < waiting; count++) addItem();
  addTask(bench, `fair_queue_add_and_take_${waiting}`, () => {
    queue.take(() => true);
    addItem();
  });
}

/** Measures the time that the agent adds to each token, without sockets. */
async function measureStream(): Promise<void> {
  const digests = await loadBodyDigests();
  const service = createService(async function* () {
    for (let token = 0; token < responseTokens; token++) yield tokenEvent;
    yield Buffer.from("data: [DONE]\n\n");
  }, digests);
  const rounds = 200;
  let number = 0;
  await runAttempts(service, rounds, () => number++);
  const startedAt = performance.now();
  await runAttempts(service, rounds, () => number++);
  const elapsedMs = performance.now() - startedAt;
  print("stream_token", {
    nsPerToken: elapsedMs * 1e6 / rounds / responseTokens,
    tokens: responseTokens,
    eventBytes: tokenEvent.byteLength,
  });
  const shortService = createService(async function* () {
    yield Buffer.from("data: [DONE]\n\n");
  }, digests);
  const shortStartedAt = performance.now();
  await runAttempts(shortService, 5_000, () => number++);
  print("attempt_whole_life", {
    usPerAttempt: (performance.now() - shortStartedAt) * 1e3 / 5_000,
  });
}

async function runAttempts(
  service: AttemptService,
  rounds: number,
  getNumber: () => number,
): Promise<void> {
  for (let round = 0; round < rounds; round++) {
    const events = collectEvents(service.run(createOrder(getNumber())));
    while (events.at(-1)?.kind !== "end") {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

async function measureMemory(): Promise<void> {
  const digests = await loadBodyDigests();
  const table = createTable();
  const before = await getHeapBytes();
  for (let number = 0; number < memoryAttemptCount; number++) {
    table.settle(createAttempt(number));
  }
  print("memory_tombstone", {
    bytesPerAttempt: (await getHeapBytes() - before) / memoryAttemptCount,
    remembered: table.getCounts().remembered,
  });
  const unfinishedService = createService(async function* () {
    yield tokenEvent;
    await new Promise(() => undefined);
  }, digests);
  await measureAttemptMemory("memory_in_flight", unfinishedService);
  const completeService = createService(async function* () {
    for (let token = 0; token < 20; token++) yield tokenEvent;
    yield Buffer.from("data: [DONE]\n\n");
  }, digests);
  await measureAttemptMemory(
    "memory_kept_answer_of_20_tokens",
    completeService,
  );
}

async function measureAttemptMemory(
  name: string,
  service: AttemptService,
): Promise<void> {
  const before = await getHeapBytes();
  for (let number = 0; number < memoryAttemptCount; number++) {
    const order = createOrder(number);
    discardEvents(service.run({ ...order, repeatable: false }));
  }
  const after = await getHeapBytes();
  print(name, {
    bytesPerAttempt: (after - before) / memoryAttemptCount,
    attempts: memoryAttemptCount,
  });
}

/** Reads and discards all events. */
function discardEvents(reader: ResponseReader): void {
  const read = (): void => {
    for (;;) {
      const event = reader.tryRead();
      if (event === undefined) return;
      if (isLastEvent(event)) reader.close();
    }
  };
  reader.onReadable(read);
  read();
}

/** Returns the bytes of heap and buffers in use, once the process is idle. */
async function getHeapBytes(): Promise<number> {
  await new Promise((resolve) => setTimeout(resolve, 300));
  globalThis.gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

function createService(
  createBody: () => AsyncGenerator<Uint8Array, void>,
  digests: Awaited<ReturnType<typeof loadBodyDigests>>,
): AttemptService {
  const parts = createAgentParts({
    runs: new Map(),
    running: new Set(),
    aborted: new Set(),
    send: () =>
      EitherAsync<TargetError, TargetResponse>(() =>
        Promise.resolve({
          status: 200,
          headers: [
            { name: "content-type", value: "text/event-stream" },
            { name: "x-stream-id", value: "s1" },
          ],
          body: createBody(),
        })
      ),
    resume: () => {
      throw new Error("This benchmark resumes no stream");
    },
    cancelStream: () => undefined,
    crash: () => undefined,
  }, { slots: memoryAttemptCount, queueLimit, digests });
  return parts.service;
}

function createTable(): AttemptTable {
  return createAttemptTable({
    keptAnswerBytes: 64 * 1024 * 1024,
    keptAnswerMs: 600_000,
    tombstoneMs: 600_000,
    maxEntries: 20_000,
  });
}

function createQueue() {
  return createWorkQueue({
    getSlots: () => slots,
    getQueueLimit: () => queueLimit,
    getPriorityWeight: (priority) => priority === "interactive" ? 4 : 1,
    getWorkspaceWeight: () => 1,
  });
}

function createJob(fields: Partial<Job>): Job {
  return {
    priority: "interactive",
    workspace: "w",
    cost: 100,
    deadlineAt: Date.now() + 3_600_000,
    exclusive: false,
    run: () => Promise.resolve(),
    onRefused: () => undefined,
    ...fields,
  };
}

function createOrder(number: number): RunOrder {
  return createRunOrder(number, { deadlineAt: Date.now() + 3_600_000 });
}

function createAttempt(number: number) {
  return { router: "router-a1", routerIncarnation: 1_764_800_000_000, number };
}

function print(
  name: string,
  figures: Readonly<Record<string, number>>,
): void {
  const rounded = Object.entries(figures).map(([field, value]) => [
    field,
    Math.round(value * 10) / 10,
  ]);
  console.log(
    JSON.stringify({ bench: "agent", name, ...Object.fromEntries(rounded) }),
  );
}
