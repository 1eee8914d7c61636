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
  /** SIGTERM to all in turn; the length is the time from one to the next. */
  routers_roll: { weight: 0, lengthMs: [800, 3_500], ...ofStore },
  /** SIGTERM and SIGHUP, in turn and several of each. */
  routers_signals: { weight: 0, lengthMs: [100, 900], ...ofRouters },
  routers_stop_freeze: { weight: 0, lengthMs: [300, 2_000], ...ofRouters },
  targets_pause: { weight: 0, lengthMs: [1_000, 3_000], ...ofAnswers },
  stop_beside_pause: { weight: 0, lengthMs: [1_200, 3_000], ...ofRouters },
  /** Many streams at once, which then all lack a target that answers. */
  burst_beside_pause: { weight: 0, lengthMs: [1_700, 3_000], ...ofStore },
  /** One router is cut off from the store, all others are lost, a target leaves. */
  removed_beside_loss: { weight: 0, lengthMs: [12_000, 14_000], ...ofTargets },
  /** A target leaves, and all routers but one are lost right after. */
  removed_before_loss: { weight: 0, lengthMs: [5_000, 7_000], ...ofTargets },
  /**
   * All routers but one are lost or frozen for a time, in which that one is cut off
   * from the store and a target leaves.
   */
  removed_in_lone_cut: { weight: 0, lengthMs: [8_500, 9_500], ...ofTargets },
  /** Targets end in the middle of uploads, with a part of a response. */
  uploads_cut: { weight: 0, lengthMs: [4_000, 9_000], ...ofAnswers },
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

/** Answers without a proof, of which some come from targets that have run. */
const unprovedAnswers: readonly AnswerName[] = [
  ...["pause", "pause", "ran_421", "ran_400", "ran_421_unsigned"] as const,
  ...["ran_429_unsigned", "ran_503_unsigned", "ran_400_unsigned"] as const,
  ...["ran_421", "ran_429", "ran_503", "nameless_421"] as const,
];

/** Faults of planned work, which each planned schedule has, and more of them. */
const plannedFaults: readonly FaultName[] = [
  ...["stop_beside_pause", "stop_beside_pause", "burst_beside_pause"] as const,
  ...["routers_signals", "target_answers", "targets_pause"] as const,
];

/** Further faults of a planned schedule, drawn from these. */
const drawnPlannedFaults: readonly FaultName[] = [
  ...plannedFaults,
  ...["routers_stop", "versions_storm", "target_draining"] as const,
  ...["target_answers", "target_answers", "target_leaving"] as const,
];

/** Number of these. */
const drawnPlannedCount = 4;

/** Faults that come in addition to those of unplanned work, drawn from these. */
const addedFaults: readonly FaultName[] = [
  ...["routers_signals", "routers_stop_freeze", "targets_pause"] as const,
  ...["stop_beside_pause", "burst_beside_pause", "target_answers"] as const,
];

/** Number of these. */
const addedCount = 3;

/** Of so many seeds, one has planned work only. */
const plannedSeedPeriod = 3;

/** Number of routers up to which all of them read the store. */
const smallFleetSize = 8;

/** Most time before the first loss of routers, in milliseconds. */
const maxLossDelayMs = 2_500;

/** Time from one loss of routers to the next, in milliseconds. */
const lossIntervalMs = 8_000;

/** Of so many seeds, the one with cuts of a router that is left alone. */
const loneCutPeriod = { of: 10, at: 4 } as const;

/** Time from one such cut to the next, in milliseconds. */
const loneCutIntervalMs = 11_500;

/** Time before the first fault and after the last start of one, in ms. */
const calmMs = { before: 1_500, after: 5_000 } as const;

/** Faults, or series of them, that each run has besides those for its size. */
const baseCount = 6;

/** Faults that are drawn per router and target. */
const countPerMember = 0.7;

/** Chance that a fault comes as a series. */
const seriesChance = 0.35;

/** What a schedule is drawn for. */
interface ScheduleOptions {
  readonly durationMs: number;
  readonly routers: number;
  readonly targets: number;
}

/** Returns true for seeds with no disruption but planned work and targets. */
export function isPlannedSeed(seed: number): boolean {
  return seed % plannedSeedPeriod === plannedSeedPeriod - 1;
}

/**
 * Returns true for seeds in which routers of a fleet with a few readers are lost
 * beside leaves, and are in touch between these.
 */
export function isLossSeed(
  seed: number,
  { routers }: Pick<ScheduleOptions, "routers">,
): boolean {
  return routers > smallFleetSize && seed % plannedSeedPeriod === 0;
}

/** Returns true for seeds in which one router is left and cut off. */
export function isLoneCutSeed(
  seed: number,
  { routers }: Pick<ScheduleOptions, "routers">,
): boolean {
  return routers <= smallFleetSize && !isPlannedSeed(seed) &&
    seed % loneCutPeriod.of === loneCutPeriod.at;
}

/** Draws cuts of a router whose peers are lost or frozen. */
export function createLoneCutSchedule(
  random: () => number,
  options: ScheduleOptions,
): readonly Fault[] {
  const { drawFault, drawBetween } = createDraws(random, options, ["served"]);
  const firstMs = drawBetween(calmMs.before, maxLossDelayMs);
  return sortFaults([
    drawFault("removed_in_lone_cut", firstMs),
    drawFault("removed_in_lone_cut", firstMs + loneCutIntervalMs),
  ], options);
}

/** Draws losses of routers beside leaves, one after the other. */
export function createLossSchedule(
  random: () => number,
  options: ScheduleOptions,
): readonly Fault[] {
  const { drawFault, drawBetween } = createDraws(random, options, ["served"]);
  const firstMs = drawBetween(calmMs.before, maxLossDelayMs);
  return sortFaults([
    drawFault("removed_before_loss", firstMs),
    drawFault("removed_beside_loss", firstMs + lossIntervalMs),
  ], options);
}

/** Draws the targets that end in the middle of uploads. */
export function createUploadFaults(
  random: () => number,
  options: ScheduleOptions,
): readonly Fault[] {
  const { drawSeries } = createDraws(random, options, ["cut_upload"]);
  return sortFaults(drawSeries("uploads_cut"), options);
}

/** Draws a schedule; its faults overlap and come in series. */
export function createSchedule(
  random: () => number,
  options: ScheduleOptions,
): readonly Fault[] {
  const names = (Object.keys(faultShapes) as FaultName[]).flatMap((name) =>
    Array.from({ length: faultShapes[name].weight }, () => name)
  );
  const { durationMs, routers, targets } = options;
  const length = Math.round(baseCount + (routers + targets) * countPerMember);
  const draws = createDraws(random, options, faultyAnswers);
  const { drawSeries, drawFault, drawBetween, pick } = draws;
  const drawn = Array.from({ length }, () => pick(names)).flatMap(drawSeries);
  const lossMs = drawBetween(calmMs.before, durationMs - calmMs.after);
  return sortFaults([...drawn, drawFault("routers_lost", lossMs)], options);
}

/** Draws what comes in addition, from a source of its own. */
export function createAddedFaults(
  random: () => number,
  options: ScheduleOptions,
): readonly Fault[] {
  const { pick, drawSeries } = createDraws(random, options, unprovedAnswers);
  const names = Array.from({ length: addedCount }, () => pick(addedFaults));
  return sortFaults(names.flatMap(drawSeries), options);
}

/** Draws a schedule of planned work, beside targets that misbehave. */
export function createPlannedSchedule(
  random: () => number,
  options: ScheduleOptions,
): readonly Fault[] {
  const draws = createDraws(random, options, unprovedAnswers);
  const { pick, drawSeries, drawFault, drawBetween } = draws;
  const latestMs = options.durationMs - calmMs.after;
  const drawn = Array.from(
    { length: drawnPlannedCount },
    () => pick(drawnPlannedFaults),
  );
  const rollMs = drawBetween(calmMs.before, latestMs / 2);
  return sortFaults([
    ...[...plannedFaults, ...drawn].flatMap(drawSeries),
    drawFault("routers_roll", rollMs),
  ], options);
}

function sortFaults(
  faults: readonly Fault[],
  { durationMs }: ScheduleOptions,
): readonly Fault[] {
  return faults.filter(({ atMs }) => atMs < durationMs - calmMs.after)
    .sort((left, right) => left.atMs - right.atMs);
}

/** Creates the draws of one source. */
function createDraws(
  random: () => number,
  { durationMs, routers, targets }: ScheduleOptions,
  faulty: readonly AnswerName[],
) {
  const latestMs = durationMs - calmMs.after;

  return { drawSeries, drawFault, drawBetween, pick };

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
      answer: pick(faulty),
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
