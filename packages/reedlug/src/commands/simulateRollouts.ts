/** `reedlug simulate-rollouts`: simulates roll-outs generated from seeds. */
import { Command, Option } from 'clipanion';
import { generateRollout, readSceneFile, runScene, type SceneReport } from 'reedlug-simulator';
import { parseSeedRange } from './seedRange.js';

/** Results of the roll-outs of good or of bad versions. */
interface Tally {
  runs: number;
  completed: number;
  rolledBack: number;
  /** Roll-outs that ended after their planned duration or did not end. */
  late: number;
  broken: number;
}

/** Exits with 0 if no guarantee was violated. Roll-outs with a wrong end are only printed. */
export class SimulateRolloutsCommand extends Command {
  static override paths = [['simulate-rollouts']];
  static override usage = Command.Usage({
    description: 'Simulate roll-outs of good and bad versions, generated from seeds',
    examples: [
      ['Without faults', 'reedlug simulate-rollouts scenes/rollouts.yaml --seeds 1-100'],
      ['With faults', 'reedlug simulate-rollouts scenes/rollouts.yaml --seeds 1-100 --trouble'],
    ],
  });

  file = Option.String({ name: 'scene', required: true });
  seeds = Option.String('--seeds', '1-10', { description: 'One seed, or a range such as 1-100' });
  trouble = Option.Boolean('--trouble', false, {
    description: 'Inject a fault, generated from the seed, alongside each roll-out',
  });

  override async execute(): Promise<number> {
    const seeds = parseSeedRange(this.seeds);
    if (seeds === undefined) return this.fail('--seeds must be like 1-8');
    const read = readSceneFile(this.file);
    if (read.kind !== 'scene') {
      for (const { line, field, message } of read.faults) {
        this.fail(`${this.file}:${line} ${field} ${message}`);
      }
      return 1;
    }
    const good = createTally();
    const bad = createTally();
    for (let seed = seeds.first; seed <= seeds.last; seed += 1) {
      const generated = generateRollout(read.scene, seed, this.trouble);
      const report = await runScene(generated.scene, seed);
      this.count(generated.isBad ? bad : good, report, generated.label);
    }
    this.printTally('sound', good);
    this.printTally('bad', bad);
    return good.broken + bad.broken === 0 ? 0 : 1;
  }

  private count(tally: Tally, report: SceneReport, label: string): void {
    const [rollout] = report.rollouts;
    if (rollout === undefined) return;
    const { end, tookMs, durationMs, arrivals, trialArrivals, badAnswers } = rollout;
    tally.runs += 1;
    if (end === 'completed') tally.completed += 1;
    if (end === 'rolledBack') tally.rolledBack += 1;
    if (tookMs === undefined || tookMs > durationMs) tally.late += 1;
    if (report.broken.length > 0) tally.broken += 1;
    const took = tookMs === undefined ? '' : Math.round(tookMs);
    const figures = `end=${end} tookMs=${took} arrivals=${arrivals} trial=${trialArrivals} bad=${badAnswers}`;
    const broken = report.broken.map(({ promise, detail }) => `${promise}: ${detail}`).join('; ');
    this.context.stdout.write(`seed=${report.seed} ${label} ${figures} broken="${broken}"\n`);
  }

  private printTally(name: string, tally: Tally): void {
    const pairs = Object.entries(tally).map(([field, value]) => `${field}=${value}`);
    this.context.stdout.write(`${name}: ${pairs.join(' ')}\n`);
  }

  private fail(message: string): number {
    this.context.stderr.write(`${message}\n`);
    return 1;
  }
}

function createTally(): Tally {
  return { runs: 0, completed: 0, rolledBack: 0, late: 0, broken: 0 };
}
