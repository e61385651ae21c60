/** `reedlug check`: randomised runs of the real reducers that assert every guarantee. */
import { writeFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import {
  ALL_FAULTS,
  runCheck,
  type CheckSummary,
  type FaultKind,
  type ShrunkPlan,
} from 'reedlug-check';
import { parseSeedRange } from './seedRange.js';

/** Exits with 0 if no guarantee was violated. */
export class CheckCommand extends Command {
  static override paths = [['check']];
  static override usage = Command.Usage({
    description: 'Check every guarantee in randomised runs with faults under virtual time',
    details:
      'On a violation, the shrunk plan and the last events are written to violation-SEED.json.',
    examples: [
      ['The long run', 'reedlug check --seeds 1-500'],
      ['Reclaims only', 'reedlug check --seeds 1-50 --faults reclaimZone,reclaimServer'],
    ],
  });

  seeds = Option.String('--seeds', '1-100', { description: 'One seed, or a range such as 1-500' });
  events = Option.String('--events', '2000', { description: 'Minimum number of events in a run' });
  faults = Option.String('--faults', {
    description: `Faults to inject, comma-separated, of ${ALL_FAULTS.join(', ')}`,
  });
  out = Option.String('--out', '.', { description: 'Folder for the traces of violations' });

  override async execute(): Promise<number> {
    const faults: string[] = [];
    const seeds = parseSeedRange(this.seeds);
    if (seeds === undefined) faults.push(`--seeds must be like 1-500, not ${this.seeds}`);
    const minEvents = Number(this.events);
    if (!Number.isInteger(minEvents) || minEvents < 1) faults.push('--events must be 1 or more');
    const kinds = this.faults === undefined ? ALL_FAULTS : this.faults.split(',');
    const unknownKinds = kinds.filter((kind) => !ALL_FAULTS.includes(kind as FaultKind));
    if (unknownKinds.length > 0) {
      faults.push(
        `--faults has unknown kinds ${unknownKinds.join(', ')}; known: ${ALL_FAULTS.join(', ')}`,
      );
    }
    if (seeds === undefined || faults.length > 0) {
      this.context.stderr.write(`${faults.join('\n')}\n`);
      return 1;
    }
    const summary = runCheck({
      firstSeed: seeds.first,
      lastSeed: seeds.last,
      minEvents,
      kinds: kinds as FaultKind[],
      mutations: new Set(),
      stopAtFirst: false,
    });
    for (const line of summaryLines(summary)) this.context.stdout.write(`${line}\n`);
    for (const violation of summary.violations) await this.report(violation);
    return summary.violations.length === 0 ? 0 : 1;
  }

  private async report({ plan, result }: ShrunkPlan): Promise<void> {
    const path = `${this.out}/violation-${result.seed}.json`;
    await writeFile(path, JSON.stringify({ plan, result }, undefined, 2));
    const { name, detail } = result.violation ?? { name: '', detail: '' };
    this.context.stdout.write(
      `violation seed=${result.seed} name=${name} trace=${path}\n${detail}\n`,
    );
  }
}

function summaryLines(summary: CheckSummary): string[] {
  const { seeds, events, faults, violations, confirmed, conflicts } = summary;
  const counts = Object.entries(summary.faultCounts)
    .sort(([a], [b]) => a.localeCompare(b))
    .map(([kind, count]) => `${kind}=${count}`);
  const outcomes = Object.entries(summary.outcomes).map(([name, count]) => `${name}=${count}`);
  return [
    `seeds=${seeds} events=${events} faults=${faults} violations=${violations.length}`,
    `coverage ${counts.join(' ')}`,
    `outcomes ${outcomes.join(' ')}`,
    `plans confirmed=${confirmed} conflicts=${conflicts}`,
  ];
}
