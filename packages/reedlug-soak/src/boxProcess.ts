/** A box as a process of its own, told what to do by signals. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const MAIN_PATH = fileURLToPath(import.meta.resolve('reedlug-platform/main'));

/** Processes of this run; a soak that is ended early takes them along, paused ones too. */
const runningProcesses = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of runningProcesses) child.kill('SIGKILL');
});

/** A box that can be started again and again. */
export interface BoxProcess {
  start: () => void;
  signal: (name: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT') => void;
  isRunning: () => boolean;
  /** Resolves once the process has ended. */
  ended: () => Promise<void>;
}

/** Prepares a box; its settings are written to a file, its logs go to another. */
export function prepareBox(params: {
  settingsText: string;
  settingsPath: string;
  logPath: string;
}): BoxProcess {
  const { settingsText, settingsPath, logPath } = params;
  writeFileSync(settingsPath, settingsText);
  let child: ChildProcess | undefined;
  const isRunning = (): boolean =>
    child !== undefined && child.exitCode === null && child.signalCode === null;
  return {
    start() {
      if (isRunning()) return;
      const log = createWriteStream(logPath, { flags: 'a' });
      child = spawn(process.execPath, [MAIN_PATH], {
        env: { ...process.env, REEDLUG_BOOT: settingsPath },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      const started = child;
      runningProcesses.add(started);
      started.once('exit', () => runningProcesses.delete(started));
      child.stdout?.pipe(log);
      child.stderr?.pipe(log);
    },
    signal(name) {
      if (isRunning()) child?.kill(name);
    },
    isRunning,
    ended() {
      const current = child;
      if (current === undefined || !isRunning()) return Promise.resolve();
      return new Promise((resolve) => current.once('exit', () => resolve()));
    },
  };
}
