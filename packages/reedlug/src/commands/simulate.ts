/** `reedlug simulate`: simulates a whole fleet in one process under virtual time. */
import { readFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import {
  generateExceptions,
  generateStoreRestores,
  generateUnheardLeaves,
  generateCrashFaults,
  generatePartFaults,
  generateLimitFaults,
  generateServerLimits,
  generateServerStatements,
  generateSoftwareVersions,
  generateVersionLosses,
  readSceneFile,
  runScene,
  type Scene,
  type SceneReport,
} from 'reedlug-simulator';
import { parseSeedRange } from './seedRange.js';
import { comparisonLines, reportLines } from './simulateReport.js';

/** Exits with 0 if no guarantee was violated. */
export class SimulateCommand extends Command {
  static override paths = [['simulate']];
  static override usage = Command.Usage({
    description: 'Run a scene: boxes, servers, store, callers and faults under virtual time',
    details:
      'The boxes run the same decision code as in production; a seed always gives the same run.',
    examples: [
      ['A quiet day of a large fleet', 'reedlug simulate scenes/large.yaml'],
      [
        'Three seeds against an earlier run',
        'reedlug simulate scenes/large.yaml --seeds 1-3 --compare before.json',
      ],
    ],
  });

  file = Option.String({ name: 'scene', required: true });
  seeds = Option.String('--seeds', '1', { description: 'One seed, or a range such as 1-8' });
  json = Option.Boolean('--json', false, { description: 'Print the reports as one JSON list' });
  compare = Option.String('--compare', {
    description: 'Output file of an earlier run with --json, to print both side by side',
  });
  draw = Option.Boolean('--draw', false, {
    description:
      'Generate faults from each seed: a workspace over its limit, with other faults alongside',
  });
  drawCrashes = Option.Boolean('--draw-crashes', false, {
    description:
      'Generate faults from each seed: requests that crash servers, repeated bodies, crashes',
  });
  drawParts = Option.Boolean('--draw-parts', false, {
    description:
      'Generate faults from each seed: parts of prompts that crash servers, with other faults alongside',
  });
  drawServerLimits = Option.Boolean('--draw-server-limits', false, {
    description:
      'Generate faults from each seed: servers that state limits, with other faults alongside',
  });
  drawStatements = Option.Boolean('--draw-statements', false, {
    description:
      'Generate faults from each seed: servers that drain, pause or refuse, with other faults alongside',
  });
  drawCopies = Option.Boolean('--draw-copies', false, {
    description:
      'Generate faults from each seed: the store restored from backups, with other faults alongside',
  });
  drawVersions = Option.Boolean('--draw-versions', false, {
    description:
      'Generate faults from each seed: servers of several software versions, streams that are taken up',
  });
  drawVersionLosses = Option.Boolean('--draw-version-losses', false, {
    description:
      'Generate faults from each seed: all boxes are lost in series while software versions change',
  });
  drawUnheardLeaves = Option.Boolean('--draw-unheard-leaves', false, {
    description:
      'Generate faults from each seed: servers leave by the registry while boxes lose its answers',
  });
  drawExceptions = Option.Boolean('--draw-exceptions', false, {
    description:
      'Generate faults from each seed: exceptions at random places of the reducer, with other faults alongside',
  });
  logs = Option.String('--log', { description: 'Log events to print, comma-separated, or all' });

  override async execute(): Promise<number> {
    const seeds = parseSeedRange(this.seeds);
    if (seeds === undefined) return this.fail('--seeds must be like 1-8');
    const scene = this.readScene();
    if (scene === undefined) return 1;
    const reports: SceneReport[] = [];
    for (let seed = seeds.first; seed <= seeds.last; seed += 1) {
      reports.push(
        await runScene(this.withGeneratedFaults(scene, seed), seed, (line) => this.printLog(line)),
      );
    }
    this.context.stdout.write(`${this.linesOf(reports).join('\n')}\n`);
    return reports.every(({ broken }) => broken.length === 0) ? 0 : 1;
  }

  private withGeneratedFaults(scene: Scene, seed: number): Scene {
    if (this.draw) return generateLimitFaults(scene, seed);
    if (this.drawExceptions) return generateExceptions(scene, seed);
    if (this.drawUnheardLeaves) return generateUnheardLeaves(scene, seed);
    if (this.drawCopies) return generateStoreRestores(scene, seed);
    if (this.drawVersionLosses) return generateVersionLosses(scene, seed);
    if (this.drawVersions) return generateSoftwareVersions(scene, seed);
    if (this.drawStatements) return generateServerStatements(scene, seed);
    if (this.drawServerLimits) return generateServerLimits(scene, seed);
    if (this.drawParts) return generatePartFaults(scene, seed);
    return this.drawCrashes ? generateCrashFaults(scene, seed) : scene;
  }

  private linesOf(reports: readonly SceneReport[]): string[] {
    if (this.json) return [JSON.stringify(reports)];
    if (this.compare === undefined) return reportLines(reports);
    const before = JSON.parse(readFileSync(this.compare, 'utf8')) as SceneReport[];
    return comparisonLines(before, reports);
  }

  private readScene(): Scene | undefined {
    const read = readSceneFile(this.file);
    if (read.kind === 'scene') return read.scene;
    for (const { line, field, message } of read.faults) {
      this.fail(`${this.file}:${line} ${field} ${message}`);
    }
    return undefined;
  }

  private printLog(line: {
    atS: number;
    boxId: string;
    event: string;
    fields: Readonly<Record<string, unknown>>;
  }): void {
    const wanted = this.logs?.split(',');
    if (wanted === undefined || !(wanted.includes('all') || wanted.includes(line.event))) return;
    const pairs = Object.entries(line.fields).map(([name, value]) => `${name}=${String(value)}`);
    const head = `${line.atS.toFixed(3)} ${line.boxId} event=${line.event}`;
    this.context.stderr.write(`${head} ${pairs.join(' ')}\n`);
  }

  private fail(message: string): number {
    this.context.stderr.write(`${message}\n`);
    return 1;
  }
}
