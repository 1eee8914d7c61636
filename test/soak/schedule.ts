/** Draws the faults of a soak from its seed. */

import type { AnswerName } from "./target_answers.ts";

/** What the faults of one name may look like. */
interface FaultShape {
  /** Chance relative to the other faults. */
  readonly weight: number;
  /** Shortest and longest length, in milliseconds. */
  readonly lengthMs: readonly [number, number];
  readonly takes: "routers" | "targets" | "nothing";
  /** How many routers or targets it takes at once. */
  readonly breadths: readonly ("one" | "pair" | "half")[];
}

const ofRouters = {
  takes: "routers",
  breadths: ["one", "pair", "pair", "half"],
} as const;
const ofTargets = { takes: "targets", breadths: ["one"] } as const;
const ofAnswers = {
  takes: "targets",
  breadths: ["one", "pair", "half"],
} as const;
const ofStore = { takes: "nothing", breadths: ["one"] } as const;

/** Faults by name. */
const faultShapes = {
  routers_stop: { weight: 3, lengthMs: [200, 1_000], ...ofRouters },
  routers_kill: { weight: 3, lengthMs: [100, 1_500], ...ofRouters },
  routers_freeze: { weight: 3, lengthMs: [300, 3_000], ...ofRouters },
  routers_cut: { weight: 3, lengthMs: [300, 5_000], ...ofRouters },
  store_refuse: { weight: 1, lengthMs: [300, 2_500], ...ofStore },
  store_hang: { weight: 1, lengthMs: [300, 2_500], ...ofStore },
  store_reset: { weight: 1, lengthMs: [300, 2_500], ...ofStore },
  store_lapse: { weight: 1, lengthMs: [500, 2_000], ...ofStore },
  store_return: { weight: 4, lengthMs: [1_000, 5_000], ...ofTargets },
  store_compact: { weight: 1, lengthMs: [1, 1], ...ofStore },
  /** All at once; each schedule has one, besides those that are drawn. */
  routers_lost: { weight: 0, lengthMs: [600, 1_400], ...ofStore },
  routers_removed: { weight: 1, lengthMs: [1, 1], ...ofStore },
  target_answers: { weight: 10, lengthMs: [1_000, 5_000], ...ofAnswers },
  target_limit: { weight: 4, lengthMs: [6_000, 12_000], ...ofAnswers },
  target_leaving: { weight: 4, lengthMs: [4_000, 9_000], ...ofTargets },
  target_draining: { weight: 3, lengthMs: [2_300, 7_000], ...ofTargets },
  target_removed: { weight: 3, lengthMs: [2_300, 7_000], ...ofTargets },
  target_removed_after_outage: {
    weight: 2,
    lengthMs: [2_300, 7_000],
    ...ofTargets,
  },
  target_removed_after_cut: {
    weight: 3,
    lengthMs: [2_300, 7_000],
    ...ofTargets,
  },
  large_values: { weight: 3, lengthMs: [3_000, 7_000], ...ofStore },
  zone_evacuated: { weight: 3, lengthMs: [3_000, 7_000], ...ofStore },
  leaves_beside_large_values: {
    weight: 3,
    lengthMs: [4_000, 7_000],
    ...ofTargets,
  },
  target_crash: { weight: 3, lengthMs: [300, 2_500], ...ofTargets },
  versions_storm: { weight: 3, lengthMs: [800, 2_000], ...ofStore },
} as const satisfies Record<string, FaultShape>;

/** Name of a fault. */
export type FaultName = keyof typeof faultShapes;

/** One fault of a schedule. */
export interface Fault {
  readonly name: FaultName;
  /** Start after the begin of the run, in milliseconds. */
  readonly atMs: number;
  readonly lengthMs: number;
  /** Indexes of the routers or targets. */
  readonly members: readonly number[];
  /** Answer that the targets give, for faults of answers. */
  readonly answer: AnswerName;
  /** Share of the requests, or another variation of the fault. */
  readonly share: number;
}

/** Answers that faults play, the ones about promises and pauses more often. */
const faultyAnswers: readonly AnswerName[] = [
  ...["full", "full_pause", "full_pause", "ran_503", "ran_503"] as const,
  ...["ran_503_pause", "ran_429", "ran_408", "error_500"] as const,
  ...["reset", "closed", "silent", "noise", "nameless_421"] as const,
  ...["nameless_503", "stray", "stray", "stray_nameless"] as const,
];

/** Time before the first fault and after the last start of one, in ms. */
const calmMs = { before: 1_500, after: 5_000 } as const;

/** Faults, or series of them, that each run has besides those for its size. */
const baseCount = 6;

/** Faults that are drawn per router and target. */
const countPerMember = 0.7;

/** Chance that a fault comes as a series. */
const seriesChance = 0.35;

/** Draws a schedule; its faults overlap and come in series. */
export function createSchedule(
  random: () => number,
  { durationMs, routers, targets }: {
    readonly durationMs: number;
    readonly routers: number;
    readonly targets: number;
  },
): readonly Fault[] {
  const names = (Object.keys(faultShapes) as FaultName[]).flatMap((name) =>
    Array.from({ length: faultShapes[name].weight }, () => name)
  );
  const latestMs = durationMs - calmMs.after;
  const length = Math.round(baseCount + (routers + targets) * countPerMember);
  const drawn = Array.from({ length }, () => pick(names)).flatMap(drawSeries);
  const lossMs = drawBetween(calmMs.before, latestMs);
  return [...drawn, drawFault("routers_lost", lossMs)]
    .filter(({ atMs }) => atMs < latestMs)
    .sort((left, right) => left.atMs - right.atMs);

  function drawSeries(name: FaultName): readonly Fault[] {
    const count = random() < seriesChance ? 2 + Math.floor(random() * 3) : 1;
    const firstMs = drawBetween(calmMs.before, latestMs);
    const gapMs = drawBetween(200, 2_700);
    return Array.from(
      { length: count },
      (_, index) => drawFault(name, firstMs + index * gapMs),
    );
  }

  function drawFault(name: FaultName, atMs: number): Fault {
    const shape: FaultShape = faultShapes[name];
    const total = { routers, targets, nothing: 0 }[shape.takes];
    const breadths = { one: 1, pair: 2, half: Math.ceil(total / 2) };
    return {
      ...{ name, atMs: Math.round(atMs) },
      lengthMs: Math.round(drawBetween(...shape.lengthMs)),
      members: drawMembers(total, breadths[pick(shape.breadths)]),
      answer: pick(faultyAnswers),
      share: random(),
    };
  }

  function drawMembers(total: number, count: number): readonly number[] {
    return Array.from({ length: total }, (_, index) => index)
      .map((index) => ({ index, order: random() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, count)
      .map(({ index }) => index);
  }

  function drawBetween(least: number, most: number): number {
    return least + random() * (most - least);
  }

  function pick<T>(values: readonly T[]): T {
    return values[Math.floor(random() * values.length)] as T;
  }
}

/** Formats a fault as one line of a trace. */
export function formatFault(fault: Fault): string {
  const { name, atMs, lengthMs, members, answer, share } = fault;
  const details = name === "target_answers" ? answer : "";
  return `${atMs / 1_000} s ${name} ${lengthMs} ms [${members}] ${details} ` +
    share.toFixed(2);
}
