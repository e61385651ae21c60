/** `reedlug replay`: replays a recorded trace and compares it with expected outcomes. */
import { createHash } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { differences, parseTrace, replayTrace, type Expectation } from 'reedlug-check';
import { parse } from 'yaml';

/** Exits with 0 if the replayed trace has the expected outcomes. */
export class ReplayCommand extends Command {
  static override paths = [['replay']];
  static override usage = Command.Usage({
    description: 'Replay a recorded trace and compare it with expected outcomes',
    examples: [
      ['Replay a trace', 'reedlug replay traces/zone-reclaimed.trace'],
      [
        'Compare it with its expected outcomes',
        'reedlug replay traces/zone-reclaimed.trace --expect traces/zone-reclaimed.yaml',
      ],
    ],
  });

  trace = Option.String();
  expect = Option.String('--expect', { description: 'File with the expected outcomes, in YAML' });
  outcomes = Option.Boolean('--outcomes', false, { description: 'Print every outcome as YAML' });

  override async execute(): Promise<number> {
    const parsed = parseTrace(await readFile(this.trace, 'utf8'));
    if (parsed.kind === 'invalid') {
      this.context.stderr.write(`${this.trace}: ${parsed.fault}\n`);
      return 1;
    }
    const result = replayTrace(parsed.trace, sha256);
    const { events, effects, effectsDigest, outcomes } = result;
    const requests = Object.keys(outcomes).length;
    this.context.stdout.write(
      `events=${events} effects=${effects} requests=${requests} digest=${effectsDigest}\n`,
    );
    if (this.outcomes) this.context.stdout.write(`${JSON.stringify(outcomes, undefined, 1)}\n`);
    const expected = await this.readExpectation();
    const faults = differences(result, expected);
    for (const fault of faults) this.context.stdout.write(`${fault}\n`);
    return faults.length === 0 ? 0 : 1;
  }

  private async readExpectation(): Promise<Expectation> {
    if (this.expect === undefined) return { effectsDigest: undefined, outcomes: {} };
    return parse(await readFile(this.expect, 'utf8')) as Expectation;
  }
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
