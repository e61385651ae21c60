/** `reedlug dev`: entry boxes and stand-in servers in one process. */
import { Command } from 'clipanion';
import { startDevCluster } from '../dev/devCluster.js';
import { createLogger } from 'reedlug-gateway';
import { SettingsCommand } from './settingsCommand.js';

/** Runs until it is interrupted. */
export class DevCommand extends SettingsCommand {
  static override paths = [['dev']];
  static override usage = Command.Usage({
    description: 'Run the entry boxes of a settings file with stand-ins for servers and platform',
    examples: [['Run the Bangkok example', 'reedlug dev --settings examples/bangkok.yaml']],
  });

  override async execute(): Promise<number> {
    const settings = await this.loadSettings();
    if (settings === undefined) return 1;
    const logger = createLogger({}, (line) => void this.context.stdout.write(`${line}\n`));
    const cluster = await startDevCluster(settings, logger);
    for (const box of cluster.boxes) {
      logger('ready', {
        box: box.id,
        zone: box.zone,
        entry: box.address,
        key: cluster.key,
        operatorKey: cluster.operatorKey,
        faults: cluster.faultsAddress,
      });
    }
    await new Promise<void>((resolve) => {
      process.once('SIGINT', resolve);
      process.once('SIGTERM', resolve);
    });
    await cluster.close();
    return 0;
  }
}
