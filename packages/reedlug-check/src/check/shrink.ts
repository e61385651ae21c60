/** Shrinks a plan to fewer faults, races and calls that cause the same violation. */
import type { Mutation } from 'reedlug-decisions';
import type { CheckPlan } from './checkPlan.js';
import { runPlan, type SeedResult } from './runSeed.js';

/** A shrunk plan with its result. */
export interface ShrunkPlan {
  plan: CheckPlan;
  result: SeedResult;
}

/** Maximum number of runs to shrink one plan. */
const MAX_RUNS = 150;

/** Removes faults, races and calls from a plan while it still causes the same violation. */
export function shrinkPlan(
  plan: CheckPlan,
  result: SeedResult,
  mutations: ReadonlySet<Mutation>,
): ShrunkPlan {
  const violationName = result.violation?.name;
  let best: ShrunkPlan = { plan, result };
  let runs = 0;
  const tryPlan = (candidate: CheckPlan): boolean => {
    if (runs >= MAX_RUNS) return false;
    runs += 1;
    const candidateResult = runPlan(candidate, mutations);
    if (candidateResult.violation?.name !== violationName) return false;
    best = { plan: candidate, result: candidateResult };
    return true;
  };
  for (const part of ['faults', 'races', 'calls'] as const) {
    shrinkPart(best.plan[part].length, (keep) => {
      const items = best.plan[part].filter((_, index) => keep(index));
      return tryPlan({ ...best.plan, [part]: items });
    });
  }
  return best;
}

/** Removes smaller and smaller ranges of items, as delta debugging does (A. Zeller). */
function shrinkPart(
  length: number,
  tryKeeping: (keep: (index: number) => boolean) => boolean,
): void {
  let remaining = length;
  for (let size = Math.ceil(remaining / 2); size >= 1; size = Math.floor(size / 2)) {
    for (let start = 0; start < remaining;) {
      const end = start + size;
      const shrunk = tryKeeping((index) => index < start || index >= end);
      if (shrunk) remaining -= Math.min(size, remaining - start);
      else start += size;
    }
  }
}
