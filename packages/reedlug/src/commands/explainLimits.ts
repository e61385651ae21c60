/** `reedlug explain-limits`: whether limits were used up when they refused requests. */
import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { summarizeLimitRefusals, limitRefusals } from 'reedlug-gateway';
import { formatTable } from './textTable.js';

const MS_PER_SECOND = 1000;

/** Prints a row for each workspace that had refused requests, from the logs of all boxes. */
export class ExplainLimitsCommand extends Command {
  static override paths = [['explain-limits']];
  static override usage = Command.Usage({
    description:
      'Show from the logs of all boxes how much of a limit was used when it refused requests',
    examples: [['With the default window', 'reedlug explain-limits boxes.log']],
  });

  logFile = Option.String();
  windowSeconds = Option.String('--window-seconds', '8', {
    description: 'Length of the limit window in seconds',
  });

  override async execute(): Promise<number> {
    const windowMs = Number(this.windowSeconds) * MS_PER_SECOND;
    if (!(windowMs > 0)) {
      this.context.stderr.write('--window-seconds must be a positive number\n');
      return 1;
    }
    const rows = summarizeLimitRefusals(
      limitRefusals(await readFile(this.logFile, 'utf8'), windowMs),
    );
    const hasReserved = rows.some(({ reserved = 0 }) => reserved > 0);
    const header = ['workspace', 'refused', 'within the limit', 'after a start', 'used, median'];
    if (hasReserved) header.push('reserved');
    const cells = rows.map((row) => {
      const { workspace, refusals, within, withinAfterStart, medianUsedShare, reserved = 0 } = row;
      const cell = [workspace, refusals, within, withinAfterStart, medianUsedShare.toFixed(2)];
      return hasReserved ? [...cell, reserved] : cell;
    });
    this.context.stdout.write(`${formatTable(header, cells).join('\n')}\n`);
    return 0;
  }
}
