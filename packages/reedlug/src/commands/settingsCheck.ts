/** `reedlug settings check`: lists all faults of a settings file. */
import { Command, Option } from 'clipanion';
import { hashKey } from '../http/keys.js';
import { faultLines, readSettingsFile } from '../settings/settingsFile.js';

/** Checks a file. Exits with 0 if it is valid. */
export class SettingsCheckCommand extends Command {
  static override paths = [['settings', 'check']];
  static override usage = Command.Usage({
    description: 'Check a settings file and print every fault with its line',
    examples: [['Check a file', 'reedlug settings check examples/ankara.yaml']],
  });

  file = Option.String();

  override async execute(): Promise<number> {
    const result = await readSettingsFile(this.file);
    switch (result.kind) {
      case 'valid':
        this.context.stdout.write(`${this.file} is valid\n`);
        return 0;
      case 'unreadable':
        this.context.stderr.write(`${result.message}\n`);
        return 1;
      case 'invalid':
        for (const line of faultLines(this.file, result.faults)) {
          this.context.stderr.write(`${line}\n`);
        }
        return 1;
    }
  }
}

/** `reedlug settings hash-key`: the hash of a key, for the settings file. */
export class HashKeyCommand extends Command {
  static override paths = [['settings', 'hash-key']];
  static override usage = Command.Usage({
    description: 'Print the SHA-256 of a key read from standard input',
    examples: [['Hash a key', 'printf %s "$KEY" | reedlug settings hash-key']],
  });

  override async execute(): Promise<number> {
    const chunks: Buffer[] = [];
    for await (const chunk of this.context.stdin) chunks.push(chunk as Buffer);
    this.context.stdout.write(`${hashKey(Buffer.concat(chunks).toString('utf8').trim())}\n`);
    return 0;
  }
}
