/** `reedlug explain`: the log lines of all boxes about one request, and its cause. */
import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { explainRequest } from 'reedlug-gateway';

/** Prints the log lines of a request in order, and the cause of its outcome. */
export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Explain a request from its id and the logs of the boxes',
    examples: [['Explain a refused request', 'reedlug explain boxes.log 84f6c39e3960ca1a']],
  });

  logFile = Option.String();
  requestId = Option.String();

  override async execute(): Promise<number> {
    const explanation = explainRequest(await readFile(this.logFile, 'utf8'), this.requestId);
    if (explanation === undefined) {
      this.context.stderr.write(
        `${this.logFile} has no lines of request ${this.requestId}; add the logs of the other boxes\n`,
      );
      return 1;
    }
    for (const { time, event, fields } of explanation.lines) {
      const others = [...fields].filter(([key]) => key !== 'time' && key !== 'event');
      const pairs = others.map(([key, value]) => `${key}=${value}`);
      this.context.stdout.write(`${time} ${event} ${pairs.join(' ')}\n`);
    }
    this.context.stdout.write(`cause: ${explanation.cause}\n`);
    return 0;
  }
}
