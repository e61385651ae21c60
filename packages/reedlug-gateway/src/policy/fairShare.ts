/**
 * Max-min fair shares of a service's work, and what follows from them for single requests.
 *
 * Answers overload in which a few workspaces request far more than the others: refusals that depend
 * on the expected wait alone then affect all workspaces alike. The work that was admitted in the
 * last seconds is taken as the capacity while the service is short of it, so no estimate is needed.
 * All boxes compute the same shares from the same sums.
 */

/** Work of one workspace at one service in the last seconds, in prompt tokens. */
export interface WorkSums {
  /** Requested work, including that of refused requests. */
  requested: number;
  admitted: number;
}

/** How a workspace stands while its service is short of capacity. */
export type Standing =
  /** The service has admitted all that was requested. */
  | { kind: 'even' }
  /** It requests no more than its share. */
  | { kind: 'under' }
  /**
   * It requests more than its share. `use` is its admitted work divided by its share, and
   * `queueShare` the share of the usual time in a queue up to which its requests are accepted.
   * `leavesRoom` is true if other workspaces are under their shares.
   */
  | { kind: 'over'; use: number; queueShare: number; leavesRoom: boolean };

/** Standing of each workspace, and figures of the service for logs and metrics. */
export interface ServiceStandings {
  standings: ReadonlyMap<string, Standing>;
  shares: ReadonlyMap<string, number>;
  requested: number;
  admitted: number;
}

/**
 * Share of the requested work that was refused, up to which nothing counts as shortage. Some tens
 * of ms of refused work reach it, and a flood that has ended is below it again within some seconds.
 */
const MIN_REFUSED_SHARE = 0.01;
/**
 * Refused share of the work at which workspaces over their shares leave the most room. A flood has
 * to reach it before the queues are as long as the targets of the other callers.
 */
const FULL_EFFECT_REFUSED_SHARE = 0.04;
/**
 * Part of the work requested by workspaces under their shares that needs the whole of that room.
 */
const FULL_EFFECT_UNDER_SHARE = 0.1;
/**
 * Share of the usual queue that workspaces over their shares leave to the others. Half of a target
 * covers the deviations of expected waits from real ones, and engines keep enough prompts to work
 * on.
 */
const ROOM_SHARE = 0.5;
/** Decrease of the accepted queue for each unit by which the use exceeds the share. */
const USE_SLOPE = 2;
/** Least share of the queue that is accepted: below it, engines would run out of prompts. */
const MIN_QUEUE_SHARE = 0.1;

/**
 * Returns the max-min fair division of a capacity: nobody gets more than requested, and what one
 * does not request is divided among the others in proportion to their weights.
 */
export function maxMinShares(
  requested: ReadonlyMap<string, number>,
  capacity: number,
  weights: ReadonlyMap<string, number> = new Map(),
): Map<string, number> {
  const weightOf = (name: string): number => weights.get(name) ?? 1;
  const byLevel = [...requested].sort(([a, x], [b, y]) => x / weightOf(a) - y / weightOf(b));
  let left = Math.max(0, capacity);
  let weightLeft = byLevel.reduce((sum, [name]) => sum + weightOf(name), 0);
  const shares = new Map<string, number>();
  for (const [name, amount] of byLevel) {
    const weight = weightOf(name);
    const share = Math.min(amount, weightLeft > 0 ? (left * weight) / weightLeft : 0);
    shares.set(name, share);
    left = Math.max(0, left - share);
    weightLeft -= weight;
  }
  return shares;
}

/** Computes the standing of each workspace from the work of the last seconds. */
export function computeStandings(sums: ReadonlyMap<string, WorkSums>): ServiceStandings {
  const requestedBy = new Map([...sums].map(([name, { requested }]) => [name, requested]));
  const total = (of: (sum: WorkSums) => number): number =>
    [...sums.values()].reduce((result, sum) => result + of(sum), 0);
  const requested = total((sum) => sum.requested);
  const admitted = total((sum) => Math.min(sum.admitted, sum.requested));
  const refusedShare = requested > 0 ? (requested - admitted) / requested : 0;
  if (!(refusedShare > MIN_REFUSED_SHARE)) {
    return { standings: new Map(), shares: requestedBy, requested, admitted };
  }
  const shares = maxMinShares(requestedBy, admitted);
  // All workspaces over their shares have the same share: the largest.
  const level = Math.max(...shares.values());
  const isOver = ({ requested: amount }: WorkSums): boolean => amount > level;
  const under = total((sum) => (isOver(sum) ? 0 : sum.requested));
  const room =
    ROOM_SHARE *
    rise(refusedShare, MIN_REFUSED_SHARE, FULL_EFFECT_REFUSED_SHARE) *
    rise(under / admitted, 0, FULL_EFFECT_UNDER_SHARE);
  const standings = new Map<string, Standing>();
  for (const [name, sum] of sums) {
    if (!isOver(sum)) {
      standings.set(name, { kind: 'under' });
      continue;
    }
    const use = level > 0 ? sum.admitted / level : 1;
    const queueShare = 1 - room - USE_SLOPE * (use - 1);
    const bounded = Math.min(1, Math.max(MIN_QUEUE_SHARE, queueShare));
    standings.set(name, { kind: 'over', use, queueShare: bounded, leavesRoom: room > 0 });
  }
  return { standings, shares, requested, admitted };
}

/** Returns how far a value is on the way between two bounds, from 0 to 1. */
function rise(value: number, from: number, to: number): number {
  return Math.min(1, Math.max(0, (value - from) / (to - from))) || 0;
}

/** Returns a number that orders standings: a lower one is refused later. */
export function standingRank(standing: Standing): number {
  return standing.kind === 'over' ? standing.use : 0;
}
