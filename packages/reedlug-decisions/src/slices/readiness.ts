/**
 * Readiness of a box: it has heard some source of the configuration and is not
 * below the highest revision that a reachable peer has told.
 */
import type { BoxState } from '../state.js';

/** True when the box may take requests. */
export function isReady(state: BoxState): boolean {
  if (state.draining !== undefined) return false;
  if (!state.configSourceSeen) return false;
  return state.config.revision >= state.config.highestHeard || hasBeenReady(state);
}

/** Once caught up, a box goes on serving while it fetches the newest revisions. */
function hasBeenReady(state: BoxState): boolean {
  return state.caughtUpOnce;
}

/** Notes that the box has caught up; call it after each change of the replica. */
export function updateCaughtUp(state: BoxState): void {
  if (!state.configSourceSeen) return;
  if (state.config.revision >= state.config.highestHeard) state.caughtUpOnce = true;
}
