/** Callers that leave without an answer while boxes stand still, are starved, stopped and killed. */
import type { Random } from 'reedlug-standins';
import type { Fault, PlannedFault } from './fault.js';
import { createPlanRandom } from './faultPlan.js';
import { TOLERANCE_MS, type Violation } from './guaranteeBounds.js';
import type { SoakRecord } from './soakRecord.js';

/** Range of the time for which a caller that leaves waits, in ms. */
const MIN_PATIENCE_MS = 200;
const MAX_PATIENCE_MS = 900;
/** Time from which a server must get no request whose caller has left, in ms. */
const LATE_MS = 500;

/** Mean interval of the faults, the ranges of what they take, and the time at both ends of a run without any, in ms. */
const MEAN_FAULT_INTERVAL_MS = 1100;
const MIN_PAUSE_MS = 300;
const MAX_PAUSE_MS = 2500;
const MAX_BACK_AFTER_MS = 800;
const FAULT_FREE_MS = 1500;

/** Share of a core that boxes get in a run with too little. */
const STARVED_SHARE = 0.15;

/** Callers that leave. */
export interface LeaveLoad {
  /** Share of the callers that leave. */
  share: number;
}

/** Draws the share of a core that boxes get, which is too little in a third of the runs; undefined for all of it. */
export function drawProcessorShare(seed: number): number | undefined {
  return createPlanRandom(seed).chance(1 / 3) ? STARVED_SHARE : undefined;
}

/** Returns how long a caller waits that leaves, in ms. */
export function drawPatienceMs(random: Random): number {
  return random.whole(MIN_PATIENCE_MS, MAX_PATIENCE_MS);
}

/** Plans pauses, stops and kills of boxes; the same seed always gives the same ones. */
export function planLeavingFaults(params: {
  seed: number;
  lengthMs: number;
  boxes: number;
}): PlannedFault[] {
  const { seed, lengthMs, boxes } = params;
  const random = createPlanRandom(seed);
  const planned: PlannedFault[] = [];
  let atMs = FAULT_FREE_MS;
  while (atMs < lengthMs - MAX_PAUSE_MS - FAULT_FREE_MS) {
    planned.push({ atMs: Math.round(atMs), fault: drawFault(random, boxes) });
    atMs += random.exponential(MEAN_FAULT_INTERVAL_MS);
  }
  return planned;
}

function drawFault(random: Random, boxes: number): Fault {
  const box = random.whole(0, boxes - 1);
  const forMs = random.whole(MIN_PAUSE_MS, MAX_PAUSE_MS);
  const backAfterMs = random.whole(0, MAX_BACK_AFTER_MS);
  return random.pick<Fault>([
    { kind: 'pauseBox', box, forMs },
    { kind: 'pauseBox', box, forMs },
    { kind: 'stopBox', box, backAfterMs },
    { kind: 'killBox', box, backAfterMs },
    { kind: 'killAllBoxes', backAfterMs },
  ]);
}

/** Returns requests that reached a server long after their callers had left. */
export function checkLeavingCallers({ calls, runs }: SoakRecord): Violation[] {
  const leavingCalls = calls.filter(({ leftAtMs }) => leftAtMs !== undefined);
  const leftAtMs = new Map(leavingCalls.map((call) => [call.requestId, call.leftAtMs ?? 0]));
  return runs.flatMap(({ requestId, server, atMs }) => {
    const lateMs = atMs - (leftAtMs.get(requestId) ?? Number.POSITIVE_INFINITY);
    if (lateMs <= LATE_MS + TOLERANCE_MS) return [];
    const detail = `${requestId} reached ${server} ${Math.round(lateMs)} ms after its caller left`;
    return [{ promise: 'no work for callers that have left', detail }];
  });
}
