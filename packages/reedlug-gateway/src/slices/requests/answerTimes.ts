/**
 * How long recent plain answers took, by route: until they arrived, which says which silence of a server is usual, and
 * until they had left to callers that did not read them at once. A stopping box expects both of a request.
 */
import type { GatewayState } from '../../state.js';
import type { AnswerTimes } from '../../types/views.js';

/** Time after which a longest answer is replaced by that of the next period, in ms: it counts for one to two periods. */
const PERIOD_MS = 10_000;

/** A time that an answer of a route took. */
interface RouteTime {
  routeName: string;
  tookMs: number;
  nowMs: number;
}

/** Records the time from the send of a plain request to its answer, or for which one was awaited until the deadline. */
export function recordAnswerTime(state: GatewayState, time: RouteTime): void {
  recordLongest(state.answerTimes, time);
}

/** Records the time that a plain answer took to leave to its caller. */
export function recordDeliveryTime(state: GatewayState, time: RouteTime): void {
  recordLongest(state.deliveryTimes, time);
}

/** Returns the longest of a route's recent answers, or undefined without any. */
export function longestAnswerMs(
  state: GatewayState,
  routeName: string,
  nowMs: number,
): number | undefined {
  return longestOf(state.answerTimes, routeName, nowMs);
}

/** Returns the longest time of a route's recent requests from the send until the answer has left, or undefined without any. */
export function usualTimeMs(
  state: GatewayState,
  routeName: string,
  nowMs: number,
): number | undefined {
  const answerMs = longestAnswerMs(state, routeName, nowMs);
  if (answerMs === undefined) return undefined;
  return answerMs + (longestOf(state.deliveryTimes, routeName, nowMs) ?? 0);
}

function recordLongest(
  times: Map<string, AnswerTimes>,
  { routeName, tookMs, nowMs }: RouteTime,
): void {
  const known = times.get(routeName);
  if (known === undefined || nowMs - known.sinceMs >= PERIOD_MS) {
    pruneTimes(times, nowMs);
    const previousMs =
      known === undefined || isOutdated(known, nowMs) ? undefined : known.longestMs;
    times.set(routeName, { sinceMs: nowMs, longestMs: tookMs, previousMs });
    return;
  }
  known.longestMs = Math.max(known.longestMs, tookMs);
}

function longestOf(
  times: ReadonlyMap<string, AnswerTimes>,
  routeName: string,
  nowMs: number,
): number | undefined {
  const known = times.get(routeName);
  if (known === undefined || isOutdated(known, nowMs)) return undefined;
  return Math.max(known.longestMs, known.previousMs ?? 0);
}

/** Removes what is known of routes that have not been answered for long, which may be gone. */
function pruneTimes(times: Map<string, AnswerTimes>, nowMs: number): void {
  for (const [name, known] of times) {
    if (isOutdated(known, nowMs)) times.delete(name);
  }
}

function isOutdated({ sinceMs }: AnswerTimes, nowMs: number): boolean {
  return nowMs - sinceMs >= 2 * PERIOD_MS;
}
