/** `reedlug explain-limits`: whether refusals by limits were within them, from the logs of all boxes. */
import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { summarizeLimitRefusals, limitRefusals } from 'reedlug-gateway';
import { table } from './textTable.js';

const MS_PER_SECOND = 1000;

/** Prints a row for each workspace that was refused. */
export class ExplainLimitsCommand extends Command {
  static override paths = [['explain-limits']];
  static override usage = Command.Usage({
    description: 'Add up over all boxes what limits held when they refused requests',
    examples: [['The windows of the users', 'reedlug explain-limits boxes.log']],
  });

  logFile = Option.String();
  windowSeconds = Option.String('--window-seconds', '8', { description: 'Length of the window' });

  override async execute(): Promise<number> {
    const windowMs = Number(this.windowSeconds) * MS_PER_SECOND;
    if (!(windowMs > 0)) {
      this.context.stderr.write('--window-seconds must be a positive number\n');
      return 1;
    }
    const rows = summarizeLimitRefusals(
      limitRefusals(await readFile(this.logFile, 'utf8'), windowMs),
    );
    const header = ['workspace', 'refused', 'within the limit', 'after a start', 'used, median'];
    const cells = rows.map(({ workspace, refusals, within, withinAfterStart, medianUsedShare }) => {
      return [workspace, refusals, within, withinAfterStart, medianUsedShare.toFixed(2)];
    });
    this.context.stdout.write(`${table(header, cells).join('\n')}\n`);
    return 0;
  }
}
