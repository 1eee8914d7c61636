/** Formats the answer to a dry run as text. */

import type {
  DryRunAnswer,
  DryRunOutcome,
  DryRunTarget,
} from "../types/dry_run.ts";
import { formatTable } from "./output.ts";

/** Formats what would become of the request, by outcome. */
const outcomes: Readonly<
  Record<DryRunOutcome, (answer: DryRunAnswer) => string>
> = {
  sent: (answer) => `sent at once to ${formatDestination(answer)}`,
  waits: ({ queue, ...answer }) =>
    `waits in the queue at position ${queue?.position}, about ` +
    `${formatMs(queue?.waitMs)}; would go to ` +
    formatDestination(answer),
  waits_for_prefill: (answer) =>
    `waits up to ${formatMs(answer.prefillWaitMs)} for the prefill of its ` +
    `parts, then goes to ${formatDestination(answer)}`,
  refused: ({ refusal }) =>
    `refused: ${refusal?.message} (${refusal?.code})` +
    (refusal?.retryAfterMs === undefined
      ? ""
      : `, Retry-After about ${formatMs(refusal.retryAfterMs)}`),
  asks_peers: () =>
    "asks other routers at which software version the stream began",
};

/** Column headings of the targets, with what stands in them. */
const columns: Readonly<Record<string, (target: DryRunTarget) => string>> = {
  target: ({ id }) => id,
  zone: ({ zone }) => zone,
  version: ({ softwareVersion }) => softwareVersion || "-",
  usable: ({ isUsable }) => isUsable ? "yes" : "no",
  load: ({ load, slots }) => `${load}/${slots}`,
  bound: ({ bound }) => formatNumber(bound),
  cached: ({ cachedTokens }) => formatNumber(cachedTokens),
  slowdown: ({ slowdown, speedAgeMs }) =>
    slowdown === undefined ? "-" : `${slowdown} (${formatMs(speedAgeMs)} old)`,
  expected: ({ expectedMs }) => formatMs(expectedMs),
  cost: ({ cost }) => formatNumber(cost),
  chance: ({ chance }) =>
    chance === undefined ? "-" : `${Math.round(chance * 100)}%`,
  obstacles: ({ obstacles }) => obstacles.join(" ") || "-",
};

/** Formats an answer. */
export function formatDryRun(answer: DryRunAnswer): readonly string[] {
  const { route, targets } = answer;
  const shares = route.shares.map(({ service, share }) =>
    `${service} ${Math.round(share * 100)}%`
  ).join(", ");
  const facts = [
    ["router", `${answer.router}, configuration ${answer.version}`],
    [
      "route",
      `${route.name} (${route.kind}, ${route.host}${route.prefix}, goal ` +
      `${formatMs(route.latencyGoalMs)})`,
    ],
    [
      "service",
      route.shares.length > 1
        ? `${answer.service} (the route has ${shares})`
        : answer.service,
    ],
    ["class", String(answer.priorityClass)],
    ["contention", answer.hasContention ? "active" : "not active"],
    ...(answer.streamVersion === undefined
      ? []
      : [["version", `told by ${answer.streamVersion}`]]),
    ["request", outcomes[answer.outcome](answer)],
  ];
  const rows = targets.map((target) =>
    Object.values(columns).map((format) => format(target))
  );
  return [
    ...formatTable(facts),
    "",
    ...(targets.length === 0
      ? ["No target of the service is known."]
      : formatTable([Object.keys(columns), ...rows])),
  ];
}

function formatDestination(
  { target, fetchFrom }: Pick<DryRunAnswer, "fetchFrom" | "target">,
): string {
  return fetchFrom === undefined
    ? `${target}`
    : `${target}, which copies from ${fetchFrom}`;
}

function formatMs(ms: number | undefined): string {
  return ms === undefined ? "-" : `${Math.round(ms)} ms`;
}

function formatNumber(value: number | undefined): string {
  return value === undefined ? "-" : String(value);
}
