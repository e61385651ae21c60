/** The command line of reedlug. */
import { Builtins, Cli } from 'clipanion';
import { BoxSettingsCheckCommand } from './commands/boxSettingsCheck.js';
import { CheckCommand } from './commands/check.js';
import { DevCommand } from './commands/dev.js';
import { EntryCommand } from './commands/entry.js';
import { ExplainCommand } from './commands/explain.js';
import { ExplainLimitsCommand } from './commands/explainLimits.js';
import { MeasureCommand } from './commands/measure.js';
import { ConfirmCommand, PlanCommand, PlansCommand, UndoCommand } from './commands/plan.js';
import { ReplayCommand } from './commands/replay.js';
import { HashKeyCommand, SettingsCheckCommand } from './commands/settingsCheck.js';
import { SimulateCommand } from './commands/simulate.js';
import { SimulateRolloutsCommand } from './commands/simulateRollouts.js';
import { SoakCommand } from './commands/soak.js';
import { HistogramsCommand, StatusCommand } from './commands/status.js';
import { VERSION, VersionCommand } from './commands/version.js';

/** Runs the command line. Resolves with the exit code. */
export function runCli(args: readonly string[]): Promise<number> {
  const cli = new Cli({ binaryLabel: 'reedlug', binaryName: 'reedlug', binaryVersion: VERSION });
  const commands = [
    Builtins.HelpCommand,
    BoxSettingsCheckCommand,
    CheckCommand,
    DevCommand,
    EntryCommand,
    ExplainCommand,
    ExplainLimitsCommand,
    HashKeyCommand,
    HistogramsCommand,
    MeasureCommand,
    PlanCommand,
    PlansCommand,
    ConfirmCommand,
    UndoCommand,
    ReplayCommand,
    SettingsCheckCommand,
    SimulateCommand,
    SimulateRolloutsCommand,
    SoakCommand,
    StatusCommand,
    VersionCommand,
  ];
  for (const command of commands) cli.register(command);
  return cli.run([...args], Cli.defaultContext);
}
