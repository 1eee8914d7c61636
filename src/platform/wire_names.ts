/** Names of the platform's protocol; other folders of src do not use them. */

/** Headers of requests and responses, in lower case. */
export const headerNames = {
  requestId: "x-request-id",
  /** Time left until the caller's deadline, in milliseconds. */
  deadline: "x-deadline-ms",
  /** API key of the caller. */
  key: "x-credential",
  workspace: "x-tenant",
  model: "x-model",
  /** Prompt tokens and maximum output tokens, separated by a comma. */
  tokens: "x-tokens",
  /** All prompt parts in order, not only a prefix of them. */
  promptParts: "x-prompt-prefix",
  /** The caller's estimate of the output tokens. */
  lengthHint: "x-length-hint",
  /** Id of the last event that reached the caller of a resumed stream. */
  lastEventId: "last-event-id",
  /** Id of the request that brought the first event of a resumed stream. */
  resumes: "resumes",
  /** Id of the target incarnation that the request is meant for. */
  expectedTarget: "x-expect-instance",
  expectedVersion: "x-expect-version",
  /** Urgency of the request, from 0, the most urgent, to 9. */
  priorityClass: "x-priority-class",
  /** Address of the target from whose cache to copy prompt parts. */
  fetchFrom: "kv-fetch",
  continueFrom: "kv-from",
  hold: "x-hold",
  pin: "x-pin-ms",
  backup: "x-kv-backup",
  /** Signature of the target that created the response. */
  signature: "x-server-stamp",
  /** Present when the target has not run the request. */
  notRun: "x-not-run",
  /** "1" in all responses of a target that is about to exit. */
  leaving: "server-leaving",
  /** Seconds for which the target wants no requests, possibly a fraction. */
  retryAfter: "retry-after",
  /** Requests a second that the target takes from all routers together. */
  rateLimit: "server-limit",
  /** Time until the target has warmed up, in milliseconds. */
  warmUpLeft: "x-cold-ms",
  /** Id of the target that responds; not in all responses. */
  respondingTarget: "x-instance",
  /** Running requests, waiting requests and slots of the target. */
  load: "x-server-load",
  /** Number of returns of the store from an older copy. */
  storeEra: "store-era",
} as const;

/** Headers that only routers may set; those of callers are not forwarded. */
export const reservedHeaders: ReadonlySet<string> = new Set([
  headerNames.key,
  headerNames.workspace,
  headerNames.deadline,
  headerNames.expectedTarget,
  headerNames.expectedVersion,
  headerNames.priorityClass,
  headerNames.fetchFrom,
  headerNames.continueFrom,
  headerNames.hold,
  headerNames.pin,
  headerNames.backup,
  headerNames.lastEventId,
]);

/** Keys and key prefixes in the store. */
export const storeKeys = {
  routeTable: "op/config",
  targetPrefix: "servers/",
  routerPrefix: "routers/",
  evidencePrefix: "crashes/",
  /** Followed by a zone; the value does not matter. */
  evacuationPrefix: "op/evacuate/",
  versionsPrefix: "versions/",
  savedTargetPrefix: "targets/",
} as const;

/** Paths of the store's calls. */
export const storePaths = {
  range: "/-/kv-range",
  watch: "/-/kv-watch",
  write: "/-/kv-txn",
} as const;

/** Path at a model engine that lists the prompt parts in its cache. */
export const cachedPartsPath = "/-/kv-list";

/** Path of the readiness check. */
export const readinessPath = "/-/readyz";

/** Environment variable that holds the path of the settings file. */
export const settingsVariable = "MIMOSATRAY_BOOT";
