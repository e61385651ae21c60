/**
 * Placement by size: chooses among servers of different speeds by what a request needs.
 *
 * It answers two loads. Where engines differ in speed, a long prompt meets its target only on some
 * of them, and a random sample of four often contains none of these. Short prompts that are spread
 * without regard to this occupy the slots of just these engines.
 *
 * - A request that only some servers start in time is compared among these only.
 * - The preferred server of a shared prompt part is the highest ranked one that starts the request
 *   in time. Ranks are weighted by speed, so that fast servers hold more shared parts.
 * - Other requests are charged for the fast servers (`sizeDemand.ts`), while a server without a
 *   charge starts them well within their target.
 */
import type { ServerView } from '../types/views.js';
import { highestWeighted } from './highestWeighted.js';
import { NO_RESERVED_ROOM, type ReservedRoom } from './sizeDemand.js';

/**
 * Share of the target within which an idle server must start a request to count as capable of it.
 * The rest covers the error of the model and the requests that run alongside.
 */
const CAPABLE_TARGET_SHARE = 0.8;
/**
 * Share of the fastest server's speed that is always capable: a prompt that needs nearly all of the
 * fastest server's target still has several servers to choose from.
 */
const NEAR_FASTEST_SHARE = 0.85;
/**
 * Share of the target within which a server starts a request that leaves room elsewhere: the
 * request keeps the other half for what the loads do not show.
 */
const WELL_WITHIN_SHARE = 0.5;
/** Number of ranked servers among which the preferred one of a shared part is sought. */
const PREFERRED_RANKS = 3;
/** Number of servers sampled for a request: as without this placement, see `chooseServer.ts`. */
const SAMPLED_SERVERS = 4;
/** Maximum number of candidates that are all compared. */
const MAX_COMPARED_SERVERS = 12;
/**
 * Maximum number of servers that are evaluated in search of one that starts a request in time, once
 * no sampled one does. It covers the capable servers of a fleet of some 200, and bounds the time of
 * a choice. In larger fleets, 64 busy servers mean that nearly all are busy.
 */
const MAX_SCANNED_SERVERS = 64;
/** Maximum number of servers whose speed is read in that search. */
const MAX_VISITED_SERVERS = 512;

/** Lowest and highest speed of a service's servers. */
export interface SpeedRange {
  slowest: number;
  fastest: number;
}

/** What a request needs of a server. */
export interface SizeNeed {
  targetMs: number;
  /** Minimum speed of a server that meets the target when idle; 0 if all servers do. */
  minSpeed: number;
}

/**
 * Returns what a request needs, or undefined if placement by size does not apply: all servers have
 * the same speed, or not even the fastest one meets the target.
 */
export function sizeNeed(params: {
  /** Expected time to the first event on an idle server of speed 1, without cached prompt parts. */
  idleMs: number;
  targetMs: number;
  range: SpeedRange;
}): SizeNeed | undefined {
  const { idleMs, targetMs, range } = params;
  const { slowest, fastest } = range;
  if (!(slowest < fastest) || !(targetMs > 0) || idleMs > targetMs * fastest) return undefined;
  const speed = Math.min(
    idleMs / (targetMs * CAPABLE_TARGET_SHARE),
    Math.max(idleMs / targetMs, fastest * NEAR_FASTEST_SHARE),
  );
  return { targetMs, minSpeed: speed > slowest ? speed : 0 };
}

/** Evaluation of a server for a request. */
export interface ServerEvaluation {
  view: ServerView;
  /** Expected time to the first event with the load as known, for this box's view of the server. */
  waitMs: number;
  /** The same with the costs of distance and failures; the lowest is chosen. */
  costMs: number;
}

/** How a server was found. */
export const PlacementOutcome = {
  /** A compared server starts the request in time. */
  inTime: 'inTime',
  /** Only the search among further servers found one that does. */
  searched: 'searched',
  /** No server that was evaluated does. */
  late: 'late',
} as const;
export type PlacementOutcome = (typeof PlacementOutcome)[keyof typeof PlacementOutcome];

/** A chosen server. */
export interface Placement<E extends ServerEvaluation> {
  evaluation: E;
  outcome: PlacementOutcome;
  /** Number of servers that were evaluated. */
  evaluated: number;
  /** True if a faster server was left to requests that need it. */
  leavesRoom: boolean;
}

/** Facts that a placement is based on. */
export interface PlacementContext<E extends ServerEvaluation> {
  /** Servers that may get the request. */
  candidates: readonly ServerView[];
  /** Whether a server names a limit; such servers are not preferred for shared parts. */
  isLimited: (view: ServerView) => boolean;
  /** Server whose limit may have ended, which is compared too. */
  probeTarget: ServerView | undefined;
  requestHash: number;
  /** Hash of the last shared prompt part; undefined without one. */
  sharedPartHash: number | undefined;
  need: SizeNeed;
  range: SpeedRange;
  speedOf: (view: ServerView) => number;
  room?: ReservedRoom;
  evaluate: (view: ServerView, isPreferred: boolean) => E;
}

/** Returns the best server for a request, or undefined without candidates. */
export function placeBySize<E extends ServerEvaluation>(
  context: PlacementContext<E>,
): Placement<E> | undefined {
  const { candidates, need, requestHash, probeTarget } = context;
  const isCapable = (view: ServerView): boolean =>
    need.minSpeed === 0 || context.speedOf(view) >= need.minSpeed;
  const compared = new Map<ServerView, E>();
  const compare = (view: ServerView, isPreferred = false): E => {
    const known = compared.get(view);
    if (known !== undefined) return known;
    const evaluation = context.evaluate(view, isPreferred);
    compared.set(view, evaluation);
    return evaluation;
  };
  comparePreferred(context, isCapable, compare);
  if (probeTarget !== undefined) compare(probeTarget);
  if (candidates.length <= MAX_COMPARED_SERVERS) {
    for (const view of candidates) compare(view);
  } else {
    for (const view of sample(candidates, requestHash, isCapable)) compare(view);
  }
  const inTime = [...compared.values()].filter(({ waitMs }) => waitMs <= need.targetMs);
  if (inTime.length > 0) {
    const cheapest = lowestCost(inTime);
    const evaluation = lowestCharged(context, inTime) ?? cheapest;
    const leavesRoom = evaluation !== cheapest;
    return toPlacement(evaluation, PlacementOutcome.inTime, compared.size, leavesRoom);
  }
  const { found, scanned } = searchInTime(context, isCapable, compared);
  const evaluated = compared.size + scanned;
  if (found !== undefined) return toPlacement(found, PlacementOutcome.searched, evaluated);
  // No server is known to start the request in time, so that any of them may be the best.
  for (const view of inPseudoRandomOrder(candidates, requestHash, SAMPLED_SERVERS)) compare(view);
  const best = lowestCost([...compared.values()]);
  return best && toPlacement(best, PlacementOutcome.late, evaluated);
}

function toPlacement<E extends ServerEvaluation>(
  evaluation: E | undefined,
  outcome: PlacementOutcome,
  evaluated: number,
  leavesRoom = false,
): Placement<E> | undefined {
  return evaluation && { evaluation, outcome, evaluated, leavesRoom };
}

/**
 * Compares the servers that rank highest for the shared part, up to the first one that starts the
 * request in time. Only the first is assumed to hold the part: the others get requests only while
 * it is busy, and other boxes may see another load.
 */
function comparePreferred<E extends ServerEvaluation>(
  context: PlacementContext<E>,
  isCapable: (view: ServerView) => boolean,
  compare: (view: ServerView, isPreferred: boolean) => E,
): void {
  const { candidates, isLimited, sharedPartHash, need, range, speedOf } = context;
  if (sharedPartHash === undefined) return;
  const ranked = highestWeighted(candidates, {
    keyHash: sharedPartHash,
    count: PREFERRED_RANKS,
    maxWeight: range.fastest,
    weightOf: (view) =>
      isCapable(view) && !isLimited(view) ? Math.min(range.fastest, speedOf(view)) : 0,
  });
  for (const [rank, view] of ranked.entries()) {
    if (compare(view, rank === 0).waitMs <= need.targetMs) return;
  }
}

/** Returns a sample of the capable servers, each with the same probability. */
function sample(
  candidates: readonly ServerView[],
  requestHash: number,
  isCapable: (view: ServerView) => boolean,
): ServerView[] {
  return highestWeighted(candidates, {
    keyHash: requestHash,
    count: SAMPLED_SERVERS,
    maxWeight: 1,
    weightOf: (view) => (isCapable(view) ? 1 : 0),
  });
}

/**
 * Searches the capable servers for one that starts the request in time. The first one found is
 * taken, in an order of the request's own: boxes that see the same outdated loads would otherwise
 * all take the one with the lowest load.
 */
function searchInTime<E extends ServerEvaluation>(
  context: PlacementContext<E>,
  isCapable: (view: ServerView) => boolean,
  compared: ReadonlyMap<ServerView, E>,
): { found: E | undefined; scanned: number } {
  const { candidates, need, requestHash, evaluate } = context;
  let scanned = 0;
  for (const view of inPseudoRandomOrder(candidates, requestHash, MAX_VISITED_SERVERS)) {
    if (compared.has(view) || !isCapable(view)) continue;
    scanned += 1;
    const evaluation = evaluate(view, false);
    if (evaluation.waitMs <= need.targetMs) return { found: evaluation, scanned };
    if (scanned === MAX_SCANNED_SERVERS) break;
  }
  return { found: undefined, scanned };
}

/**
 * Returns up to `count` servers in a pseudo-random order that depends on the request. Each comes
 * once, since the step length has no common factor with the number of servers. Ranking them
 * would take a pass over all.
 */
function* inPseudoRandomOrder(
  servers: readonly ServerView[],
  requestHash: number,
  count: number,
): Generator<ServerView> {
  const { length } = servers;
  let step = 1 + ((Math.imul(requestHash, 0x9e3779b1) >>> 0) % length);
  while (greatestCommonDivisor(step, length) > 1) step = 1 + (step % length);
  let at = requestHash % length;
  for (let taken = 0; taken < Math.min(count, length); taken += 1) {
    const view = servers[at];
    if (view !== undefined) yield view;
    at = (at + step) % length;
  }
}

function greatestCommonDivisor(a: number, b: number): number {
  return b === 0 ? a : greatestCommonDivisor(b, a % b);
}

function lowestCost<E extends ServerEvaluation>(evaluations: readonly E[]): E | undefined {
  let best: E | undefined;
  for (const evaluation of evaluations) {
    if (best === undefined || evaluation.costMs < best.costMs) best = evaluation;
  }
  return best;
}

/**
 * Returns the best of the servers that large requests do not need, if it starts the request well
 * within its target and costs at most the charge more than the best of the others. Returns
 * undefined otherwise, and for a request that needs a fast server itself.
 */
function lowestCharged<E extends ServerEvaluation>(
  { need, room = NO_RESERVED_ROOM, speedOf }: PlacementContext<E>,
  inTime: readonly E[],
): E | undefined {
  const { fromSpeed, chargeShare } = room;
  if (chargeShare === 0 || need.minSpeed > 0) return undefined;
  const isReserved = ({ view }: E): boolean => speedOf(view) >= fromSpeed;
  const others = inTime.filter(
    (evaluation) =>
      !isReserved(evaluation) && evaluation.waitMs <= need.targetMs * WELL_WITHIN_SHARE,
  );
  const best = lowestCost(others);
  const reserved = lowestCost(inTime.filter(isReserved));
  if (best === undefined || reserved === undefined) return best;
  return best.costMs <= reserved.costMs + chargeShare * need.targetMs ? best : undefined;
}
