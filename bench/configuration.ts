/**
 * Measures the configuration at the design size of 30,000 workspaces: patches,
 * lookups, checks, snapshots and memory. Prints one JSON object per line.
 * An argument sets another number of workspaces.
 */

import { monitorEventLoopDelay } from "node:perf_hooks";
import { Bench } from "tinybench";
import { loadHash } from "../src/process/placement/hash.ts";
import type { Patch, PatchOperation } from "../src/types/configuration.ts";
import { createCodec } from "../src/version/codec.ts";
import {
  applyPatch,
  type ConfigurationState,
  createEmptyState,
} from "../src/version/configuration_state.ts";
import { checkDraft } from "../src/version/patch_check.ts";
import { checkAgainstState } from "../src/version/patch_conflict.ts";
import { formatPatch, tryParsePatch } from "../src/version/patch_text.ts";
import { decodeSnapshot, encodeSnapshot } from "../src/version/snapshot.ts";
import {
  createDraft,
  createService,
  createWorkspace,
} from "../test/support/drafts.ts";

const defaultWorkspaceCount = 30_000;
const services = ["chat-model", "order-service", "draft-model"];
const operationsPerPatch = 1_000;

/** Number of patches with one operation each, as on a typical day. */
const recentPatchCount = 3_800;

/** Duration of each benchmark task, in milliseconds. */
const taskDurationMs = 1_000;

/** Number of runs over which the maximum event loop delay is taken. */
const delayRuns = 10;

const bytesPerMegabyte = 1_048_576;

void main();

async function main(): Promise<void> {
  const workspaces = Number(process.argv[2] ?? defaultWorkspaceCount);
  const codec = createCodec({ hash: await loadHash() });
  const heapBytesBefore = getHeapBytes();
  const state = buildState(workspaces, codec);
  const heapMb = (getHeapBytes() - heapBytesBefore) / bytesPerMegabyte;
  print({ name: "configuration_heap_mb", workspaces, value: round(heapMb) });

  const snapshot = await encodeSnapshot(state, { codec });
  const length = snapshot.parts.reduce((sum, part) => sum + part.length, 0);
  print({
    name: "snapshot_size",
    workspaces,
    characters: length,
    parts: snapshot.parts.length,
  });

  const { version } = state.configuration;
  const draft = createDraft({
    id: "next",
    baseVersion: version,
    operations: [createWorkspaceOperation(17, 2)],
  });
  const patch: Patch = { ...draft, version: version + 1, acceptedAt: 0 };
  const text = formatPatch(patch);
  let nextIndex = 0;

  const bench = new Bench({ time: taskDurationMs });
  bench
    .add("patch_apply", () => {
      applyPatch(state, patch, codec);
    })
    .add("patch_check", () => {
      checkDraft(draft).map((checked) => checkAgainstState(checked, state));
    })
    .add("patch_parse", () => {
      tryParsePatch(text);
    })
    .add("workspace_lookup", () => {
      nextIndex = (nextIndex + 7_919) % workspaces;
      state.configuration.workspaces.get(`studio-${nextIndex}`);
    })
    .add("map_copy_and_set_for_comparison", () => {
      const copy = new Map(plain);
      copy.set("studio-17", createWorkspace());
    })
    .add("snapshot_encode", async () => {
      await encodeSnapshot(state, { codec });
    })
    .add("snapshot_decode", async () => {
      await decodeSnapshot(snapshot, { codec });
    });
  const plain = new Map(state.configuration.workspaces);
  await bench.run();
  for (const task of bench.tasks) {
    const { result } = task;
    if (!("latency" in result)) continue;
    print({
      name: task.name,
      workspaces,
      meanMicroseconds: round(result.latency.mean * 1_000),
      p99Microseconds: round(result.latency.p99 * 1_000),
      samples: result.latency.samplesCount,
    });
  }
  print({
    name: "longest_block_ms",
    workspaces,
    encode: await measureMaxDelayMs(() => encodeSnapshot(state, { codec })),
    decode: await measureMaxDelayMs(() => decodeSnapshot(snapshot, { codec })),
  });
}

/** Builds a configuration from patches; ends with one day of small ones. */
function buildState(
  workspaces: number,
  codec: ReturnType<typeof createCodec>,
): ConfigurationState {
  let state = createEmptyState();
  applyOperations(services.map((name) => ({
    kind: "put_service",
    name,
    value: createService(),
  })));
  for (let start = 0; start < workspaces; start += operationsPerPatch) {
    const count = Math.min(operationsPerPatch, workspaces - start);
    applyOperations(
      Array.from(
        { length: count },
        (_, index) => createWorkspaceOperation(start + index),
      ),
    );
  }
  for (let index = 0; index < recentPatchCount; index++) {
    applyOperations([createWorkspaceOperation(index, 1 + index % 3)]);
  }
  return state;

  function applyOperations(operations: readonly PatchOperation[]): void {
    const version = state.configuration.version + 1;
    const draft = createDraft({ id: `patch-${version}`, operations });
    // Formats and parses the patch, as patches arrive in text form.
    const text = formatPatch({ ...draft, version, acceptedAt: 1.7e12 });
    const patch = tryParsePatch(text);
    if (patch !== undefined) state = applyPatch(state, patch, codec);
  }
}

function createWorkspaceOperation(index: number, weight = 1): PatchOperation {
  const service = services[index % services.length] ?? "chat-model";
  const value = createWorkspace({
    weight,
    requestsPerSecond: index % 50,
    services: [service],
  });
  return { kind: "put_workspace", name: `studio-${index}`, value };
}

function getHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Returns the maximum event loop delay of an operation, in milliseconds. */
async function measureMaxDelayMs(
  operation: () => Promise<unknown>,
): Promise<number> {
  const delays = monitorEventLoopDelay({ resolution: 1 });
  let maxDelayMs = 0;
  for (let run = 0; run < delayRuns; run++) {
    delays.enable();
    await operation();
    // The monitor records a delay at its first tick after the delay.
    await new Promise((resolve) => setTimeout(resolve, 20));
    delays.disable();
    maxDelayMs = Math.max(maxDelayMs, delays.max / 1e6);
    delays.reset();
  }
  return round(maxDelayMs);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function print(line: Readonly<Record<string, string | number>>): void {
  console.log(JSON.stringify(line));
}
