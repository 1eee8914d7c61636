/** Names of the platform's wire; nothing outside this folder uses them. */

/** Headers of requests and answers, in lower case. */
export const headerNames = {
  requestId: "x-request-id",
  deadline: "x-deadline-ms",
  key: "x-credential",
  workspace: "x-tenant",
  model: "x-model",
  tokens: "x-tokens",
  /** The whole chain of prompt parts, not only a prefix of it. */
  promptParts: "x-prompt-prefix",
  lengthHint: "x-length-hint",
  lastEventId: "last-event-id",
  expectedTarget: "x-expect-instance",
  expectedVersion: "x-expect-version",
  priorityClass: "x-priority-class",
  fetchFrom: "kv-fetch",
  continueFrom: "kv-from",
  hold: "x-hold",
  pin: "x-pin-ms",
  backup: "x-kv-backup",
  /** Signature of the target that made the answer. */
  signature: "x-server-stamp",
  notRun: "x-not-run",
  load: "x-server-load",
} as const;

/** Headers that only the system sets towards targets. */
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

/** Keys of the store. */
export const storeKeys = {
  routeTable: "op/config",
  targetPrefix: "servers/",
  routerPrefix: "routers/",
} as const;

/** Calls of the store. */
export const storePaths = {
  range: "/-/kv-range",
  watch: "/-/kv-watch",
  write: "/-/kv-txn",
} as const;

/** Path at a model engine that lists the parts in its cache. */
export const cachedPartsPath = "/-/kv-list";

/** Path of the readiness check. */
export const readinessPath = "/-/readyz";

/** Environment variable that holds the path of the settings file. */
export const settingsVariable = "MIMOSATRAY_BOOT";
