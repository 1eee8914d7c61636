/**
 * Tests each fault in the life of a patch, with the mechanism that handles it
 * and without.
 */

import { type Either, EitherAsync, Left } from "purify-ts";
import type { PatchDraft } from "../../src/types/configuration.ts";
import { formatReport, type Report } from "../../src/types/diagnostics.ts";
import { createConfigurationStore } from "../../src/version/configuration_store.ts";
import { patchKeyPrefix } from "../../src/version/patch_text.ts";
import { createNaiveStore } from "../naive/configuration_store.ts";
import {
  createNetwork,
  type CreateStore,
  type Network,
  type NetworkOptions,
  type Node,
} from "../support/configuration_network.ts";
import { inForceTimeoutMs } from "../support/configuration_checker.ts";
import { createDraft, putWorkspace } from "../support/drafts.ts";
import { createSeededRandom } from "../support/seeded_random.ts";

/** Creates a store that cannot pull from other members. */
const createStoreWithoutPulls: CreateStore = (host) =>
  createConfigurationStore({
    ...host,
    pull: () =>
      EitherAsync.liftEither(Left({ kind: "unreachable", message: "Off" })),
  });

/** Creates a store that does not broadcast its patches. */
const createStoreWithoutBroadcast: CreateStore = (host) =>
  createConfigurationStore({ ...host, spreadPatch: () => undefined });

/** Creates a naive store for comparison. */
const createNaive: CreateStore = createNaiveStore;

let network: Network;

beforeEach(() => {
  jest.useFakeTimers({ doNotFake: ["nextTick", "queueMicrotask"] });
  jest.spyOn(Math, "random").mockImplementation(createSeededRandom(1));
});

afterEach(async () => {
  await network.stop();
  jest.restoreAllMocks();
  jest.useRealTimers();
});

describe("concurrent operators", () => {
  it("get one of two patches to the same entry accepted", async () => {
    const [first, second] = await start(2);
    const results = await Promise.all([
      submit(first, { id: "a", operations: [putWorkspace("studio-1", 2)] }),
      submit(second, {
        id: "b",
        operator: "noor",
        operations: [putWorkspace("studio-1", 3)],
      }),
    ]);
    expect(results).toEqual([
      "accepted 1",
      "Version 1 by mina already changed workspace studio-1",
    ]);
  });

  it("get patches to different entries on the same base accepted", async () => {
    const [first, second] = await start(2);
    const results = await Promise.all([
      submit(first, { id: "a", operations: [putWorkspace("studio-1")] }),
      submit(second, { id: "b", operations: [putWorkspace("studio-2")] }),
    ]);
    expect(results).toEqual(["accepted 1", "accepted 2"]);
  });

  it("get a base version that is ahead refused", async () => {
    const [first] = await start(1);
    expect(await submit(first, { baseVersion: 3 })).toBe(
      "Base version 3 is ahead of version 0",
    );
  });
});

describe("a response lost after the commit", () => {
  it("is resolved by reading back, and the patch is logged once", async () => {
    const [first, second] = await start(2);
    first.platform.faults.lostAnswers = 1;
    expect(await submit(first)).toBe("accepted 1");
    expect(await submit(second)).toBe("accepted 1");
    expect(getLogLength()).toBe(1);
  });

  it("makes the naive store report a failure, then commit again", async () => {
    const [first, second] = await start(2, { createStore: createNaive });
    first.platform.faults.lostAnswers = 1;
    expect(await submit(first)).toContain("nothing was changed");
    expect(getLogLength()).toBe(1);
    second.store.offerPatches(
      network.platform.store.list(patchKeyPrefix, { limit: 1 })
        .map(({ value }) => value),
      {} as never,
    );
    expect(await submit(second)).toBe("accepted 2");
  });

  it("leaves the outcome unknown until the platform responds", async () => {
    const [first, second] = await start(2);
    first.platform.faults.lostAnswers = 1;
    network.platform.serviceFaults.delayMs = 20;
    const submitted = first.store.operator.submit(createDraft()).run();
    // Two reads and the write take 60 ms; the outage hits the read-back.
    await jest.advanceTimersByTimeAsync(65);
    network.platform.serviceFaults.outage = true;
    await jest.advanceTimersByTimeAsync(20_000);
    expect(formatResult(await submitted)).toBe(
      "The platform gave no answer, ask for patch patch-1 again",
    );
    expect(await queryPatch(second)).toBe(
      "The platform gave no answer, ask for patch patch-1 again",
    );
    network.platform.serviceFaults.outage = false;
    network.platform.serviceFaults.delayMs = 0;
    expect(await queryPatch(second)).toBe("version 1 by mina");
    expect(await submit(first)).toBe("accepted 1");
    expect(getLogLength()).toBe(1);
  });

  it("commits once when the request itself was lost", async () => {
    const [first] = await start(1);
    first.platform.faults.lostRequests = 1;
    expect(await submit(first)).toBe("accepted 1");
    expect(getLogLength()).toBe(1);
  });
});

describe("patch ids", () => {
  it("are refused when they were used with other content", async () => {
    const [first] = await start(1);
    await submit(first);
    const other = { operations: [putWorkspace("studio-9")] };
    expect(await submit(first, other)).toBe(
      "Patch id patch-1 was used for version 1 with other content",
    );
  });

  it("are reported as unknown when no patch was accepted", async () => {
    const [first] = await start(1);
    expect(await queryPatch(first)).toBe(
      "No patch with id patch-1 has been accepted",
    );
  });
});

describe("an outage right after the acceptance", () => {
  it("lets the patch reach the other stores", async () => {
    const [first, ...others] = await start(5);
    await submit(first);
    network.platform.serviceFaults.outage = true;
    await jest.advanceTimersByTimeAsync(inForceTimeoutMs);
    expect(getVersions(others)).toEqual([1, 1, 1, 1]);
  });

  it("lets it reach them through probes when broadcasts are lost", async () => {
    const [first, ...others] = await start(5, {
      createStore: createStoreWithoutBroadcast,
    });
    await submit(first);
    network.platform.serviceFaults.outage = true;
    await jest.advanceTimersByTimeAsync(inForceTimeoutMs);
    expect(getVersions(others)).toEqual([1, 1, 1, 1]);
  });

  it("keeps it from them without broadcasts and probes", async () => {
    const [first, ...others] = await start(5, {
      createStore: createStoreWithoutBroadcast,
      probeIntervalMs: 0,
    });
    await submit(first);
    network.platform.serviceFaults.outage = true;
    await jest.advanceTimersByTimeAsync(inForceTimeoutMs);
    expect(getVersions(others)).toEqual([0, 0, 0, 0]);
  });

  it("leaves the last configuration in force", async () => {
    const [first] = await start(1);
    await submit(first);
    network.platform.serviceFaults.outage = true;
    await jest.advanceTimersByTimeAsync(600_000);
    expect(getVersions([first])).toEqual([1]);
    expect(await submit(first, { id: "b" })).toContain("nothing was changed");
  });
});

describe("a store that starts during an outage", () => {
  it("loads from another member", async () => {
    const [first] = await start(3);
    await submit(first);
    await jest.advanceTimersByTimeAsync(1_000);
    network.platform.serviceFaults.outage = true;
    const late = network.addNode();
    await jest.advanceTimersByTimeAsync(inForceTimeoutMs);
    expect(getVersions([late])).toEqual([1]);
  });

  it("stays empty when it cannot pull from members", async () => {
    const [first] = await start(3, { createStore: createStoreWithoutPulls });
    await submit(first);
    await jest.advanceTimersByTimeAsync(1_000);
    network.platform.serviceFaults.outage = true;
    const late = network.addNode();
    await jest.advanceTimersByTimeAsync(60_000);
    expect(late.store.isLoaded()).toBe(false);
    network.platform.serviceFaults.outage = false;
    await jest.advanceTimersByTimeAsync(inForceTimeoutMs);
    expect(getVersions([late])).toEqual([1]);
  });
});

describe("a partitioned store", () => {
  it("catches up in time after the partition heals", async () => {
    const [first, second] = await start(2);
    network.setPartitioned(second, true);
    for (let count = 1; count <= 30; count++) {
      const operations = [putWorkspace(`studio-${count}`)];
      await submit(first, {
        id: `p-${count}`,
        baseVersion: count - 1,
        operations,
      });
    }
    await jest.advanceTimersByTimeAsync(60_000);
    expect(getVersions([second])).toEqual([0]);
    network.setPartitioned(second, false);
    await jest.advanceTimersByTimeAsync(inForceTimeoutMs);
    expect(getVersions([second])).toEqual([30]);
    expect(second.store.getChecksum()).toBe(first.store.getChecksum());
  });

  it("is replaced as the watcher by the next store", async () => {
    const [first, second] = await start(2);
    const submitted = submit(first);
    network.setPartitioned(first, true);
    first.platform.faults.outage = false;
    await submitted;
    first.platform.faults.outage = true;
    await jest.advanceTimersByTimeAsync(inForceTimeoutMs);
    expect(getVersions([second])).toEqual([1]);
  });
});

describe("patches that arrive late, twice or out of order", () => {
  it("never revert a store", async () => {
    const [first, second] = await start(2, { lossRate: 1 });
    const texts = await submitThreePatches(first);
    second.store.offerPatches([texts[2], texts[0]], {} as never);
    expect(getVersions([second])).toEqual([1]);
    second.store.offerPatches([texts[1], texts[1]], {} as never);
    expect(getVersions([second])).toEqual([3]);
    second.store.offerPatches([texts[0]], {} as never);
    expect(getVersions([second])).toEqual([3]);
    expect(second.store.getChecksum()).toBe(first.store.getChecksum());
  });

  it("revert the naive store", async () => {
    const [first, second] = await start(2, {
      createStore: createNaive,
      lossRate: 1,
    });
    const texts = await submitThreePatches(first);
    second.store.offerPatches(texts, {} as never);
    second.store.offerPatches([texts[0]], {} as never);
    expect(getVersions([second])).toEqual([1]);
  });

  it("are replaced when another store has other content", async () => {
    const [first, second] = await start(2, { lossRate: 1, watchers: 0 });
    const texts = await submitThreePatches(first);
    const forged = texts[2].replace(/"weight":3/, '"weight":9');
    second.store.offerPatches([texts[0], texts[1], forged], {} as never);
    const checksum = first.store.getChecksum();
    expect(second.store.getChecksum()).not.toBe(checksum);
    second.store.handleVersion(3, checksum, {} as never);
    await jest.advanceTimersByTimeAsync(1_000);
    expect(second.store.getChecksum()).toBe(checksum);
    expect(getVersions([second])).toEqual([3]);
  });
});

/** Starts a network and returns its first processes. */
async function start(
  count: number,
  options: Partial<NetworkOptions> = {},
): Promise<[Node, Node, ...Node[]]> {
  network = createNetwork({
    random: createSeededRandom(2),
    lossRate: 0,
    duplicationRate: 0,
    maxDelayMs: 50,
    watchers: 1,
    ...options,
  });
  for (let index = 0; index < count; index++) network.addNode();
  await jest.advanceTimersByTimeAsync(1_000);
  return network.nodes as [Node, Node, ...Node[]];
}

/** Submits a patch and returns the formatted result. */
async function submit(
  node: Node,
  changes: Partial<PatchDraft> = {},
): Promise<string> {
  const submitting = node.store.operator.submit(createDraft(changes)).run();
  await jest.advanceTimersByTimeAsync(500);
  return formatResult(await submitting);
}

/** Formats the result that an operator receives. */
function formatResult(
  result: Either<readonly Report[], { readonly version: number }>,
): string {
  return result.caseOf({
    Left: (reports) => reports.map(formatReport).join(", "),
    Right: ({ version }) => `accepted ${version}`,
  });
}

/** Looks up a patch by its id and returns the formatted result. */
async function queryPatch(node: Node): Promise<string> {
  const result = await node.store.operator.findPatch("patch-1").run();
  return result.caseOf({
    Left: (reports) => reports.map(formatReport).join(", "),
    Right: ({ record }) => `version ${record.version} by ${record.operator}`,
  });
}

/** Commits three patches and returns their texts. */
async function submitThreePatches(
  node: Node,
): Promise<[string, string, string]> {
  for (let base = 0; base < 3; base++) {
    const operations = [putWorkspace("studio-1", base + 1)];
    await submit(node, { id: `p-${base}`, baseVersion: base, operations });
  }
  const entries = network.platform.store.list(patchKeyPrefix, { limit: 3 });
  return entries.map(({ value }) => value) as [string, string, string];
}

function getLogLength(): number {
  return network.platform.store.list(patchKeyPrefix, { limit: 100 }).length;
}

function getVersions(nodes: readonly Node[]): readonly number[] {
  return nodes.map((node) => node.store.getConfiguration().version);
}
