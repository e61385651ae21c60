/** Runs a plan of faults for each seed of a range and totals the results. */
import type { Mutation } from 'reedlug-decisions';
import { generatePlan, FaultKind } from './checkPlan.js';
import { runPlan, type SeedResult } from './runSeed.js';
import { shrinkPlan, type ShrunkPlan } from './shrink.js';

/** Options of a check. */
export interface CheckOptions {
  firstSeed: number;
  lastSeed: number;
  /** Minimum number of events in a run; the length of each run is derived from it. */
  minEvents: number;
  kinds: readonly FaultKind[];
  mutations: ReadonlySet<Mutation>;
  /** Stops at the first violation without shrinking its plan, as the tests of the checker need. */
  stopAtFirst: boolean;
  onSeed?: (result: SeedResult) => void;
}

/** Totals over all seeds of a check. */
export interface CheckSummary {
  seeds: number;
  events: number;
  faults: number;
  violations: ShrunkPlan[];
  faultCounts: Partial<Record<FaultKind, number>>;
  outcomes: Record<string, number>;
  confirmed: number;
  conflicts: number;
}

/** Every kind of fault. */
export const ALL_FAULTS: readonly FaultKind[] = Object.values(FaultKind);

/** Minimum number of events that a run is taken to have in each second. */
const MIN_EVENTS_PER_SECOND = 200;
const FAULTS_PER_SECOND = 0.8;

/**
 * Generates and runs the plan of each seed. Shrinks the plans that violate a guarantee, unless
 * the check stops at the first.
 */
export function runCheck(options: CheckOptions): CheckSummary {
  const summary: CheckSummary = {
    seeds: 0,
    events: 0,
    faults: 0,
    violations: [],
    faultCounts: {},
    outcomes: {},
    confirmed: 0,
    conflicts: 0,
  };
  const lengthMs = Math.max(6000, (options.minEvents / MIN_EVENTS_PER_SECOND) * 1000);
  const faultCount = Math.round((lengthMs / 1000) * FAULTS_PER_SECOND);
  for (let seed = options.firstSeed; seed <= options.lastSeed; seed += 1) {
    const plan = generatePlan({ seed, lengthMs, faultCount, kinds: options.kinds });
    const result = runPlan(plan, options.mutations);
    addResult(summary, result);
    options.onSeed?.(result);
    if (result.violation === undefined) continue;
    if (options.stopAtFirst) {
      summary.violations.push({ plan, result });
      break;
    }
    summary.violations.push(shrinkPlan(plan, result, options.mutations));
  }
  return summary;
}

function addResult(summary: CheckSummary, result: SeedResult): void {
  summary.seeds += 1;
  summary.events += result.events;
  summary.faults += result.faults;
  summary.confirmed += result.confirmed;
  summary.conflicts += result.conflicts;
  addCounts(summary.faultCounts, result.faultCounts);
  addCounts(summary.outcomes, result.outcomes);
}

function addCounts(
  sums: Partial<Record<string, number>>,
  counts: Partial<Record<string, number>>,
): void {
  for (const [key, count] of Object.entries(counts)) sums[key] = (sums[key] ?? 0) + (count ?? 0);
}
