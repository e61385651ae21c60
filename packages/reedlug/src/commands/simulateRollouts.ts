/** `reedlug simulate-rollouts`: roll-outs drawn by seed, and what came of them. */
import { Command, Option } from 'clipanion';
import { generateRollout, readSceneFile, runScene, type SceneReport } from 'reedlug-simulator';
import { parseSeedRange } from './seedRange.js';

/** What came of the roll-outs of one kind. */
interface Tally {
  runs: number;
  completed: number;
  rolledBack: number;
  /** Ended after their time, or not at all. */
  late: number;
  broken: number;
}

/** Exits 0 when no promise was broken; wrong ends are counted and told. */
export class SimulateRolloutsCommand extends Command {
  static override paths = [['simulate-rollouts']];
  static override usage = Command.Usage({
    description: 'Draw roll-outs of sound and bad versions by seed and simulate each',
    examples: [
      ['Without trouble', 'reedlug simulate-rollouts scenes/rollouts.yaml --seeds 1-100'],
      ['Beside faults', 'reedlug simulate-rollouts scenes/rollouts.yaml --seeds 1-100 --trouble'],
    ],
  });

  file = Option.String({ name: 'scene', required: true });
  seeds = Option.String('--seeds', '1-10', { description: 'One seed, or a range such as 1-100' });
  trouble = Option.Boolean('--trouble', false, { description: 'A drawn fault beside each' });

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
    const sound = createTally();
    const bad = createTally();
    for (let seed = seeds.first; seed <= seeds.last; seed += 1) {
      const drawn = generateRollout(read.scene, seed, this.trouble);
      const report = await runScene(drawn.scene, seed);
      this.count(drawn.isBad ? bad : sound, report, drawn.label);
    }
    this.printTally('sound', sound);
    this.printTally('bad', bad);
    return sound.broken + bad.broken === 0 ? 0 : 1;
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
