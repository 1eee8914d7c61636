/** Keeps the stream of one request at the software version that began it. */

import type { OnlyVersion } from "../process/direct/streams/service_versions.ts";
import { unknownVersion } from "../process/direct/streams/stream_records.ts";
import type { DirectRequest } from "../types/direct_request.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import { createReport, type DiagnosticCode } from "../types/diagnostics.ts";
import type { RequestEnd } from "../types/reply.ts";
import type { DirectHost } from "./direct_host.ts";
import { createEnd } from "./request_end.ts";

/**
 * Time after which a caller may ask again at which version a stream began, in
 * milliseconds: it may reach a router in contact with those that know.
 */
const unansweredRetryAfterMs = 250;

/** The version of the stream of one request. */
export interface DirectStreamVersion {
  /**
   * Finds out the version of a stream that the request takes up; undefined for
   * other requests. Resolves to the end of the request if it can't go on.
   */
  tryRefuse(): Promise<RequestEnd | undefined> | undefined;
  /** Returns true when the stream may go on, or begin, at the target. */
  mayUse(target: DirectTarget): boolean;
  /** Records that the caller gets the first event of a target's run. */
  recordFirstEvent(target: DirectTarget): void;
  /** Returns why no target of the version is left; undefined without one. */
  tryGetRefusal(): DiagnosticCode | undefined;
  /** Returns what was found out, for the log. */
  describe(): Readonly<Record<string, string>>;
}

/** Creates the version of a stream that has not begun here. */
export function createDirectStreamVersion(
  host: Pick<DirectHost, "serviceVersions" | "streamOrigins"> & {
    readonly targetCrashes: Pick<DirectHost["targetCrashes"], "hasCrashed">;
    readonly targets: Pick<
      DirectHost["targets"],
      "getAll" | "isUnconfirmed"
    >;
  },
  request: DirectRequest,
): DirectStreamVersion {
  const { route, service, requestId, resumes, lastEventId } = request;
  const workspace = request.holder?.workspace;
  const isResumable = route.kind === "stream" && route.isResumable;
  const isTakenUp = isResumable &&
    (resumes !== undefined || lastEventId !== undefined);
  let version: number | undefined;
  let source: string | undefined;

  return { tryRefuse, mayUse, recordFirstEvent, tryGetRefusal, describe };

  function tryRefuse(): Promise<RequestEnd | undefined> | undefined {
    return isTakenUp ? resolveOrRefuse() : undefined;
  }

  async function resolveOrRefuse(): Promise<RequestEnd | undefined> {
    const code = await tryResolve();
    if (code === undefined) return undefined;
    const isUnanswered = code === "stream_version_unanswered";
    return createEnd(createReport(code, { service }, {
      retryAfterMs: isUnanswered ? unansweredRetryAfterMs : 0,
    }));
  }

  /** Finds out the version; returns why it is not known. */
  async function tryResolve(): Promise<DiagnosticCode | undefined> {
    const found = resumes === undefined
      ? { kind: "unknown" } as const
      : await host.streamOrigins.lookUp({ workspace, requestId: resumes });
    source = found.kind;
    switch (found.kind) {
      case "known":
        ({ version, source } = found);
        return undefined;
      case "unanswered":
        return useOnly(host.serviceVersions.tryGetOnlyAtStart(service))
          ? undefined
          : "stream_version_unanswered";
      case "unknown":
        if (useOnly(host.serviceVersions.tryGetOnly(service))) return undefined;
        return host.serviceVersions.isCurrent()
          ? "stream_version_unknown"
          : "stream_version_unanswered";
    }
  }

  function useOnly(only: OnlyVersion | undefined): boolean {
    // A stream of a shared route may have begun at another service.
    if (only === undefined || route.shares.length > 1) return false;
    ({ version, source } = only);
    return true;
  }

  function mayUse(target: DirectTarget): boolean {
    if (version === undefined) {
      return !isResumable || host.serviceVersions.mayBegin(target);
    }
    return version !== unknownVersion && getVersion(target) === version;
  }

  /** The version in the entry of an earlier process may not be that of the next. */
  function getVersion(target: DirectTarget): number {
    return host.targetCrashes.hasCrashed(target) ||
        host.targets.isUnconfirmed(target.id)
      ? unknownVersion
      : host.streamOrigins.getVersion(target);
  }

  function recordFirstEvent(target: DirectTarget): void {
    if (version !== undefined) return;
    version = getVersion(target);
    if (version !== unknownVersion && isResumable) {
      host.streamOrigins.record({ workspace, requestId }, target);
    }
  }

  function tryGetRefusal(): DiagnosticCode | undefined {
    if (version === undefined || !isTakenUp) return undefined;
    return host.targets.getAll(service).some(mayUse)
      ? "stream_version_unavailable"
      : "stream_version_gone";
  }

  function describe(): Readonly<Record<string, string>> {
    return source === undefined ? {} : { streamVersion: source };
  }
}
