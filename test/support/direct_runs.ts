/** Runs direct requests at targets whose behaviour a test chooses. */

import { createContention } from "../../src/process/direct/limits/contention.ts";
import {
  createRepeatRecords,
  type RepeatRecords,
} from "../../src/process/direct/queue/repeat_records.ts";
import { createPromptSizes } from "../../src/process/direct/placement/prompt_sizes.ts";
import { createEngineMemory } from "../../src/process/direct/limits/engine_memory.ts";
import {
  createRequest,
  createTarget,
  createTestLimits,
  createTestPace,
  createTestQuarantine,
  createTestQueue,
  createTestStreamOrigins,
} from "./direct.ts";
import { createRunTimes } from "../../src/process/direct/limits/admission_estimate.ts";
import {
  type CrashSuspects,
  createCrashSuspects,
} from "../../src/process/direct/crashes/crash_suspects.ts";
import type { AbortedAttempt } from "../../src/process/direct/crashes/aborted_attempts.ts";
import type { Quarantine } from "../../src/process/direct/crashes/quarantine.ts";
import type { RequestQueue } from "../../src/process/direct/queue/request_queue.ts";
import { createCachedParts } from "../../src/process/direct/placement/cached_parts.ts";
import { createReadPace } from "../../src/process/admission/read_pace.ts";
import { createMemoryBudget } from "../../src/process/direct/limits/memory_budget.ts";
import { createPartPrefills } from "../../src/process/direct/placement/part_prefills.ts";
import { createLoadView } from "../../src/process/direct/targets/load_view.ts";
import {
  createTargetHealth,
  type TargetOutcome,
} from "../../src/process/direct/targets/target_health.ts";
import {
  createTargetPauses,
  type TargetPauses,
} from "../../src/process/direct/targets/target_pauses.ts";
import type { StreamOrigins } from "../../src/process/direct/streams/stream_origins.ts";
import type { TargetLimits } from "../../src/process/direct/limits/target_limits.ts";
import type { ZoneEvacuations } from "../../src/process/direct/targets/zone_evacuations.ts";
import { createTargetTable } from "../../src/process/direct/targets/target_table.ts";
import { createSilentLog } from "../../src/process/telemetry/log.ts";
import { createPlacement } from "../../src/process/placement/placement.ts";
import type { DirectCall, DirectResult } from "../../src/types/direct_calls.ts";
import { formatReport } from "../../src/types/diagnostics.ts";
import type { DirectRequest } from "../../src/types/direct_request.ts";
import type { PromptPart } from "../../src/types/prompt.ts";
import type { Reply, RequestEnd } from "../../src/types/reply.ts";
import type { DirectRoute } from "../../src/types/route_table.ts";
import { runDirect } from "../../src/request/direct_run.ts";

/** Responds to one attempt. */
export type Behaviour = (
  call: DirectCall,
  pauses: TargetPauses,
) => DirectResult | Promise<DirectResult>;

/** Formats an event of a stream. */
export function event(id: number): string {
  return `id: ${id}\ndata: word\n\n`;
}

/** Creates a response that yields its chunks in order; an error aborts it. */
export function createResponse(
  chunks: readonly (string | Error)[],
  options: {
    readonly status?: number;
    readonly isEventStream?: boolean;
    readonly length?: number;
  } = {},
): DirectResult {
  return {
    kind: "answer",
    head: {
      status: options.status ?? 200,
      headers: [{ name: "signature", value: "target" }],
      isEventStream: options.isEventStream ?? false,
      length: options.length,
      load: undefined,
    },
    body: (async function* () {
      for (const piece of chunks) {
        if (piece instanceof Error) throw piece;
        yield Buffer.from(piece);
      }
    })(),
    drop: () => undefined,
  };
}

/** Creates an event stream; an error breaks it off. */
export function stream(...chunks: (string | Error)[]): DirectResult {
  return createResponse(chunks, { isEventStream: true });
}

/** Creates an event stream that breaks off when its call is aborted. */
export function abortableStream(
  chunks: readonly string[],
  options: {
    /** Pause after each chunk, in milliseconds. */
    readonly pauseMs?: number;
  } = {},
): Behaviour {
  return (call) => ({
    ...createResponse([], { isEventStream: true }),
    body: (async function* () {
      for (const piece of chunks) {
        if (call.signal.aborted) throw new Error("aborted");
        yield Buffer.from(piece);
        if (options.pauseMs === undefined) continue;
        await new Promise((resolve) => setTimeout(resolve, options.pauseMs));
      }
    })(),
  });
}

/** Never responds; ends when the call is aborted. */
export function hang(call: DirectCall): Promise<DirectResult> {
  call.recordSent?.();
  return new Promise((resolve) => {
    call.signal.addEventListener("abort", () => resolve({ kind: "aborted" }));
  });
}

/** Runs one request; each attempt gets the next of `behaviours`. */
export async function run(
  route: DirectRoute,
  behaviours: readonly Behaviour[],
  options: {
    readonly request?: Partial<DirectRequest>;
    readonly retryCredit?: number;
    /** Grants a retry, in place of the credit. */
    readonly tryGrant?: () => boolean;
    readonly disconnectAfterMs?: number;
    readonly durationMs?: number;
    /** Time that the caller takes to read what is written; 0 by default. */
    readonly readMs?: number;
    /** Queue of each target: its requests and the time that one runs. */
    readonly queue?: { readonly requests: number; readonly meanRunMs: number };
    /** Queue under contention; without one, callers don't compete. */
    readonly requestQueue?: RequestQueue;
    /** Refusals of requests that may come back; none by default. */
    readonly repeats?: RepeatRecords;
    /** Pauses that targets have asked for, by id, in milliseconds. */
    readonly pausesMs?: Readonly<Record<string, number>>;
    /** What is known of streams; nothing by default. */
    readonly streamOrigins?: StreamOrigins;
    /** The version of a service that has had no other one lately. */
    readonly onlyVersion?: number;
    /** Addresses of the targets; a different one for each by default. */
    readonly addresses?: Readonly<Record<string, string>>;
    /** Software versions of the targets; "v1" by default. */
    readonly versions?: Readonly<Record<string, string>>;
    /** Limits of targets; none by default. */
    readonly limits?: TargetLimits;
    /** Requests that have crashed targets; none by default. */
    readonly crashes?: CrashSuspects;
    /** What crashes targets; nothing by default. */
    readonly quarantine?: Quarantine;
    /** Evacuations, with which each target is in the zone of its id. */
    readonly evacuations?: ZoneEvacuations;
    /** Start of the targets' processes. */
    readonly startedAtMs?: number;
    /** Targets whose registered processes have crashed. */
    readonly crashed?: readonly string[];
    /** True when timers fire late. */
    readonly isLoopBusy?: boolean;
    /** Called with what was sent and aborted. */
    readonly handleAborted?: (attempt: AbortedAttempt) => void;
    /** True when targets that drop a connection have crashed. */
    readonly hasCrashed?: boolean;
    /** Time until it is known whether a target has crashed, in milliseconds. */
    readonly crashCheckMs?: number;
    /** A part that a peer has just sent to an engine for prefill. */
    readonly peerPrefill?: {
      readonly target: string;
      readonly part: PromptPart;
    };
  } = {},
) {
  const calls: DirectCall[] = [];
  const sentAt: number[] = [];
  const startedAt = performance.now();
  const targets = createTargetTable({ evacuations: options.evacuations });
  const { startedAtMs = 1 } = options;
  ["a", "b", "c"].forEach((id) =>
    targets.put(
      createTarget(id, {
        startedAtMs,
        address: options.addresses?.[id] ?? `10.0.0.1:${id}`,
        zone: options.evacuations === undefined ? "zone-a" : `zone-${id}`,
        softwareVersion: options.versions?.[id] ?? "v1",
      }),
    )
  );
  const retriesSentAt: number[] = [];
  let unsentRetries = 0;
  let retriesLeft = options.retryCredit ?? 10;
  const disconnectController = new AbortController();
  const logLines: object[] = [];
  let text = "";
  let status = 0;
  let length: number | undefined;
  let end: RequestEnd | undefined;
  let endedAtMs = 0;
  const reply: Reply = {
    disconnectSignal: disconnectController.signal,
    start: (head) => {
      ({ status, length } = head);
    },
    write: (data) => {
      text += Buffer.from(data).toString();
      const { readMs = 0 } = options;
      return readMs === 0 ? undefined : new Promise((resolve) => {
        setTimeout(resolve, readMs);
      });
    },
    end: (value) => {
      end = value;
      endedAtMs = performance.now() - startedAt;
    },
  };
  const loads = createLoadView();
  const runTimes = createRunTimes();
  const pauses = createTargetPauses({
    log: createSilentLog(),
    random: () => 0.5,
  });
  Object.entries(options.pausesMs ?? {}).forEach(([id, pauseMs]) =>
    pauses.recordPause(createTarget(id), pauseMs)
  );
  const { queue } = options;
  if (queue !== undefined) {
    const load = { requests: queue.requests, unreadTokens: 0 };
    loads.recordReport(
      "router-2",
      new Map(["a", "b", "c"].map((id) => [id, load])),
    );
    for (let count = 0; count < 100; count++) {
      runTimes.record("cards", queue.meanRunMs);
    }
  }
  const cachedParts = createCachedParts();
  const prefills = createPartPrefills();
  if (options.peerPrefill !== undefined) {
    const { target, part } = options.peerPrefill;
    cachedParts.recordPart(target, part);
    prefills.recordPeerPrefill(target, part);
  }
  const health = createTargetHealth({ log: createSilentLog() });
  const outcomes: TargetOutcome[] = [];
  const running = runDirect(
    {
      calls: {
        send: (call) => {
          calls.push(call);
          sentAt.push(performance.now() - startedAt);
          const hold = call.tryGetHold?.();
          if (hold !== undefined) {
            return Promise.resolve({ kind: "withheld", hold });
          }
          const respond = behaviours[calls.length - 1] ?? hang;
          return Promise.resolve(respond(call, pauses));
        },
        tryListCachedParts: () => Promise.resolve(undefined),
      },
      targets,
      health: {
        ...health,
        recordOutcome: (target, outcome) => {
          outcomes.push(outcome);
          health.recordOutcome(target, outcome);
        },
      },
      pauses,
      promptSizes: createPromptSizes(),
      engineMemory: createEngineMemory({ tryGetEngine: () => undefined }),
      repeats: options.repeats ?? createRepeatRecords(),
      contention: createContention({
        isConfigured: options.requestQueue !== undefined,
        log: createSilentLog(),
      }),
      queue: options.requestQueue ?? createTestQueue(),
      limits: options.limits ?? createTestLimits(),
      ...createTestPace({ loads }),
      streamOrigins: options.streamOrigins ?? createTestStreamOrigins(),
      serviceVersions: {
        isCurrent: () => true,
        tryGetOnly: () =>
          options.onlyVersion === undefined
            ? undefined
            : { version: options.onlyVersion, source: "only_version" },
        tryGetOnlyAtStart: () => undefined,
        mayBegin: () => true,
      },
      loads,
      cachedParts,
      prefills,
      placement: createPlacement({
        hash: (key, seed) => key.length * 7 + seed,
      }),
      retries: {
        recordRequest: () => undefined,
        trySpend: options.tryGrant ?? (() => retriesLeft-- > 0),
        recordSent: () => retriesSentAt.push(performance.now() - startedAt),
        recordUnsent: () => void unsentRetries++,
      },
      crashes: options.crashes ??
        createCrashSuspects({
          log: createSilentLog(),
          handlePeerResponse: () => undefined,
          report: () => undefined,
        }),
      targetCrashes: {
        check: async () => {
          const { crashCheckMs = 0, hasCrashed = false } = options;
          if (crashCheckMs === 0) return hasCrashed;
          await new Promise((resolve) => setTimeout(resolve, crashCheckMs));
          return hasCrashed;
        },
        hasCrashed: ({ id }) => options.crashed?.includes(id) ?? false,
      },
      abortedAttempts: { add: options.handleAborted ?? (() => undefined) },
      quarantine: options.quarantine ?? createTestQuarantine(),
      runTimes,
      ...{ responseMemory: createMemoryBudget(), readPace: createReadPace() },
      log: {
        ...createSilentLog(),
        info: (message, fields) => logLines.push({ message, ...fields }),
      },
      metrics: { count: () => undefined },
      isLoopBusy: () => options.isLoopBusy ?? false,
      zone: "zone-a",
      loadMultiple: 2,
      random: () => 0.5,
    },
    createRequest(route, options.request),
    reply,
  );
  if (options.disconnectAfterMs !== undefined) {
    setTimeout(() => disconnectController.abort(), options.disconnectAfterMs);
  }
  await jest.advanceTimersByTimeAsync(options.durationMs ?? 20_000);
  await running;
  return {
    calls,
    sentAt,
    retriesSentAt,
    unsentRetries,
    /** Counts those that are given back after the end of the request, too. */
    countUnsentRetries: () => unsentRetries,
    targets: calls.map(({ target }) => target.id),
    text,
    status,
    length,
    outcome: end?.outcome,
    code: end?.report?.code ?? "done",
    message: end?.report === undefined ? undefined : formatReport(end.report),
    retryAfterMs: end?.report?.retryAfterMs ?? 0,
    loads,
    outcomes,
    endedAtMs,
    logLines,
  };
}
