/** Health of a server as this box's own sends show it; nothing is probed. */
import type { ServerView } from '../state.js';

/** Time in which a failure score halves: a few requests' time at usual rates. */
const FAILURE_HALF_LIFE_MS = 3000;
/** Score from which a server is passed over while others are there: three failures in a row. */
export const SUSPECT_SCORE = 2.5;
/** What a success takes off the score: an engine that fails half of its requests stays suspect. */
const SUCCESS_RELIEF = 0.5;

/** The failure score now. */
export function failureScore(view: ServerView, nowMs: number): number {
  const halvings = (nowMs - view.failureAtMs) / FAILURE_HALF_LIFE_MS;
  return view.failureScore * 0.5 ** halvings;
}

/** Counts a failure of this box's own send. */
export function noteFailure(view: ServerView, nowMs: number): void {
  view.failureScore = failureScore(view, nowMs) + 1;
  view.failureAtMs = nowMs;
}

/** Counts a success; it takes weight off earlier failures. */
export function noteSuccess(view: ServerView, nowMs: number): void {
  if (view.failureScore === 0) return;
  view.failureScore = Math.max(0, failureScore(view, nowMs) - SUCCESS_RELIEF);
  view.failureAtMs = nowMs;
}
