/**
 * Times of a planned stop: which requests a stopping box still takes, when it gives all final answers, and by when its
 * process ends.
 *
 * A request that is taken and can't end in time costs its caller the outcome; one that is refused at once costs a
 * round trip to another box.
 */
import { RouteKind } from '../types/configuration.js';

/** Share of the grace period kept for the final answers to leave, also at a busy box and to slow callers. */
const FINAL_ANSWERS_SHARE = 0.1;
/** Share of the grace period by which the process ends before it is killed. */
const EXIT_SHARE = 0.025;
/** Shortest of these times, in ms: a few ticks, so that a short grace period is enough for both. */
const MIN_FINAL_ANSWERS_MS = 200;
const MIN_EXIT_MS = 100;
/** Time from the start of a stop for which streams are accepted, in ms: the 3 s that the users require, less a network delay. */
export const STREAM_ACCEPT_MS = 2800;
/** A server that takes this many times as long as the longest of its route's recent answers counts as one that hangs. */
const USUAL_TIME_MARGIN = 3;

/** Returns the time from the start of a stop at which all open requests get their final answers, in ms. */
export function finalAnswersAfterMs(graceMs: number): number {
  return graceMs - Math.max(graceMs * FINAL_ANSWERS_SHARE, MIN_FINAL_ANSWERS_MS);
}

/** Returns the time from the start of a stop by which the process ends, in ms. */
export function exitAfterMs(graceMs: number): number {
  return graceMs - Math.max(graceMs * EXIT_SHARE, MIN_EXIT_MS);
}

/** Facts about a request that a stopping box may send. */
export interface StopContext {
  kind: RouteKind;
  /** Time since the start of the stop, and length of the grace period. */
  sinceMs: number;
  graceMs: number;
  /** Time that the request may take: until the caller's deadline or the route's timeout. */
  allowedMs: number;
  /** Longest time of the route's recent requests until their answers had left; undefined without any. */
  usualMs: number | undefined;
}

/** Returns whether a request that a stopping box sends now can end before the final answers are due. */
export function endsBeforeStop(context: StopContext): boolean {
  const { kind, sinceMs, graceMs, allowedMs, usualMs } = context;
  const leftMs = finalAnswersAfterMs(graceMs) - sinceMs;
  if (leftMs <= 0) return false;
  // Callers take up streams elsewhere that the end of the stop cuts.
  if (kind === RouteKind.stream) return sinceMs <= STREAM_ACCEPT_MS;
  if (allowedMs <= leftMs) return true;
  return usualMs !== undefined && usualMs * USUAL_TIME_MARGIN <= leftMs;
}
