/** A box in a process of its own, controlled by signals. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { COLLECT_SIGNAL, JOIN_SIGNAL, SEPARATE_SIGNAL } from './linkVariables.js';

const MAIN_PATH = fileURLToPath(new URL('./soakBox.js', import.meta.url));

/**
 * Box processes that are running. A soak that exits early kills them all, also those that SIGSTOP
 * has paused.
 */
const runningProcesses = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of runningProcesses) child.kill('SIGKILL');
});

/** A box whose process can be started repeatedly. */
export interface BoxProcess {
  start: () => void;
  signal: (
    name:
      | 'SIGTERM'
      | 'SIGKILL'
      | 'SIGSTOP'
      | 'SIGCONT'
      | typeof SEPARATE_SIGNAL
      | typeof JOIN_SIGNAL
      | typeof COLLECT_SIGNAL,
  ) => void;
  isRunning: () => boolean;
  /** Process id while it runs. */
  pid: () => number | undefined;
  /** Resolves once the process has exited. */
  ended: () => Promise<void>;
}

/**
 * Writes the settings file of a box and returns its process, which is not started yet and logs to
 * `logPath`.
 */
export function prepareBox(params: {
  settingsText: string;
  settingsPath: string;
  logPath: string;
  environment: Readonly<Record<string, string>>;
}): BoxProcess {
  const { settingsText, settingsPath, logPath, environment } = params;
  writeFileSync(settingsPath, settingsText);
  let child: ChildProcess | undefined;
  const isRunning = (): boolean =>
    child !== undefined && child.exitCode === null && child.signalCode === null;
  return {
    start() {
      if (isRunning()) return;
      const log = createWriteStream(logPath, { flags: 'a' });
      child = spawn(process.execPath, [MAIN_PATH], {
        env: { ...process.env, ...environment, REEDLUG_BOOT: settingsPath },
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
    pid: () => (isRunning() ? child?.pid : undefined),
    ended() {
      const current = child;
      if (current === undefined || !isRunning()) return Promise.resolve();
      return new Promise((resolve) => current.once('exit', () => resolve()));
    },
  };
}
