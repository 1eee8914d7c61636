/**
 * ORDER: a stream holds events of two software versions, over all requests of its
 * caller. LOST: streams that callers take up don't go on.
 */

import { groupBy, type JudgeContext, type Violation } from "./judge_context.ts";
import { bounds, type CallerRequest } from "./observations.ts";

/** Streams that are taken up and new ones that a comparison takes. */
const minCompared = 12;

/** Targets of its version with which a stream must go on. */
const minServing = 2;

/** Judges the streams that callers take up. */
export function judgeVersions(context: JudgeContext): readonly Violation[] {
  const streams = groupBy(
    context.requests.filter(({ kind }) => kind === "resumable"),
    ({ id, resumes }) => resumes ?? id,
  );
  const found = [...streams].flatMap(([id, requests]) =>
    judgeStream(context, { id, requests })
  );
  return [...found, ...judgeShare(context, streams)];
}

function judgeStream(
  context: JudgeContext,
  { id, requests }: {
    readonly id: string;
    readonly requests: readonly CallerRequest[];
  },
): readonly Violation[] {
  const lives = requests.flatMap(getLives);
  const versions = new Set(lives.map((life) => getVersion(context, life)));
  if (versions.size <= 1) return [];
  const sends = requests.map(({ id, router, sentAt }) =>
    `${id} by ${router} at ${context.formatTime(sentAt)}`
  );
  return [{
    rule: "ORDER",
    text: `stream ${id} has events of ${[...versions].join(" and ")}, from ` +
      `${lives.join(", ")}: ${sends.join("; ")}`,
  }];
}

/** Returns the processes whose events reached the caller, in order. */
function getLives({ result }: CallerRequest): readonly string[] {
  if (result?.status !== 200) return [];
  const events = result.body.matchAll(/^data: \S+ (\S+) /gm);
  return [...new Set([...events].map(([, life = ""]) => life))];
}

function getVersion({ lives }: JudgeContext, life: string): string {
  return lives.find((known) => known.life === life)?.version ?? "unknown";
}

/** Compares how often streams go on with how often new ones begin. */
function judgeShare(
  context: JudgeContext,
  streams: ReadonlyMap<string, readonly CallerRequest[]>,
): readonly Violation[] {
  const all = [...streams.values()].flat()
    .filter(({ router, sentAt, result }) =>
      context.isInTouch(router, sentAt) && result?.gaveUp === false
    );
  const begun = all.filter(({ resumes }) => resumes === undefined);
  const takenUp = all.filter((request) =>
    request.resumes !== undefined &&
    countServing(context, streams, request) >= minServing
  );
  if (takenUp.length < minCompared || begun.length < minCompared) return [];
  const [takenShare = 0, begunShare = 0] = [takenUp, begun].map((requests) =>
    requests.filter((request) => getLives(request).length > 0).length /
    requests.length
  );
  if (takenShare >= begunShare / 2) return [];
  return [{
    rule: "LOST",
    text: `of ${takenUp.length} streams that were taken up ${takenShare} go ` +
      `on; of ${begun.length} new ones ${begunShare} begin`,
  }];
}

/** Counts the targets of a stream's version that served for long. */
function countServing(
  context: JudgeContext,
  streams: ReadonlyMap<string, readonly CallerRequest[]>,
  { resumes = "", sentAt }: CallerRequest,
): number {
  const [first] = streams.get(resumes) ?? [];
  const [life] = first === undefined ? [] : getLives(first);
  const origin = context.lives.find((known) => known.life === life);
  return context.lives.filter(({ service, version, from, to }) =>
    service === origin?.service && version === origin.version &&
    from <= sentAt - bounds.contactMs && to > sentAt + bounds.contactMs
  ).length;
}
