/** Health and speed of a server as this box's own sends show them; nothing is probed. */
import type { ServerView } from '../types/views.js';
import { decayFactor } from './decayFactor.js';

/** Time in which a failure score halves: a few requests' time at usual rates. */
const FAILURE_HALF_LIFE_MS = 3000;
/** Score from which a server is passed over while others are there: three failures in a row. */
export const SUSPECT_SCORE = 2.5;
/** What a success takes off the score: an engine that fails half of its requests stays suspect. */
const SUCCESS_REDUCTION = 0.5;

/** The failure score now. */
export function failureScore(view: ServerView, nowMs: number): number {
  return view.failureScore * decayFactor(nowMs - view.failureAtMs, FAILURE_HALF_LIFE_MS);
}

/** Counts a failure of this box's own send. */
export function recordFailure(view: ServerView, nowMs: number): void {
  view.failureScore = failureScore(view, nowMs) + 1;
  view.failureAtMs = nowMs;
}

/** Score of a server whose port refuses: it is passed over for about the time in which one starts again. */
const GONE_SCORE = 5;

/** A server's port refuses connections: it is gone, at least for some seconds. */
export function recordGone(view: ServerView, nowMs: number): void {
  view.failureScore = Math.max(GONE_SCORE, failureScore(view, nowMs));
  view.failureAtMs = nowMs;
}

/** Counts a success; it takes weight off earlier failures. */
export function recordSuccess(view: ServerView, nowMs: number): void {
  if (view.failureScore === 0) return;
  view.failureScore = Math.max(0, failureScore(view, nowMs) - SUCCESS_REDUCTION);
  view.failureAtMs = nowMs;
}

/** Time in which a server's slowness falls half way back to 1, in ms: as for failures, a slow server is tried again after some seconds. */
const SLOWNESS_HALF_LIFE_MS = 3000;
/** Weight of one send in the slowness: the third of its kind decides. */
const SLOWNESS_WEIGHT = 0.3;
/** Greatest ratio taken from one send. */
const MAX_SLOWNESS_RATIO = 8;

/** How much longer than expected the server's first events take now; at least 1, so that one quick answer draws no crowd. */
export function currentSlowness(view: ServerView, nowMs: number): number {
  const share = decayFactor(nowMs - view.slownessAtMs, SLOWNESS_HALF_LIFE_MS);
  return Math.max(1, 1 + (view.slowness - 1) * share);
}

/** Takes the ratio of a send's time to the expected one. */
export function recordSlowness(view: ServerView, ratio: number, nowMs: number): void {
  if (!Number.isFinite(ratio)) return;
  const before = currentSlowness(view, nowMs);
  const clamped = Math.min(MAX_SLOWNESS_RATIO, Math.max(0, ratio));
  view.slowness = before + (clamped - before) * SLOWNESS_WEIGHT;
  view.slownessAtMs = nowMs;
}
