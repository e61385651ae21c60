/** Gives processes a share of a processor core: each is stopped for the rest of each period. */
import { readFileSync } from 'node:fs';
import { setTimeout as delay } from 'node:timers/promises';

/** A process that is stopped and goes on by signals. */
export interface LimitedProcess {
  signal: (name: 'SIGSTOP' | 'SIGCONT') => void;
  /** Process id while it runs. */
  pid: () => number | undefined;
}

/** Period in which the share is given, in ms, unless another is named. */
const PERIOD_MS = 50;
/** Number of slots that a process may be ahead of or behind its share, when timers are late or cores are busy. */
const MAX_SLOTS_AHEAD = 4;

/** Limits processes until the returned function is called; they run in turn, so that they do not compete. */
export function limitProcessor(
  processes: readonly LimitedProcess[],
  share: number,
  periodMs = PERIOD_MS,
): () => void {
  let isLimited = true;
  const slotMs = periodMs * share;
  const bounded = (owedMs: number): number =>
    Math.max(-MAX_SLOTS_AHEAD * slotMs, Math.min(MAX_SLOTS_AHEAD * slotMs, owedMs));
  for (const [index, process] of processes.entries()) {
    void (async () => {
      await delay((index * periodMs) / processes.length);
      let owedMs = 0;
      let lastStartMs = performance.now() - periodMs;
      while (isLimited) {
        const startMs = performance.now();
        owedMs = bounded(owedMs + (startMs - lastStartMs) * share);
        lastStartMs = startMs;
        if (owedMs > 0) {
          owedMs = bounded(owedMs - (await runFor(process, Math.min(owedMs, periodMs))));
        }
        if (isLimited) process.signal('SIGSTOP');
        await delay(Math.max(0, startMs + periodMs - performance.now()));
      }
      process.signal('SIGCONT');
    })();
  }
  return () => {
    isLimited = false;
  };
}

/** Lets a process run for a time and returns how long it ran, without the time that it waited for a core, in ms. */
async function runFor(process: LimitedProcess, runMs: number): Promise<number> {
  const startMs = performance.now();
  const waitedBeforeMs = waitedForCoreMs(process);
  process.signal('SIGCONT');
  await delay(runMs);
  return performance.now() - startMs - (waitedForCoreMs(process) - waitedBeforeMs);
}

/** Returns how long the main thread of a process has been ready to run without a core, in ms. */
function waitedForCoreMs(process: LimitedProcess): number {
  const pid = process.pid();
  if (pid === undefined) return 0;
  try {
    const [, waitedNs] = readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ');
    return Number(waitedNs) / 1e6;
  } catch {
    // The process has ended, or the system does not count the time.
    return 0;
  }
}
