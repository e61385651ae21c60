/** Tracks the health and speed of a server by this box's own sends, without probes. */
import type { ServerView } from '../types/views.js';
import { decayFactor } from './decayFactor.js';

/** Half-life of a failure score, in ms: a few requests at usual rates. */
const FAILURE_HALF_LIFE_MS = 3000;
/** Score from which a server is avoided while there are others: three failures in a row. */
export const SUSPECT_SCORE = 2.5;
/**
 * Amount by which a success lowers the score: an engine that fails half of its requests stays above
 * the limit.
 */
const SUCCESS_REDUCTION = 0.5;

/** Returns the current failure score. */
export function failureScore(view: ServerView, nowMs: number): number {
  // Avoids the exponentiation: most of the thousands of servers in a choice have no failures.
  if (view.failureScore === 0) return 0;
  return view.failureScore * decayFactor(nowMs - view.failureAtMs, FAILURE_HALF_LIFE_MS);
}

/** Records a failure of one of this box's own sends. */
export function recordFailure(view: ServerView, nowMs: number): void {
  view.failureScore = failureScore(view, nowMs) + 1;
  view.failureAtMs = nowMs;
}

/**
 * Score of a server that refuses connections: it is avoided for about the time that a restart
 * takes.
 */
const GONE_SCORE = 5;

/** Records that a server refuses connections, so it is gone for at least some seconds. */
export function recordGone(view: ServerView, nowMs: number): void {
  view.failureScore = Math.max(GONE_SCORE, failureScore(view, nowMs));
  view.failureAtMs = nowMs;
}

/** Records a success, which lowers the failure score. */
export function recordSuccess(view: ServerView, nowMs: number): void {
  if (view.failureScore === 0) return;
  view.failureScore = Math.max(0, failureScore(view, nowMs) - SUCCESS_REDUCTION);
  view.failureAtMs = nowMs;
}

/**
 * Time in which a server's slowness falls halfway back to 1, in ms: as with failures, a slow server
 * is tried again after some seconds.
 */
const SLOWNESS_HALF_LIFE_MS = 3000;
/** Weight of one send in the moving average of the slowness: about three slow sends dominate it. */
const SLOWNESS_WEIGHT = 0.3;
/** Maximum ratio recorded for one send. */
const MAX_SLOWNESS_RATIO = 8;

/**
 * Returns the current ratio of the server's first-event times to the expected ones; at least 1, so
 * that one fast answer does not attract all requests.
 */
export function currentSlowness(view: ServerView, nowMs: number): number {
  if (view.slowness === 1) return 1;
  const share = decayFactor(nowMs - view.slownessAtMs, SLOWNESS_HALF_LIFE_MS);
  return Math.max(1, 1 + (view.slowness - 1) * share);
}

/** Records the ratio of a send's first-event time to the expected one. */
export function recordSlowness(view: ServerView, ratio: number, nowMs: number): void {
  if (!Number.isFinite(ratio)) return;
  const before = currentSlowness(view, nowMs);
  const clamped = Math.min(MAX_SLOWNESS_RATIO, Math.max(0, ratio));
  view.slowness = before + (clamped - before) * SLOWNESS_WEIGHT;
  view.slownessAtMs = nowMs;
}
