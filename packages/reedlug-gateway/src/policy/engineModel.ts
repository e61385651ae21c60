/**
 * What sends to the servers of a service have shown: how long the first event
 * takes by the tokens to be read and by the requests that run beside, and how
 * long a request keeps its place.
 *
 * Each box sums up its own sends. The sums fade, are told to peers and add up,
 * so that a box that has just started or has few callers knows what all saw.
 * The fit is a least-squares line with a few supposed sends as its start.
 */
import { decayFactor } from './decayFactor.js';

/** Time in which a sum halves, in ms: some hundred sends at a box with a few requests a second, and a service that changes its speed is known anew within a minute. */
const HALF_LIFE_MS = 15_000;
/** Longest wait taken from one send, as a multiple of what was expected: one slow, cold or silent server must not set the figures of all. */
const MAX_WAIT_RATIO = 4;
/** Shortest expected wait that the multiple is taken of, in ms: below it, network and timers decide. */
const MIN_EXPECTED_MS = 20;

/**
 * Prompts that others wait with at a server, up to which a send tells how fast it
 * reads: behind more, urgency decides who is next and callers leave before their
 * turn, so waits no longer grow with the tokens. Learning from those takes engines
 * under overload for fast ones, and orders others away.
 */
const MAX_UNREAD_PROMPTS = 2;

/** Start values, until sends have shown others; they are no machine's figures, only of a usual order. */
const INITIAL_MODEL = { baseMs: 20, tokensPerMs: 60, runningMs: 0.5, stayMs: 500 } as const;
/** Sends that the start values weigh as much as. */
const PRIOR_SENDS = 5;
/** Tokens and running requests of a supposed send. */
const PRIOR_TOKENS = 2000;
const PRIOR_RUNNING = 8;
/** Fastest reading that is believed, in tokens a ms: sends that are all short say nothing of reading. */
const MAX_TOKENS_PER_MS = 1000;
/** Rounds of the fit; the coefficients differ by under a hundredth after them. */
const FIT_ITERATIONS = 60;

/** Faded sums over the sends of a service; those of several boxes add up. */
export interface SendSums {
  sends: number;
  tokens: number;
  running: number;
  waitMs: number;
  tokensSquared: number;
  tokensRunning: number;
  runningSquared: number;
  tokensWait: number;
  runningWait: number;
  /** Sends that ended with success, and how long they kept their places in sum. */
  ended: number;
  stayMs: number;
}

/** The sums of one box, and when they last faded. */
export interface OwnSends {
  sums: SendSums;
  decayedAtMs: number;
}

/** A server's state at a send, as the box saw it. */
export interface SendConditions {
  /** Prompt tokens to be read at the server, those of the request included. */
  tokens: number;
  /** Requests in progress there, those that wait for a place included. */
  running: number;
  /** Other requests there whose prompts are still to be read. */
  unread: number;
  /** Places of the server. */
  slots: number;
}

/** The fitted figures of a service. */
export interface EngineModel {
  /** Time to the first event of a request without a prompt at an idle server. */
  baseMs: number;
  tokensPerMs: number;
  /** What each running request adds to the time to the first event. */
  runningMs: number;
  /** Mean time in which a request keeps its place. */
  stayMs: number;
  /** Sends that the figures rest on, faded; 0 for start values. */
  sends: number;
}

/** Sums of no send. */
export function createSendSums(): SendSums {
  return {
    sends: 0,
    tokens: 0,
    running: 0,
    waitMs: 0,
    tokensSquared: 0,
    tokensRunning: 0,
    runningSquared: 0,
    tokensWait: 0,
    runningWait: 0,
    ended: 0,
    stayMs: 0,
  };
}

/** Adds sums up. */
export function addSendSums(parts: readonly SendSums[]): SendSums {
  const sum = createSendSums();
  const keys = Object.keys(sum) as (keyof SendSums)[];
  for (const part of parts) {
    for (const key of keys) sum[key] += part[key];
  }
  return sum;
}

/** Fades a box's sums to a time. */
export function decaySends(own: OwnSends, nowMs: number): void {
  const factor = decayFactor(nowMs - own.decayedAtMs, HALF_LIFE_MS);
  own.decayedAtMs = nowMs;
  for (const key of Object.keys(own.sums) as (keyof SendSums)[]) own.sums[key] *= factor;
}

/** Takes the time to the first event of a send. Sends that found no place free, or many prompts before theirs, say little of the server and are left out. */
export function recordWait(
  own: OwnSends,
  sample: { conditions: SendConditions; waitMs: number; expectedMs: number; nowMs: number },
): void {
  const { conditions, expectedMs, nowMs } = sample;
  const { tokens, running, unread, slots } = conditions;
  if (tokens > 0 && unread > MAX_UNREAD_PROMPTS) return;
  if (running >= slots || !Number.isFinite(sample.waitMs) || sample.waitMs < 0) return;
  const waitMs = Math.min(sample.waitMs, MAX_WAIT_RATIO * Math.max(MIN_EXPECTED_MS, expectedMs));
  decaySends(own, nowMs);
  const { sums } = own;
  sums.sends += 1;
  sums.tokens += tokens;
  sums.running += running;
  sums.waitMs += waitMs;
  sums.tokensSquared += tokens * tokens;
  sums.tokensRunning += tokens * running;
  sums.runningSquared += running * running;
  sums.tokensWait += tokens * waitMs;
  sums.runningWait += running * waitMs;
}

/** Takes how long a send that ended well kept its place. */
export function recordStay(own: OwnSends, stayMs: number, nowMs: number): void {
  if (!Number.isFinite(stayMs) || stayMs < 0) return;
  decaySends(own, nowMs);
  own.sums.ended += 1;
  own.sums.stayMs += stayMs;
}

/**
 * Fits the figures: least squares over the sends and the supposed ones, no
 * coefficient below nothing. Coordinate descent keeps the bounds by itself.
 */
export function fitEngineModel(sums: SendSums): EngineModel {
  const weight = {
    base: PRIOR_SENDS,
    tokens: PRIOR_SENDS * PRIOR_TOKENS ** 2,
    running: PRIOR_SENDS * PRIOR_RUNNING ** 2,
  };
  const start = {
    baseMs: INITIAL_MODEL.baseMs,
    msPerToken: 1 / INITIAL_MODEL.tokensPerMs,
    runningMs: INITIAL_MODEL.runningMs,
  };
  let { baseMs, msPerToken, runningMs }: Record<keyof typeof start, number> = start;
  for (let round = 0; round < FIT_ITERATIONS; round += 1) {
    baseMs = coefficient({
      rest: sums.waitMs - msPerToken * sums.tokens - runningMs * sums.running,
      squares: sums.sends,
      weight: weight.base,
      start: start.baseMs,
      minimum: 0,
    });
    msPerToken = coefficient({
      rest: sums.tokensWait - baseMs * sums.tokens - runningMs * sums.tokensRunning,
      squares: sums.tokensSquared,
      weight: weight.tokens,
      start: start.msPerToken,
      minimum: 1 / MAX_TOKENS_PER_MS,
    });
    runningMs = coefficient({
      rest: sums.runningWait - baseMs * sums.running - msPerToken * sums.tokensRunning,
      squares: sums.runningSquared,
      weight: weight.running,
      start: start.runningMs,
      minimum: 0,
    });
  }
  const stayMs = (sums.stayMs + PRIOR_SENDS * INITIAL_MODEL.stayMs) / (sums.ended + PRIOR_SENDS);
  return { baseMs, tokensPerMs: 1 / msPerToken, runningMs, stayMs, sends: sums.sends };
}

/** One coefficient by least squares while the others stand, with its supposed value's weight. */
function coefficient(sums: {
  rest: number;
  squares: number;
  weight: number;
  start: number;
  minimum: number;
}): number {
  const { rest, squares, weight, start, minimum } = sums;
  return Math.max(minimum, (rest + weight * start) / (squares + weight));
}

/** The expected time to the first event, with the wait for a place where all are taken. */
export function expectedWaitMs(
  model: EngineModel,
  conditions: Omit<SendConditions, 'unread'>,
): number {
  const { tokens, running, slots } = conditions;
  const readMs = tokens / model.tokensPerMs;
  return (
    model.baseMs +
    readMs +
    model.runningMs * Math.min(running, slots) +
    slotWaitMs(model, conditions)
  );
}

/** The expected wait for a place: nothing while one is free. */
export function slotWaitMs(
  model: EngineModel,
  { running, slots }: Pick<SendConditions, 'running' | 'slots'>,
): number {
  const usableSlots = Math.max(1, slots);
  return running < usableSlots ? 0 : ((running - usableSlots + 1) * model.stayMs) / usableSlots;
}
