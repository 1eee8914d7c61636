/** Seeded arrivals of requests, in load patterns that have names. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { PromptPart } from "../../src/types/prompt.ts";

/** One request of a load. */
export interface Arrival {
  /** Milliseconds from the start. */
  readonly atMs: number;
  readonly kind: string;
  readonly router: number;
  readonly parts: readonly PromptPart[];
  readonly outputTokens: number;
  /** Time to the first event in which an answer is on time, in ms. */
  readonly goalMs: number;
  readonly priority: number;
}

/** Loads that are replayed. */
export type LoadPattern = "calm" | "hot_part" | "burst" | "crash";

interface RequestKind {
  readonly name: string;
  readonly perSecond: number;
  readonly goalMs: number;
  readonly priority: number;
  /** Common parts, and the parts of subjects behind them. */
  readonly common: { readonly count: number; readonly tokens: number };
  readonly subject: { readonly count: number; readonly tokens: number };
  readonly ownTokens: number;
  readonly outputTokens: number;
}

/** Three kinds of generation, in the proportions of a served system. */
const requestKinds: readonly RequestKind[] = [
  {
    name: "draft",
    perSecond: 9.6,
    goalMs: 800,
    priority: 1,
    common: { count: 3, tokens: 512 },
    subject: { count: 46, tokens: 10_000 },
    ownTokens: 1_300,
    outputTokens: 384,
  },
  {
    name: "suggestion",
    perSecond: 26.8,
    goalMs: 300,
    priority: 0,
    common: { count: 8, tokens: 119 },
    subject: { count: 58, tokens: 580 },
    ownTokens: 130,
    outputTokens: 290,
  },
  {
    name: "check",
    perSecond: 14.8,
    goalMs: 400,
    priority: 2,
    common: { count: 40, tokens: 341 },
    subject: { count: 72, tokens: 1_700 },
    ownTokens: 360,
    outputTokens: 22,
  },
];

/** Window of a pattern's trouble, in milliseconds from the start. */
export const disturbanceMs = { from: 4_000, to: 9_000 } as const;

/** Share of the drafts in the window that are about one subject. */
const hotSubjectShare = 0.6;

/** Times the usual rate in a burst. */
const burstRateFactor = 2;

/** Step in which arrivals are drawn, in milliseconds. */
const stepMs = 5;

/** Draws the arrivals of a pattern; equal seeds give equal arrivals. */
export function createArrivals(
  pattern: LoadPattern,
  options: {
    readonly seed: number;
    readonly lengthMs: number;
    readonly routers: number;
  },
): readonly Arrival[] {
  const generator = xoroshiro128plus(options.seed);
  const random = (): number => uniformFloat64(generator);
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < options.lengthMs; atMs += stepMs) {
    const isDisturbed = atMs >= disturbanceMs.from && atMs < disturbanceMs.to;
    for (const kind of requestKinds) {
      const factor = pattern === "burst" && isDisturbed ? burstRateFactor : 1;
      const probability = kind.perSecond * factor * stepMs / 1_000;
      if (random() >= probability) continue;
      const isHot = pattern === "hot_part" && isDisturbed &&
        kind.name === "draft" && random() < hotSubjectShare;
      arrivals.push(drawArrival(kind, { atMs, isHot }));
    }
  }
  return arrivals;

  function drawArrival(
    kind: RequestKind,
    { atMs, isHot }: { readonly atMs: number; readonly isHot: boolean },
  ): Arrival {
    const subject = isHot ? 0 : drawIndex(kind.subject.count);
    // A subject always stands behind the same common part.
    const common = subject % kind.common.count;
    return {
      atMs,
      kind: kind.name,
      router: drawIndex(options.routers),
      goalMs: kind.goalMs,
      priority: kind.priority,
      parts: [
        { id: `${kind.name}-${common}`, tokens: kind.common.tokens },
        {
          id: `${kind.name}-${common}-${subject}`,
          tokens: getSubjectTokens(kind, subject),
        },
        {
          id: `${kind.name}-own-${atMs}`,
          tokens: Math.round(kind.ownTokens * (0.3 + 1.4 * random())),
        },
      ],
      outputTokens: Math.round(kind.outputTokens * (0.4 + 1.2 * random())),
    };
  }

  function drawIndex(count: number): number {
    return Math.floor(random() * count);
  }
}

/** Subjects differ in length, from 0.4 to 1.6 of the mean. */
function getSubjectTokens({ subject }: RequestKind, index: number): number {
  const fraction = (index * 7 % subject.count) / subject.count;
  return Math.round(subject.tokens * (0.4 + 1.2 * fraction));
}
