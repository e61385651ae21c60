/** `reedlug settings check-box`: checks the settings file of a gateway box. */
import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { validateGatewaySettings } from 'reedlug-gateway';

/** Prints every fault of the file, or that it is valid. */
export class BoxSettingsCheckCommand extends Command {
  static override paths = [['settings', 'check-box']];
  static override usage = Command.Usage({
    description: 'Check the settings file of a gateway box',
    examples: [['Check a file', 'reedlug settings check-box /etc/reedlug/box.yaml']],
  });

  file = Option.String();

  override async execute(): Promise<number> {
    const result = validateGatewaySettings(await readFile(this.file, 'utf8'));
    if (result.kind === 'valid') {
      this.context.stdout.write(`${this.file} is valid\n`);
      return 0;
    }
    for (const fault of result.faults) this.context.stderr.write(`${this.file}: ${fault}\n`);
    return 1;
  }
}
