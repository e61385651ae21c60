/**
 * Demand for fast servers: the share of a service's prompt work that meets its target only on its
 * faster servers, and the charge by which other requests leave room on them.
 *
 * Fast servers are a large part of the capacity of a service, so other requests must use them too.
 * The charge is a small part of a request's own target: it moves requests while the slower servers
 * start them nearly as early, and stops doing so as soon as these become busy. It grows with the
 * share of the fast servers' capacity that large requests need, and is 0 while there are none.
 */
import { decayFactor } from './decayFactor.js';

/**
 * Half-life of the sums, in ms. Large requests are rare at a single box; a shorter time would base
 * the charge on one or two of them.
 */
const HALF_LIFE_MS = 30_000;
/**
 * Charge as a share of the target of the charged request, when large requests need all fast
 * servers.
 */
const MAX_CHARGE_SHARE = 0.25;

/** Decayed sums of the prompt tokens that a box received for a service. */
export interface SizeDemand {
  tokens: number;
  /** Tokens of requests that meet their target only on some of the servers. */
  largeTokens: number;
  /** The same, multiplied by the speed that each request needs. */
  largeTokensSpeed: number;
  decayedAtMs: number;
}

/** Returns sums without any requests. */
export function createSizeDemand(): SizeDemand {
  return { tokens: 0, largeTokens: 0, largeTokensSpeed: 0, decayedAtMs: 0 };
}

/** Records a request. `neededSpeed` is undefined if all servers meet its target. */
export function recordSizeDemand(
  demand: SizeDemand,
  request: { tokens: number; neededSpeed: number | undefined },
  nowMs: number,
): void {
  const factor = decayFactor(nowMs - demand.decayedAtMs, HALF_LIFE_MS);
  const { tokens, neededSpeed } = request;
  demand.decayedAtMs = nowMs;
  demand.tokens = demand.tokens * factor + tokens;
  demand.largeTokens *= factor;
  demand.largeTokensSpeed *= factor;
  if (neededSpeed === undefined) return;
  demand.largeTokens += tokens;
  demand.largeTokensSpeed += tokens * neededSpeed;
}

/** Room that other requests leave on fast servers. */
export interface ReservedRoom {
  /** Speed from which servers are charged for; infinity while no large requests are known. */
  fromSpeed: number;
  /** Charge as a share of the target of the charged request. */
  chargeShare: number;
}

/** Room while there are no large requests. */
export const NO_RESERVED_ROOM: ReservedRoom = {
  fromSpeed: Number.POSITIVE_INFINITY,
  chargeShare: 0,
};

/** Returns the room to leave on the servers of the given speeds. */
export function reservedRoom(demand: SizeDemand, speeds: readonly number[]): ReservedRoom {
  if (!(demand.largeTokens > 0)) return NO_RESERVED_ROOM;
  const fromSpeed = demand.largeTokensSpeed / demand.largeTokens;
  let total = 0;
  let fast = 0;
  for (const speed of speeds) {
    total += speed;
    if (speed >= fromSpeed) fast += speed;
  }
  if (fast === 0 || fast === total) return NO_RESERVED_ROOM;
  const neededShare = demand.largeTokens / demand.tokens / (fast / total);
  return { fromSpeed, chargeShare: MAX_CHARGE_SHARE * Math.min(1, neededShare) };
}
