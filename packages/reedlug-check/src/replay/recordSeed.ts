/** Records the events of one box in a checked run as a trace. */
import { generatePlan, type FaultKind } from '../check/checkPlan.js';
import { runPlan } from '../check/runSeed.js';
import type { TraceHead } from './trace.js';

/** Runs a seed and returns the trace of one box as text. */
export function recordSeed(params: {
  seed: number;
  boxId: string;
  lengthMs: number;
  kinds: readonly FaultKind[];
}): string {
  const { seed, lengthMs, kinds, boxId } = params;
  const plan = generatePlan({ seed, lengthMs, faultCount: Math.round(lengthMs / 1200), kinds });
  const lines: string[] = [];
  runPlan(plan, new Set(), {
    onStart: (id, settings, stateSeed, startedAtMs) => {
      if (id !== boxId || lines.length > 0) return;
      const head: TraceHead = { kind: 'head', seed: stateSeed, startedAtMs, settings };
      lines.push(JSON.stringify(head));
    },
    onEvent: (id, event) => {
      if (id === boxId) lines.push(JSON.stringify(event));
    },
  });
  return `${lines.join('\n')}\n`;
}
