/** A server of plain requests: some places, a short queue, a time of work each. */

/** A request as the server gets it. */
export interface PlainRun {
  runId: number;
  workMs: number;
  onAnswered: () => void;
  /** Places and queue were full: it has not run. */
  onRejected: () => void;
}

/** One server's work; `schedule` runs an action after a time in ms. */
export interface PlainServer {
  submit: (run: PlainRun) => void;
  stop: (runId: number) => void;
  /** Requests that wait or run. */
  open: () => number;
}

/** Returns an idle server. */
export function createPlainServer(params: {
  slots: number;
  queue: number;
  schedule: (ms: number, run: () => void) => void;
}): PlainServer {
  const { slots, queue, schedule } = params;
  const waiting: PlainRun[] = [];
  const running = new Set<number>();

  const startNext = (): void => {
    while (running.size < slots) {
      const next = waiting.shift();
      if (next === undefined) return;
      running.add(next.runId);
      schedule(next.workMs, () => {
        if (!running.delete(next.runId)) return;
        next.onAnswered();
        startNext();
      });
    }
  };
  return {
    submit(run) {
      if (running.size >= slots && waiting.length >= queue) return run.onRejected();
      waiting.push(run);
      startNext();
    },
    stop(runId) {
      const index = waiting.findIndex((run) => run.runId === runId);
      if (index >= 0) waiting.splice(index, 1);
      if (running.delete(runId)) startNext();
    },
    open: () => waiting.length + running.size,
  };
}
