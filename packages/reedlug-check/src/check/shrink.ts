/** Shrinks a plan that breaks a promise: fewer faults, races and calls, the same violation. */
import type { Mutation } from 'reedlug-decisions';
import type { CheckPlan } from './checkPlan.js';
import { runPlan, type SeedResult } from './runSeed.js';

/** A shrunk plan with its result. */
export interface Shrunk {
  plan: CheckPlan;
  result: SeedResult;
}

/** Runs that shrinking may take. */
const MAX_RUNS = 150;

/** Takes parts out of a plan while it still breaks the same promise. */
export function shrinkPlan(
  plan: CheckPlan,
  result: SeedResult,
  mutations: ReadonlySet<Mutation>,
): Shrunk {
  const name = result.violation?.name;
  let best: Shrunk = { plan, result };
  let runs = 0;
  const tryPlan = (candidate: CheckPlan): boolean => {
    if (runs >= MAX_RUNS) return false;
    runs += 1;
    const tried = runPlan(candidate, mutations);
    if (tried.violation?.name !== name) return false;
    best = { plan: candidate, result: tried };
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

/** Takes out ever smaller runs of items, as delta debugging does (A. Zeller). */
function shrinkPart(
  length: number,
  tryWithout: (keep: (index: number) => boolean) => boolean,
): void {
  let left = length;
  for (let size = Math.ceil(left / 2); size >= 1; size = Math.floor(size / 2)) {
    for (let start = 0; start < left;) {
      const end = start + size;
      const shrunk = tryWithout((index) => index < start || index >= end);
      if (shrunk) left -= Math.min(size, left - start);
      else start += size;
    }
  }
}
