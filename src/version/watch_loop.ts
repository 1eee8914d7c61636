/**
 * Watches the patch log while this process is a watcher. An event only says
 * that something may have changed; the content always comes from a new read,
 * so that late and repeated events are harmless.
 */

import { getBackOffMs, getJitteredMs } from "../process/membership/jitter.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Platform, PlatformError } from "../types/platform.ts";
import type { Dump } from "../types/role.ts";
import { compact } from "./compaction.ts";
import type { Codec } from "./codec.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import { patchKeyPrefix } from "./patch_text.ts";
import { type ConfigurationUpdate, readHead } from "./platform_reader.ts";

/** Dependencies of the watch loop. */
export interface WatchLoopHost {
  readonly platform: Platform;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly codec: Codec;
  /** Number of patches after the newest snapshot that trigger the next one. */
  readonly patchesPerSnapshot: number;
  /** Minimum time that patches stay in the log, in milliseconds. */
  readonly patchRetentionMs: number;
  isWatcher(): boolean;
  getState(): ConfigurationState;
  /** Reads from the platform and propagates new patches. */
  refresh(): Promise<ConfigurationUpdate | PlatformError>;
}

/** Watch loop of one process. */
export interface WatchLoop {
  start(): void;
  /** Ends the loop; a pending watch call is left to time out. */
  stop(): Promise<void>;
  dump(): Dump;
}

/** Timeout of one watch call, in milliseconds. */
const watchTimeoutMs = 10_000;

/**
 * Maximum interval at which a process that is not a watcher checks whether it
 * has become one, in milliseconds.
 */
const roleCheckIntervalMs = 1_000;

/**
 * Maximum random delay before a compaction, in milliseconds. Random, so that
 * one watcher usually compacts before the others start.
 */
const maxCompactionDelayMs = 5_000;

const backOff = { firstMs: 500, maxMs: 2_000 };

/** Creates the watch loop of one process. */
export function createWatchLoop(host: WatchLoopHost): WatchLoop {
  const { platform, log, metrics } = host;
  let isStopped = false;
  let failures = 0;
  /** Revision after which to watch; undefined while not watching. */
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
        await sleep(getJitteredMs(roleCheckIntervalMs));
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

  /** Updates the state and sets the revision after which to watch. */
  async function startWatch(): Promise<boolean> {
    // The head is read first, so that later writes are reported as events.
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
        log.info("Compaction of the patch log was not completed", {
          reason: error.message,
        }),
      Right: (version) => {
        snapshotVersion = version;
        metrics.count("configuration_compactions");
        log.info("Patch log was compacted", { version });
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
