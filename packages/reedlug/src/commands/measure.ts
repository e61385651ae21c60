/** `reedlug measure`: measures policies in scenarios under virtual time. */
import { Command, Option } from 'clipanion';
import {
  measure,
  medianRows,
  PolicyVariant,
  ScenarioName,
  type ServerProfile,
  type Measurement,
} from 'reedlug-check';
import { toDecisionSettings } from '../settings/decisionSettings.js';
import type { Settings } from '../settings/settingsTypes.js';
import { parseSeedRange } from './seedRange.js';
import { SettingsCommand } from './settingsCommand.js';
import { formatTable } from './textTable.js';

/** Prints the measurements. A seed gives the same figures on every machine. */
export class MeasureCommand extends SettingsCommand {
  static override paths = [['measure']];
  static override usage = Command.Usage({
    description: 'Measure routing, admission and placement in a scenario under virtual time',
    examples: [
      [
        'One zone reclaimed at the peak, against every baseline',
        'reedlug measure --settings examples/bangkok.yaml --scenario zoneReclaimed --seed 1 --policy all',
      ],
    ],
  });

  scenario = Option.String('--scenario', ScenarioName.ordinaryDay, {
    description: `One of ${Object.values(ScenarioName).join(', ')}, or all`,
  });
  seed = Option.String('--seed', '1', {
    description: 'One seed, or a range such as 101-120 to print medians over its seeds',
  });
  policy = Option.String('--policy', PolicyVariant.reedlug, {
    description: `One of ${Object.values(PolicyVariant).join(', ')}, or all`,
  });
  withoutDrafts = Option.Boolean('--without-drafts', false, { description: 'Urgent calls only' });
  json = Option.Boolean('--json', false, { description: 'Print one line of JSON for each run' });

  override async execute(): Promise<number> {
    const settings = await this.loadSettings();
    if (settings === undefined) return 1;
    const scenarios = parseNames(this.scenario, Object.values(ScenarioName));
    const policies = parseNames(this.policy, Object.values(PolicyVariant));
    const seeds = parseSeedRange(this.seed);
    if (scenarios === undefined || policies === undefined || seeds === undefined) {
      this.context.stderr.write('see reedlug measure --help for scenarios, policies and seeds\n');
      return 1;
    }
    const results: Measurement[] = [];
    for (const scenario of scenarios) {
      for (const policy of policies) {
        for (let seed = seeds.first; seed <= seeds.last; seed += 1) {
          const result = measure({
            settings: toDecisionSettings(settings, { id: '', zone: '' }, 0),
            engines: engineFigures(settings),
            scenario,
            policy,
            seed,
            withoutDrafts: this.withoutDrafts,
          });
          results.push(result);
          if (this.json) this.context.stdout.write(`${JSON.stringify(result)}\n`);
        }
      }
    }
    if (this.json) return 0;
    const lines = seeds.first === seeds.last ? resultLines(results) : medianLines(results);
    this.context.stdout.write(`${lines.join('\n')}\n`);
    return 0;
  }
}

function parseNames<T extends string>(
  wanted: string,
  known: readonly T[],
): readonly T[] | undefined {
  if (wanted === 'all') return known;
  const names = wanted.split(',');
  return names.every((name) => known.includes(name as T)) ? (names as T[]) : undefined;
}

function engineFigures({ standins }: Settings): ServerProfile {
  const { kvCapacityTokens, prefillTokensPerMs, interTokenMs, crowding, serviceAnswerMs } =
    standins;
  return { kvCapacityTokens, prefillTokensPerMs, interTokenMs, crowding, serviceAnswerMs };
}

function medianLines(results: readonly Measurement[]): string[] {
  const header = [
    'SCENARIO',
    'POLICY',
    'SEEDS',
    'COST/1000',
    'RECOMPUTED',
    'SHARE',
    'URGENT FIRST P95',
    'PATIENT FIRST P95',
    'LOOK-UP P95',
    'URGENT MISS',
    'REFUSED U/P',
    'LOST',
    'BUSIEST/LEAST',
  ];
  const rows = medianRows(results).map((row) => [
    row.scenario,
    row.policy,
    row.seeds,
    row.costPerThousand.toFixed(3),
    Math.round(row.recomputedTokens),
    `${(row.recomputedShare * 100).toFixed(1)}%`,
    Math.round(row.urgentFirstP95Ms),
    Math.round(row.patientFirstP95Ms),
    row.lookUpP95Ms,
    `${(row.urgentMissShare * 100).toFixed(2)}%`,
    `${row.refusedUrgent}/${row.refusedPatient}`,
    row.lost,
    row.busiestOverLeast,
  ]);
  return formatTable(header, rows);
}

function resultLines(results: readonly Measurement[]): string[] {
  const header = [
    'SCENARIO',
    'POLICY',
    'SEED',
    'COST/1000',
    'RECOMPUTED',
    'SHARE',
    'URGENT FIRST P50/P95/P99',
    'PATIENT FIRST P50/P95/P99',
    'LOOK-UP P95',
    'URGENT MISS',
    'REFUSED U/P',
    'LOST U/P',
    'BUSIEST/LEAST',
  ];
  return formatTable(header, results.map(resultRow));
}

function resultRow(result: Measurement): (string | number)[] {
  const { urgent, patient } = result.firstToken;
  return [
    result.scenario,
    result.policy,
    result.seed,
    result.costPerThousandWithinTarget.toFixed(3),
    Math.round(result.recomputedTokens),
    `${(result.recomputedShare * 100).toFixed(1)}%`,
    `${Math.round(urgent.p50Ms)}/${Math.round(urgent.p95Ms)}/${Math.round(urgent.p99Ms)}`,
    `${Math.round(patient.p50Ms)}/${Math.round(patient.p95Ms)}/${Math.round(patient.p99Ms)}`,
    result.whole.lookUp.p95Ms,
    `${(result.urgentMissShare * 100).toFixed(2)}%`,
    `${result.refused.urgent}/${result.refused.patient}`,
    `${result.lost.urgent}/${result.lost.patient}`,
    result.busiestOverLeast,
  ];
}
