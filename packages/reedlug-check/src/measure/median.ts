/** Medians of measurements over seeds. */
import type { Measurement } from './measure.js';
import type { PolicyVariant } from './policyVariants.js';
import type { ScenarioName } from './scenario.js';

/** Medians over the seeds of one scenario and policy. */
export interface MedianRow {
  scenario: ScenarioName;
  policy: PolicyVariant;
  seeds: number;
  costPerThousand: number;
  recomputedTokens: number;
  recomputedShare: number;
  urgentFirstP95Ms: number;
  patientFirstP95Ms: number;
  lookUpP95Ms: number;
  urgentMissShare: number;
  refusedUrgent: number;
  refusedPatient: number;
  /** Sum over all seeds, since a median would hide a single lost request. */
  lost: number;
  busiestOverLeast: number;
}

/** Returns the median of values; 0 for no values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? 0;
  if (sorted.length % 2 === 1) return upper;
  return (upper + (sorted[middle - 1] ?? 0)) / 2;
}

/** Returns one row for each scenario and policy, in the order in which they first appear. */
export function medianRows(results: readonly Measurement[]): MedianRow[] {
  const groups = new Map<string, Measurement[]>();
  for (const result of results) {
    const key = `${result.scenario} ${result.policy}`;
    groups.set(key, [...(groups.get(key) ?? []), result]);
  }
  return [...groups.values()].flatMap((group) => rowOf(group));
}

function rowOf(group: readonly Measurement[]): MedianRow[] {
  const [first] = group;
  if (first === undefined) return [];
  const medianOf = (value: (result: Measurement) => number): number => median(group.map(value));
  return [
    {
      scenario: first.scenario,
      policy: first.policy,
      seeds: group.length,
      costPerThousand: medianOf((result) => result.costPerThousandWithinTarget),
      recomputedTokens: medianOf((result) => result.recomputedTokens),
      recomputedShare: medianOf((result) => result.recomputedShare),
      urgentFirstP95Ms: medianOf((result) => result.firstToken.urgent.p95Ms),
      patientFirstP95Ms: medianOf((result) => result.firstToken.patient.p95Ms),
      lookUpP95Ms: medianOf((result) => result.whole.lookUp.p95Ms),
      urgentMissShare: medianOf((result) => result.urgentMissShare),
      refusedUrgent: medianOf((result) => result.refused.urgent),
      refusedPatient: medianOf((result) => result.refused.patient),
      lost: group.reduce((sum, { lost }) => sum + lost.urgent + lost.patient, 0),
      busiestOverLeast: medianOf((result) => result.busiestOverLeast),
    },
  ];
}
