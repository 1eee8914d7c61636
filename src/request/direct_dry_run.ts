/**
 * Tells what would become of a request now, without sending it.
 *
 * The answer follows the steps of `direct_run.ts` up to the first send, with the
 * same decisions. Each of them gets the read-only form of what it records: no
 * permit, slot, trial or place is taken, nothing is counted and no random number is
 * drawn, so that the next request goes where it would have gone.
 */

import { type Either, Left, Right } from "purify-ts";
import { isBeyondDeadline } from "../process/direct/limits/admission_estimate.ts";
import type { Contention } from "../process/direct/limits/contention.ts";
import { getCrashKeys } from "../process/direct/crashes/crash_keys.ts";
import type {
  Quarantine,
  QuarantineRefusal,
} from "../process/direct/crashes/quarantine.ts";
import type {
  RouteMatch,
  RouteMatcher,
} from "../process/direct/directory/route_match.ts";
import { getSharedParts } from "../process/direct/placement/prefix_placement.ts";
import type { PartPrefills } from "../process/direct/placement/part_prefills.ts";
import type {
  QueuePreview,
  TargetChance,
} from "../process/direct/queue/queued_request.ts";
import type { RequestQueue } from "../process/direct/queue/request_queue.ts";
import {
  createReport,
  formatReport,
  type Report,
} from "../types/diagnostics.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import type {
  DryRunAnswer,
  DryRunQuestion,
  DryRunRefusal,
} from "../types/dry_run.ts";
import type { RequestEnd } from "../types/reply.ts";
import type { DirectRoute, RouteTable } from "../types/route_table.ts";
import { type DirectChoice, tryChooseTarget } from "./direct_choice.ts";
import {
  createQuarantinedEnd,
  createUnservedEnd,
  getTargetQueue,
} from "./direct_end.ts";
import type { DirectHost } from "./direct_host.ts";
import { getHolder, getMaxPrefillWaitMs } from "./direct_prefill_wait.ts";
import { createQueuedRequest, createQueueEnd } from "./direct_queue_wait.ts";
import {
  createDirectStreamVersion,
  type DirectStreamVersion,
} from "./direct_stream_version.ts";
import { getPriorityClass } from "./direct_timeouts.ts";
import {
  createPreviewHost,
  middleDraw,
  type PreviewHost,
  type PreviewSource,
} from "./dry_run_host.ts";
import { createEnd } from "./request_end.ts";
import { describeTargets } from "./dry_run_targets.ts";

/** What dry runs read from the process. */
export interface DryRunHost extends PreviewSource {
  readonly contention: Pick<Contention, "isActive">;
  readonly quarantine: Pick<
    Quarantine,
    "hasEvidence" | "isTrialDue" | "peekRefusal"
  >;
  readonly queue: Pick<RequestQueue, "preview" | "tryGetEngine">;
  readonly prefills: Pick<PartPrefills, "hasRunning">;
  readonly runTimes: DirectHost["runTimes"];
  readonly routerId: string;
  /** Returns the configuration; undefined before the first. */
  tryGetMatcher(): RouteMatcher | undefined;
  /** Returns why no request is accepted now; undefined when one is. */
  tryAdmit(): Report | undefined;
}

/** The step at which the request ends or goes on, with what it was given. */
interface Decision extends
  Pick<
    DryRunAnswer,
    "fetchFrom" | "outcome" | "prefillWaitMs" | "queue" | "target"
  > {
  readonly end?: RequestEnd | undefined;
  readonly chances?: readonly TargetChance[];
}

/** Id of a request that is asked about. */
const requestId = "dry-run";

/** Answers what would become of a request; reports what is not known of it. */
export async function answerDryRun(
  host: DryRunHost,
  question: DryRunQuestion,
): Promise<Either<Report, DryRunAnswer>> {
  const matcher = host.tryGetMatcher();
  if (matcher === undefined) return Left(createReport("router_starting"));
  return await matchQuestion(matcher, question).caseOf<
    Either<Report, DryRunAnswer> | Promise<Either<Report, DryRunAnswer>>
  >({
    Left: (report) => Left(report),
    Right: async (bound) => Right(await answer(host, bound, question)),
  });
}

/** A question with the route that applies. */
interface BoundQuestion extends RouteMatch {
  readonly service: string;
  readonly table: RouteTable;
}

function matchQuestion(
  { table, tryFindRoute }: RouteMatcher,
  question: DryRunQuestion,
): Either<Report, BoundQuestion> {
  const { place, workspace } = question;
  const holder = [...table.keys?.values() ?? []]
    .find((known) => known.workspace === workspace);
  if (workspace !== undefined && holder === undefined) {
    return Left(createUnknown("workspace", workspace));
  }
  if (place.kind === "path") {
    const { host, path } = place;
    const route = tryFindRoute(host.replace(/:\d+$/, "").toLowerCase(), path);
    if (route === undefined) {
      return Left(createUnknown("route", `${host}${path}`));
    }
    // A request is given to one of the services by weight; the heaviest stands
    // for it, and the others can be asked for by name.
    const [share] = [...route.shares]
      .sort((left, right) => right.weight - left.weight);
    return Right({ route, holder, service: share?.service ?? "", table });
  }
  const { service } = place;
  const routes = table.routes.filter(({ shares }) =>
    shares.some((share) => share.service === service)
  );
  const route = routes.find((known) => fitsQuestion(known, question)) ??
    routes[0];
  return route === undefined
    ? Left(createUnknown("service with a route", service))
    : Right({ route, holder, service, table });
}

/** Returns true for the kind of route that such requests most often have. */
function fitsQuestion(
  { isResumable, kind }: DirectRoute,
  { parts, resumes }: DryRunQuestion,
): boolean {
  return resumes === undefined
    ? parts === undefined || kind === "stream"
    : isResumable;
}

function createUnknown(kind: string, name: string): Report {
  return createReport("dry_run_unknown", { kind, name });
}

function createRequest(
  { route, holder, service, table }: BoundQuestion,
  { place, parts, resumes }: DryRunQuestion,
): DirectRequest {
  const now = performance.now();
  return {
    requestId,
    host: route.host,
    method: route.kind === "safe" ? "GET" : "POST",
    path: place.kind === "path" ? place.path : route.prefix,
    headers: [],
    body: new Uint8Array(),
    deadlineMs: undefined,
    key: undefined,
    prompt: parts && {
      model: "",
      parts,
      promptTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
      maxOutputTokens: 0,
      hintedOutputTokens: undefined,
    },
    lastEventId: undefined,
    ...{ resumes, route, service, holder, tableVersion: table.version },
    arrivedAt: now,
    deadlineAt: now + route.timeoutMs,
  };
}

async function answer(
  host: DryRunHost,
  bound: BoundQuestion,
  question: DryRunQuestion,
): Promise<DryRunAnswer> {
  const preview = createPreviewHost(host);
  const request = createRequest(bound, question);
  const streamVersion = createDirectStreamVersion(preview, request);
  const versionEnd = await streamVersion.tryRefuse();
  const asksPeers = preview.hasAskedPeers();
  const refusal = tryGetQuarantine(host, request);
  const decision = decide(host, preview, {
    ...{ request, streamVersion, versionEnd, asksPeers, refusal },
  });
  const { outcome, end, queue, target, fetchFrom, prefillWaitMs } = decision;
  return {
    router: host.routerId,
    ...describeRequest(bound, request),
    hasContention: host.contention.isActive(),
    ...{ outcome, queue, target, fetchFrom, prefillWaitMs },
    refusal: toRefusal(end?.report),
    streamVersion: streamVersion.describe()["streamVersion"],
    targets: describeTargets(host, preview, {
      ...{ request, mayUse: streamVersion.mayUse, target, fetchFrom },
      isQuarantined: refusal !== undefined,
      chances: decision.chances ?? [],
    }),
  };
}

function describeRequest(
  { route, table }: BoundQuestion,
  request: DirectRequest,
): Pick<DryRunAnswer, "priorityClass" | "route" | "service" | "version"> {
  const { name, host, prefix, kind, latencyGoalMs, timeoutMs } = route;
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  const shares = route.shares.map(({ service, weight }) => ({
    service,
    share: total > 0 ? weight / total : 0,
  }));
  return {
    version: table.version,
    route: { name, host, prefix, kind, latencyGoalMs, timeoutMs, shares },
    service: request.service,
    priorityClass: getPriorityClass(request),
  };
}

/** What is known of the request before the queue. */
interface RequestState {
  readonly request: DirectRequest;
  readonly streamVersion: DirectStreamVersion;
  /** End of a request whose stream can't be taken up. */
  readonly versionEnd: RequestEnd | undefined;
  /** True when peers would have to tell the version of the stream. */
  readonly asksPeers: boolean;
  readonly refusal: QuarantineRefusal | undefined;
}

/** Follows the steps of a request up to its first send. */
function decide(
  host: DryRunHost,
  preview: PreviewHost,
  state: RequestState,
): Decision {
  const { request, streamVersion, versionEnd, refusal } = state;
  const { mayUse } = streamVersion;
  const report = host.tryAdmit();
  if (report !== undefined) return refuse(createEnd(report));
  if (versionEnd !== undefined) {
    return state.asksPeers ? { outcome: "asks_peers" } : refuse(versionEnd);
  }
  if (refusal !== undefined) return refuse(createQuarantinedEnd(refusal));
  const place = host.contention.isActive()
    ? host.queue.preview(createQueuedRequest(host, request, mayUse))
    : undefined;
  if (place?.kind === "refused") {
    return refuse(createQueueEnd(place.refusal, request, middleDraw));
  }
  const chances = place?.kind === "place" ? place.targets : [];
  const choice = chooseDrawn(preview, request, { mayUse, chances });
  const queue = choice && getTargetQueue(host, choice);
  const timeLeftMs = request.deadlineAt - performance.now();
  const isLate = queue !== undefined && isBeyondDeadline(queue, timeLeftMs);
  if (choice === undefined || isLate) {
    return refuse(createUnservedEnd(preview, request.service, {
      lastRefusal: isLate ? "target_full" : undefined,
      ...{ lastQueue: queue, timeLeftMs, streamVersion },
    }));
  }
  return { ...describeSend(host, request, { choice, place }), chances };
}

function refuse(end: RequestEnd): Decision {
  return { outcome: "refused", end };
}

/** Chooses as for a place that names a target: the most likely one first. */
function chooseDrawn(
  preview: PreviewHost,
  request: DirectRequest,
  { mayUse, chances }: {
    mayUse(target: DirectTarget): boolean;
    readonly chances: readonly TargetChance[];
  },
): DirectChoice | undefined {
  const [likely] = [...chances]
    .sort((left, right) => right.chance - left.chance);
  const drawn = likely && tryChooseTarget(
    preview,
    request,
    (target) => target.address === likely.target.address && mayUse(target),
  );
  return drawn ?? tryChooseTarget(preview, request, mayUse);
}

function describeSend(
  host: Pick<DryRunHost, "prefills">,
  { prompt, route }: DirectRequest,
  { choice, place }: {
    readonly choice: DirectChoice;
    readonly place: QueuePreview | undefined;
  },
): Decision {
  const { target, fetchFrom } = choice;
  const isPrefilling = prompt !== undefined && host.prefills.hasRunning(
    getHolder(choice).id,
    getSharedParts(prompt.parts),
  );
  const sent = {
    ...{ target: target.id, fetchFrom: fetchFrom?.id },
    prefillWaitMs: isPrefilling ? getMaxPrefillWaitMs(route) : undefined,
  };
  if (place?.kind === "waiting") {
    const { position, waitMs } = place;
    return { ...sent, outcome: "waits", queue: { position, waitMs } };
  }
  return { ...sent, outcome: isPrefilling ? "waits_for_prefill" : "sent" };
}

/** Returns why the request is quarantined; its trial may be sent when due. */
function tryGetQuarantine(
  { quarantine }: Pick<DryRunHost, "quarantine">,
  request: DirectRequest,
): QuarantineRefusal | undefined {
  if (!quarantine.hasEvidence()) return undefined;
  const keys = getCrashKeys(request);
  const refusal = quarantine.peekRefusal(keys);
  return refusal === undefined || quarantine.isTrialDue(keys)
    ? undefined
    : refusal;
}

function toRefusal(report: Report | undefined): DryRunRefusal | undefined {
  return report && {
    code: report.code,
    message: formatReport(report),
    retryAfterMs: report.retryAfterMs === undefined
      ? undefined
      : Math.round(report.retryAfterMs),
  };
}
