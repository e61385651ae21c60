/**
 * Servers that have gone silent: a crash or a cut says nothing, and connections
 * to it stay open. A server that lives is heard all the time while it works:
 * with each event of each stream.
 */
import type { ServerView } from '../types/views.js';

/** Silence that is no sign yet, as a multiple of the expected time to an event, and a fixed part, in ms: timers, the network and one late step. */
const NORMAL_SILENCE_FACTOR = 2;
const NORMAL_SILENCE_MS = 100;
/** Silence after which what can be repeated is sent elsewhere, likewise: a caller that hears nothing leaves after two seconds. */
const LOST_SILENCE_FACTOR = 4;
const LOST_SILENCE_MS = 500;

/** Notes a send: silence counts from it when nothing else is open there. */
export function recordSend(view: ServerView, nowMs: number): void {
  if (view.running === 0) view.lastActivityAtMs = nowMs;
}

/** Notes that anything came from the server. */
export function recordActivity(view: ServerView, nowMs: number): void {
  view.lastActivityAtMs = nowMs;
}

/** How long a server with open work has said nothing to this box, in ms. */
export function silenceMs(view: ServerView, nowMs: number): number {
  return view.running > 0 ? Math.max(0, nowMs - view.lastActivityAtMs) : 0;
}

/** What silence adds to the expected wait, in ms: who has been silent for long is silent for as long again. */
export function silenceCostMs(view: ServerView, expectedMs: number, nowMs: number): number {
  const silentMs = silenceMs(view, nowMs);
  return silentMs > NORMAL_SILENCE_FACTOR * expectedMs + NORMAL_SILENCE_MS ? silentMs : 0;
}

/** Silence from which an attempt is taken to be lost, in ms. */
export function lostAfterMs(expectedMs: number): number {
  return LOST_SILENCE_FACTOR * expectedMs + LOST_SILENCE_MS;
}
