/** Tests compaction of the patch log with concurrent readers and writers. */

import { createHash } from "node:crypto";
import { EitherAsync } from "purify-ts";
import type { Patch } from "../../src/types/configuration.ts";
import type { Platform } from "../../src/types/platform.ts";
import { compact } from "../../src/version/compaction.ts";
import {
  applyPatch,
  type ConfigurationState,
  createEmptyState,
  getChecksum,
} from "../../src/version/configuration_state.ts";
import { commitPatch } from "../../src/version/patch_commit.ts";
import { createPatchSequence } from "../../src/version/patch_sequence.ts";
import {
  formatPatch,
  getPatchKey,
  patchKeyPrefix,
  snapshotHeadKey,
  snapshotKeyPrefix,
  tryParsePatch,
} from "../../src/version/patch_text.ts";
import { readHead, readUpdate } from "../../src/version/platform_reader.ts";
import {
  createMemoryPlatform,
  type MemoryPlatform,
} from "../fakes/memory_platform.ts";
import { createTestCodec } from "../support/codec.ts";
import {
  createDraft,
  createWorkspace,
  putWorkspace,
} from "../support/drafts.ts";

const codec = createTestCodec();
const patchesPerSnapshot = 10;
const dayMs = 86_400_000;

/** Maximum size of a value in the platform's store, in bytes. */
const maxValueBytes = 1_000_000;

let platform: MemoryPlatform;
let writer: ConfigurationState;

beforeEach(() => {
  jest.useFakeTimers({ doNotFake: ["nextTick", "queueMicrotask"] });
  platform = createMemoryPlatform();
  writer = createEmptyState();
});

afterEach(() => {
  jest.useRealTimers();
});

describe("compact", () => {
  it("keeps the previous snapshot and removes older entries", async () => {
    await writePatches(10);
    await runCompaction();
    await writePatches(10);
    jest.advanceTimersByTime(dayMs);
    await runCompaction();
    expect(countKeys(patchKeyPrefix)).toBe(10);
    expect(countKeys(snapshotKeyPrefix)).toBe(2);
    await writePatches(10);
    await runCompaction();
    expect(countKeys(snapshotKeyPrefix)).toBe(2);
    expect(await readChecksum(platform)).toBe(getChecksum(writer));
  });

  it("does nothing while the log is short", async () => {
    await writePatches(9);
    await runCompaction();
    expect(countKeys(snapshotKeyPrefix)).toBe(0);
  });

  it("lets one of two concurrent runs move the head", async () => {
    await writePatches(10);
    const results = await Promise.all([
      compactWith(platform.connect()),
      compactWith(platform.connect()),
    ]);
    expect(results.filter((result) => result.isRight())).toHaveLength(1);
    expect(await readChecksum(platform)).toBe(getChecksum(writer));
  });

  it("leaves a complete configuration wherever it is interrupted", async () => {
    await writePatches(10);
    await runCompaction();
    await writePatches(10);
    jest.advanceTimersByTime(dayMs);
    for (let calls = 0; calls < 40; calls++) {
      await compactWith(createFailingClient(platform.connect(), calls));
      expect(await readChecksum(platform)).toBe(getChecksum(writer));
    }
  });
});

describe("a corrupted snapshot", () => {
  it("is a platform error, not a wrong configuration", async () => {
    await writePatches(10);
    await runCompaction();
    const part = platform.store.list(snapshotKeyPrefix, { limit: 1 })[0];
    const cut = part?.value.slice(4) ?? "";
    platform.store.put(part?.key ?? "", cut, {
      expectedRevision: part?.revision ?? 0,
    });
    expect(await readErrorKind()).toBe("unavailable");
    const head = platform.store.get(snapshotHeadKey);
    platform.store.put(snapshotHeadKey, "{", {
      expectedRevision: head?.revision ?? 0,
    });
    expect(await readErrorKind()).toBe("unavailable");
  });

  async function readErrorKind(): Promise<string | undefined> {
    const from = createEmptyState();
    const result = await readUpdate(platform, { from, codec }).run();
    return result.swap().toMaybe().extract()?.kind;
  }
});

describe("readers during compactions", () => {
  it("still read a complete configuration", async () => {
    await writePatches(25);
    for (let calls = 0; calls < 12; calls++) {
      jest.advanceTimersByTime(dayMs);
      const reader = createInterceptedClient(
        platform.connect(),
        calls,
        async () => {
          await writePatches(10);
          await runCompaction();
          jest.advanceTimersByTime(dayMs);
          await writePatches(10);
          await runCompaction();
        },
      );
      const state = await readState(reader);
      expect(state.configuration.version).toBeGreaterThanOrEqual(25);
      expect(getChecksumAt(state.configuration.version))
        .toBe(getChecksum(state));
    }
  });

  it("would skip removed patches without reading the head", async () => {
    await writePatches(25);
    await runCompaction();
    jest.advanceTimersByTime(dayMs);
    await writePatches(10);
    await runCompaction();
    const listed = platform.store.list(patchKeyPrefix, { limit: 1 });
    expect(tryParsePatch(listed[0]?.value ?? "")?.version).toBe(26);
  });
});

describe("a writer that was paused during compactions", () => {
  const lateDraft = createDraft({
    id: "late",
    operations: [putWorkspace("x")],
  });

  it("detects that its key had been removed and commits again", async () => {
    await writePatches(4);
    const stale = createPatchSequence({ hash: codec.hash });
    stale.adopt(writer);
    await writePatches(30);
    await runCompaction();
    jest.advanceTimersByTime(dayMs);
    await writePatches(30);
    await runCompaction();
    expect(platform.store.get(getPatchKey(5))).toBeUndefined();
    let reads = 0;
    const committing = commitPatch({
      platform,
      hash: codec.hash,
      safeCommitWindowMs: 60_000,
      getState: stale.getState,
      // The first read took place before the pause.
      refresh: () =>
        EitherAsync(async ({ fromPromise }) => {
          reads++;
          if (reads === 1) return;
          const newest = await fromPromise(
            readUpdate(platform, { from: stale.getState(), codec }),
          );
          if (newest.snapshot !== undefined) stale.adopt(newest.snapshot);
          stale.add(newest.patches);
        }),
    }, lateDraft).run();
    jest.advanceTimersByTime(dayMs);
    await jest.advanceTimersByTimeAsync(1_000);
    const result = await committing;
    expect(result.map(({ version }) => version).extract()).toBe(65);
    expect(platform.store.get(getPatchKey(5))).toBeUndefined();
  });

  it("does not mislead readers while its key exists", async () => {
    await writePatches(4);
    const staleState = writer;
    await writePatches(30);
    await runCompaction();
    jest.advanceTimersByTime(dayMs);
    await writePatches(30);
    await runCompaction();
    const latePatch: Patch = {
      ...lateDraft,
      version: 5,
      acceptedAt: Date.now(),
    };
    platform.store.put(getPatchKey(5), formatPatch(latePatch), {
      expectedRevision: 0,
    });
    const state = await readState(platform, staleState);
    expect(getChecksum(state)).toBe(getChecksum(writer));
    // A reader of the log alone would accept the old key.
    const [first] = platform.store.list(patchKeyPrefix, {
      after: getPatchKey(4),
      limit: 1,
    });
    expect(tryParsePatch(first?.value ?? "")?.id).toBe("late");
  });
});

describe("a configuration of 30,000 workspaces", () => {
  it("fits in values of 1 MB and is read back completely", async () => {
    for (let start = 0; start < 30_000; start += 1_000) {
      const operations = Array.from(
        { length: 1_000 },
        (_, index) => createLargeOperation(start + index),
      );
      writePatch(operations);
    }
    await runCompaction();
    const entries = platform.store.list("config/", { limit: 1_000 });
    const sizes = entries.map(({ value }) => Buffer.byteLength(value));
    expect(Math.max(...sizes)).toBeLessThan(maxValueBytes);
    expect(countKeys(snapshotKeyPrefix)).toBeGreaterThan(1);
    const state = await readState(platform);
    expect(state.configuration.workspaces.size).toBe(30_000);
    expect(getChecksum(state)).toBe(getChecksum(writer));
  });
});

/** Creates a workspace whose text does not compress well. */
function createLargeOperation(index: number): Patch["operations"][number] {
  const name = createHash("sha256").update(String(index)).digest("hex");
  const value = createWorkspace({ services: [name.slice(0, 40)] });
  return { kind: "put_workspace", name: `studio-${index}`, value };
}

const checksums = new Map<number, number>();

function getChecksumAt(version: number): number | undefined {
  return checksums.get(version);
}

/** Writes one patch directly to the log. */
function writePatch(operations: Patch["operations"]): void {
  const version = writer.configuration.version + 1;
  const draft = createDraft({ id: `p-${version}`, operations });
  const patch = { ...draft, version, acceptedAt: Date.now() };
  platform.store.put(getPatchKey(version), formatPatch(patch), {
    expectedRevision: 0,
  });
  writer = applyPatch(writer, patch, codec);
  checksums.set(version, getChecksum(writer));
}

function writePatches(count: number): Promise<void> {
  for (let index = 0; index < count; index++) {
    const { version } = writer.configuration;
    writePatch([putWorkspace(`studio-${version % 7}`, version + 1)]);
  }
  return Promise.resolve();
}

function compactWith(
  client: Platform,
): Promise<Awaited<ReturnType<ReturnType<typeof compact>["run"]>>> {
  return compact(client, {
    state: writer,
    codec,
    patchesPerSnapshot,
    patchRetentionMs: 60_000,
  }).run();
}

async function runCompaction(): Promise<void> {
  const result = await compactWith(platform);
  expect(result.isRight()).toBe(true);
}

async function readState(
  client: Platform,
  from: ConfigurationState = createEmptyState(),
): Promise<ConfigurationState> {
  const sequence = createPatchSequence({ hash: codec.hash });
  if (from.configuration.version > 0) sequence.adopt(from);
  const result = await readUpdate(client, { from, codec }).run();
  result.ifRight((newest) => {
    if (newest.snapshot !== undefined) sequence.adopt(newest.snapshot);
    sequence.add(newest.patches);
  });
  expect(result.isRight()).toBe(true);
  return sequence.getState();
}

async function readChecksum(client: Platform): Promise<number> {
  const head = await readHead(client).run();
  expect(head.isRight()).toBe(true);
  return getChecksum(await readState(client));
}

function countKeys(prefix: string): number {
  return platform.store.list(prefix, { limit: 1_000 }).length;
}

/** Creates a client that loses the platform after a number of calls. */
function createFailingClient(client: MemoryPlatform, calls: number): Platform {
  return createInterceptedClient(client, calls, () => {
    client.faults.outage = true;
    return Promise.resolve();
  });
}

/** Creates a client that runs a callback before its call of a given index. */
function createInterceptedClient(
  client: MemoryPlatform,
  number: number,
  callback: () => Promise<void>,
): Platform {
  let calls = 0;
  return {
    ...client,
    get: (key) => intercept(() => client.get(key)),
    list: (prefix, options) => intercept(() => client.list(prefix, options)),
    put: (key, value, options) =>
      intercept(() => client.put(key, value, options)),
    remove: (key, revision) => intercept(() => client.remove(key, revision)),
  };

  function intercept<L, R>(call: () => EitherAsync<L, R>): EitherAsync<L, R> {
    return EitherAsync.fromPromise(async () => {
      const isDue = calls === number;
      calls++;
      if (isDue) await callback();
      return await call().run();
    });
  }
}
