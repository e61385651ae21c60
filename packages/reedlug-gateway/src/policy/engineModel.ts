/**
 * Performance model of a service's engines, learned from sends: the time to the first event as
 * a function of the prompt tokens to process and of the concurrent requests, and the time for
 * which a request occupies a slot.
 *
 * Each box accumulates statistics of its own sends. They decay exponentially, are sent to peers
 * and add up, so that a box that has just started or has few callers uses the data of all boxes.
 * The model is fitted by linear least squares with a few hypothetical sends as a prior.
 */
import { decayFactor } from './decayFactor.js';

/**
 * Half-life of the sums, in ms: some hundred sends at a box with a few requests a second, and a
 * change in speed is learned within a minute.
 */
const HALF_LIFE_MS = 15_000;
/**
 * Maximum wait recorded for one send, as a multiple of the expected one: a single slow, cold or
 * silent server must not dominate the model.
 */
const MAX_WAIT_RATIO = 4;
/**
 * Minimum expected wait that the multiple applies to, in ms: below it, network and timers dominate.
 */
const MIN_EXPECTED_MS = 20;

/**
 * Maximum number of other unprocessed prompts at a server for a send to be recorded. With more
 * of them, urgency decides which prompt is next and callers leave before their turn, so waits
 * no longer grow with the tokens. Learning from such sends would mistake overloaded engines for
 * fast ones and reduce the number of engines ordered.
 */
const MAX_UNREAD_PROMPTS = 2;

/**
 * Initial model, used until sends are recorded: typical orders of magnitude rather than the figures
 * of a real machine.
 */
const INITIAL_MODEL = { baseMs: 20, tokensPerMs: 60, runningMs: 0.5, stayMs: 500 } as const;
/** Weight of the initial model, as a number of sends. */
const PRIOR_SENDS = 5;
/** Prompt tokens and running requests of a hypothetical send of the prior. */
const PRIOR_TOKENS = 2000;
const PRIOR_RUNNING = 8;
/**
 * Maximum prefill rate of a fit, in tokens per ms: sends with short prompts alone do not determine
 * the rate.
 */
const MAX_TOKENS_PER_MS = 1000;
/** Iterations of the fit, after which the coefficients are accurate to one hundredth. */
const FIT_ITERATIONS = 60;

/** Decayed sums over the sends of a service; the sums of several boxes can be added. */
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
  /** Number of successful sends, and the total time for which they occupied their slots. */
  ended: number;
  stayMs: number;
}

/** Sums of one box, and the time of their last decay. */
export interface OwnSends {
  sums: SendSums;
  decayedAtMs: number;
}

/** State of a server at the time of a send, as seen by the box. */
export interface SendConditions {
  /** Prompt tokens to process at the server, including those of the request. */
  tokens: number;
  /** Requests in progress, including those that wait for a slot. */
  running: number;
  /** Other requests whose prompts have not been processed yet. */
  unread: number;
  /** Slots of the server. */
  slots: number;
}

/** Fitted model of a service. */
export interface EngineModel {
  /** Time to the first event of a request without a prompt on an idle server. */
  baseMs: number;
  tokensPerMs: number;
  /** Time that each running request adds to the time to the first event. */
  runningMs: number;
  /** Mean time for which a request occupies a slot. */
  stayMs: number;
  /** Decayed number of sends that the model is based on; 0 for the initial model. */
  sends: number;
}

/** Returns sums without any sends. */
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

/** Adds the sums of several boxes. */
export function addSendSums(parts: readonly SendSums[]): SendSums {
  const sum = createSendSums();
  const keys = Object.keys(sum) as (keyof SendSums)[];
  for (const part of parts) {
    for (const key of keys) sum[key] += part[key];
  }
  return sum;
}

/** Decays a box's sums to the given time. */
export function decaySends(own: OwnSends, nowMs: number): void {
  const factor = decayFactor(nowMs - own.decayedAtMs, HALF_LIFE_MS);
  own.decayedAtMs = nowMs;
  for (const key of Object.keys(own.sums) as (keyof SendSums)[]) own.sums[key] *= factor;
}

/**
 * Records the time to the first event of a send. Sends to a server without a free slot or with
 * many unprocessed prompts are ignored, since their waits say little about the server's speed.
 * Returns whether the send was recorded.
 */
export function recordWait(
  own: OwnSends,
  sample: { conditions: SendConditions; waitMs: number; expectedMs: number; nowMs: number },
): boolean {
  const { conditions, expectedMs, nowMs } = sample;
  const { tokens, running, unread, slots } = conditions;
  if (tokens > 0 && unread > MAX_UNREAD_PROMPTS) return false;
  if (running >= slots || !Number.isFinite(sample.waitMs) || sample.waitMs < 0) return false;
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
  return true;
}

/** Records how long a successful send occupied its slot. */
export function recordStay(own: OwnSends, stayMs: number, nowMs: number): void {
  if (!Number.isFinite(stayMs) || stayMs < 0) return;
  decaySends(own, nowMs);
  own.sums.ended += 1;
  own.sums.stayMs += stayMs;
}

/**
 * Fits the model by least squares over the recorded and the hypothetical sends, without
 * negative coefficients. Coordinate descent can enforce the lower bounds at each step.
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

/**
 * Returns the least-squares value of one coefficient while the others are fixed, including its
 * prior.
 */
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

/**
 * Returns the expected time to the first event, including the wait for a slot if all are in use.
 */
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

/** Returns the expected wait for a slot: 0 while one is free. */
export function slotWaitMs(
  model: EngineModel,
  { running, slots }: Pick<SendConditions, 'running' | 'slots'>,
): number {
  const usableSlots = Math.max(1, slots);
  return running < usableSlots ? 0 : ((running - usableSlots + 1) * model.stayMs) / usableSlots;
}
