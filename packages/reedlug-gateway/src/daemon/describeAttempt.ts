/** Describes an attempt to connect to a server for the logs. */
import type { ConnectionTry } from '../types/serverLink.js';

/** Returns who tried, how that ended, and after how many ms: `direct:silent:400`, `box-3:cutOff:1`. */
export function describeAttempt({ path, outcome, peerReason, tookMs }: ConnectionTry): string {
  const by = path.kind === 'peer' ? path.boxId : path.kind;
  return `${by}:${peerReason ?? outcome}:${Math.round(tookMs)}`;
}
