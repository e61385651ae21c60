/** `reedlug version`. */
import { Command } from 'clipanion';

/** Version of this package. */
export const VERSION = '0.1.0';

/** Prints the version. */
export class VersionCommand extends Command {
  static override paths = [['version'], ['--version'], ['-v']];
  static override usage = Command.Usage({ description: 'Print the version' });

  override async execute(): Promise<number> {
    this.context.stdout.write(`${VERSION}\n`);
    return 0;
  }
}
