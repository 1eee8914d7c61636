/**
 * Watches the patch log while this process has the duty. An event only says
 * that there may be news; the content always comes from a fresh read, so that
 * late and repeated events are harmless.
 */

import { getBackOffMs, spreadMs } from "../process/membership/jitter.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Platform, PlatformError } from "../types/platform.ts";
import type { Dump } from "../types/role.ts";
import { compact } from "./compaction.ts";
import type { Codec } from "./codec.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import { patchKeyPrefix } from "./patch_text.ts";
import { type ConfigurationUpdate, readHead } from "./platform_reader.ts";

/** What watching needs of the store. */
export interface WatchLoopHost {
  readonly platform: Platform;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly codec: Codec;
  /** Patches after the newest snapshot that call for another. */
  readonly patchesPerSnapshot: number;
  /** Time that patches stay in the log at the least, in milliseconds. */
  readonly patchRetentionMs: number;
  isWatcher(): boolean;
  getState(): ConfigurationState;
  /** Reads from the platform and passes on what is new. */
  refresh(): Promise<ConfigurationUpdate | PlatformError>;
}

/** The watch of one process. */
export interface WatchLoop {
  start(): void;
  /** Ends the loop; a watch that waits is left to time out. */
  stop(): Promise<void>;
  dump(): Dump;
}

/** Time that one watch waits for an event, in milliseconds. */
const watchTimeoutMs = 10_000;

/** How often a process without the duty looks whether it has it now. */
const roleCheckIntervalMs = 1_000;

/** Longest random wait before a compaction, so that one watcher does it. */
const maxCompactionDelayMs = 5_000;

const backOff = { firstMs: 500, mostMs: 2_000 };

/** Creates the watch of one process. */
export function createWatchLoop(host: WatchLoopHost): WatchLoop {
  const { platform, log, metrics } = host;
  let isStopped = false;
  let failures = 0;
  /** Revision after which the watch goes on; undefined without a watch. */
  let watchedRevision: number | undefined;
  let snapshotVersion = 0;
  let compactionTimer: NodeJS.Timeout | undefined;

  return { start, stop, dump };

  function start(): void {
    void run();
  }

  function stop(): Promise<void> {
    isStopped = true;
    clearTimeout(compactionTimer);
    return Promise.resolve();
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      if (!host.isWatcher()) {
        watchedRevision = undefined;
        await sleep(spreadMs(roleCheckIntervalMs));
        continue;
      }
      const succeeded = watchedRevision === undefined
        ? await startWatch()
        : await watchOnce(watchedRevision);
      failures = succeeded ? 0 : failures + 1;
      if (!succeeded) await sleep(getBackOffMs(failures, backOff));
      else scheduleCompaction();
    }
  }

  /** Reads the newest and the revision from which events are new. */
  async function startWatch(): Promise<boolean> {
    // The revision is read first: what is written later is seen as an event.
    const head = await readHead(platform).run();
    if (head.isLeft()) return false;
    const result = await host.refresh();
    if ("kind" in result) return false;
    head.ifRight((found) => {
      snapshotVersion = found.version;
      watchedRevision = Math.max(found.revision, result.revision);
    });
    return true;
  }

  async function watchOnce(afterRevision: number): Promise<boolean> {
    const watchResult = await platform
      .watch(patchKeyPrefix, { afterRevision, waitMs: watchTimeoutMs })
      .run();
    if (isStopped) return true;
    if (watchResult.isLeft()) {
      metrics.count("configuration_watch_failures");
      return false;
    }
    const watchEvents = watchResult.orDefault([]);
    const hasWrites = watchEvents.some((event) => event.value !== undefined);
    if (hasWrites) {
      const result = await host.refresh();
      if ("kind" in result) return false;
    }
    const revisions = watchEvents.map((event) => event.revision);
    watchedRevision = Math.max(afterRevision, ...revisions);
    return true;
  }

  function scheduleCompaction(): void {
    const { version } = host.getState().configuration;
    const isDue = version - snapshotVersion >= host.patchesPerSnapshot;
    if (!isDue || compactionTimer !== undefined) return;
    compactionTimer = setTimeout(() => {
      void runCompaction().finally(() => {
        compactionTimer = undefined;
      });
    }, Math.random() * maxCompactionDelayMs);
    compactionTimer.unref();
  }

  async function runCompaction(): Promise<void> {
    const { codec, patchesPerSnapshot, patchRetentionMs } = host;
    const state = host.getState();
    const result = await compact(platform, {
      state,
      codec,
      patchesPerSnapshot,
      patchRetentionMs,
    }).run();
    result.caseOf<void>({
      Left: (error) =>
        log.info("Compaction did not finish", { reason: error.message }),
      Right: (version) => {
        snapshotVersion = version;
        metrics.count("configuration_compactions");
        log.info("Patch log is compacted", { version });
      },
    });
  }

  function dump(): Dump {
    return { watchedRevision, failures, snapshotVersion };
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
