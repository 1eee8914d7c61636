/** Judges a soak by the users' rules, from what was seen outside of routers. */

import { judgeAnswers } from "./judge_answers.ts";
import { judgeBudget } from "./judge_budget.ts";
import { judgeConfiguration } from "./judge_configuration.ts";
import { judgeCrashes } from "./judge_crashes.ts";
import {
  createJudgeContext,
  type JudgeContext,
  type Violation,
} from "./judge_context.ts";
import { judgeDrain } from "./judge_drain.ts";
import { judgeEvacuations } from "./judge_evacuations.ts";
import { judgeLimits } from "./judge_limits.ts";
import { judgeLosses } from "./judge_losses.ts";
import { judgeOverlaps } from "./judge_overlaps.ts";
import { judgeVersions } from "./judge_versions.ts";
import type { Observations } from "./observations.ts";

/** Returns all broken rules. */
export function judge(observations: Observations): readonly Violation[] {
  const context = createJudgeContext(observations);
  const { hasWideLinks } = context;
  // Only leaves and evacuations are known in time whatever fills the links.
  const wideContext: JudgeContext = {
    ...context,
    isInTouch: (router, at) =>
      context.isInTouch(router, at) && hasWideLinks(at),
  };
  return [
    ...[judgeAnswers, judgeBudget, judgeDrain],
    () => judgeConfiguration(wideContext),
    ...[judgeCrashes, judgeEvacuations, judgeLimits, judgeVersions],
    ...[judgeLosses, judgeOverlaps],
  ].flatMap((judgePart) => judgePart(context));
}
