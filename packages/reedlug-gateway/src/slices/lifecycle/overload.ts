/** Notices when the thread of this box has no time to spare, and closes new connections meanwhile. */
import { busySince, closesConnections } from '../../policy/overload.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { ThreadLoad } from '../../types/threadLoad.js';

/** Updates the state with the load since the last tick. */
export function overloadTick(state: GatewayState, step: Step, load: ThreadLoad | undefined): void {
  if (load === undefined) return;
  const { overload } = state;
  overload.busySinceMs = busySince(overload, load, step.nowMs);
  overload.hasBeenIdle ||= overload.busySinceMs === undefined;
  const ageMs = step.nowMs - state.startedAtMs;
  const closes = closesConnections(overload, { nowMs: step.nowMs, ageMs });
  if (closes === (overload.closesSinceMs !== undefined)) return;
  const fields = {
    busyShare: load.busyShare.toFixed(2),
    lateMs: Math.round(load.lateMs),
    openRequests: state.requests.size,
  };
  if (closes) {
    overload.closesSinceMs = step.nowMs;
    return log(step, 'overloaded', fields);
  }
  const forMs = step.nowMs - (overload.closesSinceMs ?? step.nowMs);
  overload.closesSinceMs = undefined;
  overload.lastEndedAtMs = step.nowMs;
  log(step, 'overloadEnded', { ...fields, forMs: Math.round(forMs) });
}
