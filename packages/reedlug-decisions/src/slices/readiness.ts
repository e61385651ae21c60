/**
 * Readiness of a box: it has reached a source of the configuration, and has caught up
 * once with the highest revision that its peers have announced.
 */
import type { BoxState } from '../state.js';

/** True if the box may accept requests. */
export function isReady(state: BoxState): boolean {
  if (state.draining !== undefined) return false;
  if (!state.configSourceSeen) return false;
  return state.config.revision >= state.config.highestKnownRevision || hasBeenReady(state);
}

/** Once it has caught up, a box keeps serving while it fetches newer revisions. */
function hasBeenReady(state: BoxState): boolean {
  return state.caughtUpOnce;
}

/** Records whether the box has caught up; called after each change of the replica. */
export function updateCaughtUp(state: BoxState): void {
  if (!state.configSourceSeen) return;
  if (state.config.revision >= state.config.highestKnownRevision) state.caughtUpOnce = true;
}
