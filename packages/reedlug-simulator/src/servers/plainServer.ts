/** A server of plain requests: a number of slots, a short queue, and a working time per request. */

/** A request as the server receives it. */
export interface PlainRun {
  runId: number;
  workMs: number;
  onAnswered: () => void;
  /** Called when slots and queue are full; the request has not run. */
  onRejected: () => void;
}

/** A simulated server of plain requests. */
export interface PlainServer {
  submit: (run: PlainRun) => void;
  stop: (runId: number) => void;
  /** Returns the number of requests that wait or run. */
  open: () => number;
  /** Returns the number of requests that wait. */
  waiting: () => number;
  /** Whether all slots are in use. */
  isFull: () => boolean;
}

/** Returns an idle server. `schedule` runs an action after a time in ms. */
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
    waiting: () => waiting.length,
    isFull: () => running.size >= slots,
  };
}
