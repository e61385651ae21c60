/** Keeps what this box knows of streams and their versions up to date. */
import type { GatewayState, Step } from '../../state.js';
import { servedVersionsTick } from './servedVersions.js';
import { streamRowsTick } from './streamRows.js';
import { pruneStarts } from './streamStarts.js';
import { lookupsTick } from './takeUps.js';
import { versionsRowTick } from './versionsRow.js';

/** Interval between removals of streams that are over, in ms. */
const PRUNE_INTERVAL_MS = 1000;

/** Updates versions, streams, rows and look-ups. */
export function streamVersionsTick(state: GatewayState, step: Step): void {
  const { streamVersions } = state;
  servedVersionsTick(state, step);
  if (step.nowMs - streamVersions.prunedAtMs >= PRUNE_INTERVAL_MS) {
    streamVersions.prunedAtMs = step.nowMs;
    pruneStarts(state, step.nowMs);
  }
  versionsRowTick(state, step);
  streamRowsTick(state, step);
  lookupsTick(state, step);
}
