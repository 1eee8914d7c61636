/** Lets the decisions of a request read the process and change nothing in it. */

import type { TargetHealth } from "../process/direct/targets/target_health.ts";
import type { TargetLimits } from "../process/direct/limits/target_limits.ts";
import type { TargetPace } from "../process/direct/targets/target_pace.ts";
import type { TargetPauses } from "../process/direct/targets/target_pauses.ts";
import type { TargetTable } from "../process/direct/targets/target_table.ts";
import type { ServiceVersions } from "../process/direct/streams/service_versions.ts";
import type { StreamOrigins } from "../process/direct/streams/stream_origins.ts";
import type { ChoiceHost } from "./direct_choice.ts";
import type { DirectHost } from "./direct_host.ts";

/**
 * Stands for each random number: among equal costs the first is chosen, and delays
 * are the middle of what callers are told.
 */
export const middleDraw = 0.5;

/** What the decisions are read from. */
export interface PreviewSource extends
  Pick<
    ChoiceHost,
    | "cachedParts"
    | "loadMultiple"
    | "loads"
    | "partDemand"
    | "placement"
    | "promptSizes"
    | "speeds"
    | "zone"
  > {
  readonly targets: Pick<
    TargetTable,
    | "getAll"
    | "getEvacuated"
    | "getLeaving"
    | "isEvacuated"
    | "isUnconfirmed"
    | "mayReceive"
    | "peekReady"
  >;
  readonly health: Pick<
    TargetHealth,
    "getUsable" | "isEjected" | "isReachable" | "isUsable"
  >;
  readonly pauses: Pick<
    TargetPauses,
    "getFirstEndMs" | "getUsable" | "isPaused"
  >;
  readonly limits: Pick<TargetLimits, "preview">;
  readonly pace: Pick<TargetPace, "preview">;
  readonly serviceVersions: Pick<ServiceVersions, "preview">;
  readonly streamOrigins: Pick<StreamOrigins, "getVersion" | "tryPeek">;
  readonly targetCrashes: Pick<DirectHost["targetCrashes"], "hasCrashed">;
}

/** The process as the decisions of a dry run see it. */
export interface PreviewHost extends ChoiceHost {
  readonly targets: PreviewSource["targets"] & Pick<TargetTable, "getReady">;
  readonly pauses: PreviewSource["pauses"];
  readonly limits: TargetLimits["preview"];
  readonly serviceVersions: ServiceVersions["preview"];
  readonly streamOrigins: DirectHost["streamOrigins"];
  readonly targetCrashes: PreviewSource["targetCrashes"];
  /** Returns true when a request would have asked peers for a version. */
  hasAskedPeers(): boolean;
}

/** Creates the view of one dry run. */
export function createPreviewHost(source: PreviewSource): PreviewHost {
  const { targets, limits, pace, serviceVersions, streamOrigins } = source;
  let hasAsked = false;
  return {
    ...source,
    targets: { ...targets, getReady: targets.peekReady },
    limits: limits.preview,
    pace: pace.preview,
    serviceVersions: serviceVersions.preview,
    streamOrigins: {
      getVersion: streamOrigins.getVersion,
      lookUp: (name) => {
        const known = streamOrigins.tryPeek(name);
        hasAsked ||= known === undefined;
        return Promise.resolve(known ?? { kind: "unanswered" });
      },
      record: () => undefined,
    },
    random: () => middleDraw,
    hasAskedPeers: () => hasAsked,
  };
}
