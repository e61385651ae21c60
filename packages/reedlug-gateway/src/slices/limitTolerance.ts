/** The users' window of limits, and the tolerance that they grant on top. */
import type { GatewayState } from '../state.js';

/** Kept beyond the users' window, in ms: a request arrives at its server a little after it was admitted. */
const WINDOW_MARGIN_MS = 200;

/** Parts of the users' tolerance that are used: of its share of the limit, and of its units. */
export interface UsedTolerance {
  share: number;
  slack: number;
}

/** Usually; the rest is for what boxes do not know of each other after restarts and cuts. */
export const SURE: UsedTolerance = { share: 0.75, slack: 0.8 };
/** The same where hubs sum up the news: boxes know of each other later, and a lost hub takes a moment with it. */
export const SURE_BY_HUBS: UsedTolerance = { share: 0.5, slack: 0.5 };
/** While a box only supposes what was admitted before its start: that may all have come just before. */
export const UNSURE: UsedTolerance = { share: 0.25, slack: 0.25 };

/** A limit with the part of the users' tolerance that is used. */
export function withTolerance(state: GatewayState, units: number, used: UsedTolerance): number {
  const { limitOverShare, limitSlackUnits } = state.settings.bounds;
  return units * (1 + limitOverShare * used.share) + limitSlackUnits * used.slack;
}

/** The users' window and a margin. */
export function windowLengthMs(state: GatewayState): number {
  return state.settings.bounds.limitWindowMs + WINDOW_MARGIN_MS;
}

/** Whether this box may have admitted something in the last window in an earlier life. */
export function isYoung(state: GatewayState, nowMs: number): boolean {
  return nowMs - state.startedAtMs < windowLengthMs(state);
}
