/** Creates the state of direct routers that are replayed on fake timers. */

import { createContention } from "../../src/process/direct/limits/contention.ts";
import { createRepeatRecords } from "../../src/process/direct/queue/repeat_records.ts";
import { createPromptSizes } from "../../src/process/direct/placement/prompt_sizes.ts";
import { createEngineMemory } from "../../src/process/direct/limits/engine_memory.ts";
import { createRunTimes } from "../../src/process/direct/limits/admission_estimate.ts";
import { createCrashSuspects } from "../../src/process/direct/crashes/crash_suspects.ts";
import { createReadPace } from "../../src/process/admission/read_pace.ts";
import { createMemoryBudget } from "../../src/process/direct/limits/memory_budget.ts";
import { createLoadView } from "../../src/process/direct/targets/load_view.ts";
import { createTargetHealth } from "../../src/process/direct/targets/target_health.ts";
import { createTargetPauses } from "../../src/process/direct/targets/target_pauses.ts";
import { createSilentLog } from "../../src/process/telemetry/log.ts";
import type { DirectHost } from "../../src/request/direct_host.ts";
import {
  createTestLimits,
  createTestPace,
  createTestQuarantine,
  createTestQueue,
  createTestStreamOrigins,
} from "../support/direct.ts";

/** Creates a router's state; what its replay varies is given. */
export function createEmulatedHost(
  given:
    & Partial<DirectHost>
    & Pick<
      DirectHost,
      "cachedParts" | "calls" | "loads" | "placement" | "prefills" | "targets"
    >,
): DirectHost {
  return {
    health: createTargetHealth({ log: createSilentLog() }),
    pauses: createTargetPauses({ log: createSilentLog(), random: () => 0.5 }),
    promptSizes: createPromptSizes(),
    engineMemory: createEngineMemory({ tryGetEngine: () => undefined }),
    repeats: createRepeatRecords(),
    contention: createContention({
      ...{ isConfigured: false, log: createSilentLog() },
    }),
    queue: createTestQueue(),
    limits: createTestLimits(),
    streamOrigins: createTestStreamOrigins(),
    serviceVersions: {
      isCurrent: () => true,
      tryGetOnly: () => undefined,
      tryGetOnlyAtStart: () => undefined,
      mayBegin: () => true,
    },
    ...createTestPace({ loads: createLoadView() }),
    crashes: createCrashSuspects({
      log: createSilentLog(),
      handlePeerResponse: () => undefined,
      report: () => undefined,
    }),
    runTimes: createRunTimes(),
    targetCrashes: {
      check: () => Promise.resolve(false),
      hasCrashed: () => false,
    },
    abortedAttempts: { add: () => undefined },
    quarantine: createTestQuarantine(),
    ...{ responseMemory: createMemoryBudget(), readPace: createReadPace() },
    retries: {
      recordRequest: () => undefined,
      trySpend: () => true,
      recordSent: () => undefined,
      recordUnsent: () => undefined,
    },
    log: createSilentLog(),
    ...{ metrics: { count: () => undefined }, isLoopBusy: () => false },
    zone: "zone-0",
    loadMultiple: 2,
    random: () => 0.5,
    ...given,
  };
}
