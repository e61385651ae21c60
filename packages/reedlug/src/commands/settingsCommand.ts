/** Base class of the commands that read a settings file. */
import { Command, Option } from 'clipanion';
import type { Settings } from '../settings/settingsTypes.js';
import { faultLines, readSettingsFile } from '../settings/settingsFile.js';

/** A command with the option `--settings`. */
export abstract class SettingsCommand extends Command {
  settingsPath = Option.String('--settings', {
    required: true,
    description: 'The YAML settings file',
  });

  /** Returns the validated settings. Prints the faults and returns undefined if there are any. */
  protected async loadSettings(): Promise<Settings | undefined> {
    const result = await readSettingsFile(this.settingsPath);
    switch (result.kind) {
      case 'valid':
        return result.settings;
      case 'unreadable':
        this.context.stderr.write(`${result.message}\n`);
        return undefined;
      case 'invalid':
        for (const line of faultLines(this.settingsPath, result.faults)) {
          this.context.stderr.write(`${line}\n`);
        }
        return undefined;
    }
  }
}
