/**
 * Detects servers that have become silent. After a crash of the machine or a network cut, no
 * error arrives and connections stay open. A server that works sends data continuously: each
 * event of each stream shows that it is alive.
 */
import type { ServerView } from '../types/views.js';

/**
 * Silence that is still normal: a multiple of the expected time to an event, and a fixed time in ms
 * for timers, the network and one late engine step.
 */
const NORMAL_SILENCE_FACTOR = 2;
const NORMAL_SILENCE_MS = 100;
/**
 * Silence after which repeatable requests are sent to another server, as for normal silence:
 * callers leave after two seconds without data.
 */
const LOST_SILENCE_FACTOR = 4;
const LOST_SILENCE_MS = 500;

/** Records a send, from which silence is measured if nothing else is open at the server. */
export function recordSend(view: ServerView, nowMs: number): void {
  if (view.running === 0) view.lastActivityAtMs = nowMs;
}

/** Records that the server sent something. */
export function recordActivity(view: ServerView, nowMs: number): void {
  view.lastActivityAtMs = nowMs;
}

/** Returns how long a server with open work has sent nothing to this box, in ms. */
export function silenceMs(view: ServerView, nowMs: number): number {
  return view.running > 0 ? Math.max(0, nowMs - view.lastActivityAtMs) : 0;
}

/**
 * Returns the time that silence adds to the expected wait, in ms: a silent server is expected to
 * stay silent for as long again.
 */
export function silenceCostMs(view: ServerView, expectedMs: number, nowMs: number): number {
  const silentMs = silenceMs(view, nowMs);
  return silentMs > NORMAL_SILENCE_FACTOR * expectedMs + NORMAL_SILENCE_MS ? silentMs : 0;
}

/** Returns the silence after which an attempt counts as lost, in ms. */
export function lostAfterMs(expectedMs: number): number {
  return LOST_SILENCE_FACTOR * expectedMs + LOST_SILENCE_MS;
}
