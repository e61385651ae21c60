/**
 * Speeds of the servers of a service, from the times to the first event that the service's model
 * expected and that were observed.
 *
 * It answers a load whose largest prompts meet their target only at some of the servers, because
 * they take most of it at the mean speed. A single send says little: load figures are some tenths
 * of a second old, and engines have slow phases of a few hundred ms. So times are summed over all
 * boxes. A ratio of sums gives long prompts more weight; the times of short ones are mostly those
 * of the network.
 *
 * The noise is estimated from the sends. Those of even and odd blocks of time are summed apart. A
 * speed shows in both halves alike, and whatever differs between the halves of one server is
 * noise, including slow phases, which are shorter than a block.
 */
import type { SpeedSums } from '../types/serverSpeed.js';
import { decayFactor } from './decayFactor.js';

/**
 * Half-life of the sums, in ms. With four sends a second to each engine, a speed rests on some
 * 45 sends, and most of a lasting change is followed within 10 s.
 */
export const SPEED_HALF_LIFE_MS = 8000;
/**
 * Length of a block, in ms: several times a slow phase, and short enough for both halves to fill
 * within seconds.
 */
const BLOCK_MS = 2000;
/**
 * Maximum observed time of one send, as a multiple of the expected one, as in the model: one
 * stalled send must not look like a speed.
 */
const MAX_WAIT_RATIO = 4;
/**
 * Minimum expected time that the multiple applies to, in ms: below it, network and timers dominate.
 */
const MIN_EXPECTED_MS = 20;

/**
 * Bounds of a speed: beyond them, a server is faulty rather than slow, and its failures and recent
 * slowness decide.
 */
const MIN_SPEED = 0.25;
const MAX_SPEED = 4;

/** How far servers must differ for speeds to be used. */
interface DifferenceRule {
  /** Deviation of one server from the mean, as a logarithm. */
  deviation: number;
  /**
   * Standard errors of that deviation beyond the largest one that chance gives among the servers.
   */
  extraErrors: number;
  /** Standard deviation of all servers' speeds, as a logarithm and without noise. */
  spread: number;
  /** Standard errors by which the servers' variance exceeds that of the noise, as a logarithm. */
  varianceErrors: number;
}

/**
 * Differences from which speeds are used. Below them, hardly any request is in time on one server
 * and late on another. A service of equal servers is evaluated 86,400 times a day and must not
 * change its placement, so chance has to be excluded by 5 standard errors.
 */
const START_RULE: DifferenceRule = {
  deviation: Math.log(1.25),
  extraErrors: 3,
  spread: 0.15,
  varianceErrors: 5,
};
/**
 * Differences down to which they stay in use: about half of the above, so that they do not come and
 * go.
 */
const KEEP_RULE: DifferenceRule = {
  deviation: Math.log(1.12),
  extraErrors: 1.5,
  spread: 0.08,
  varianceErrors: 1,
};

/**
 * Expected time for which the halves of a server are compared at least, in ms, each: some sends,
 * below which the logarithm of their ratio is far from normal.
 */
const MIN_HALF_MS = 150;
/**
 * Prior for the noise, which is the variance of a ratio's logarithm times its expected time, in ms:
 * that of long prompts with widely varying times, so that few sends show no speed.
 */
const PRIOR_NOISE_MS = 150;
/** Weight of that prior, as a number of servers: three servers alone may agree by chance. */
const PRIOR_NOISE_SERVERS = 6;
/** Minimum deviation of either half of a server's sums, as a share of that of the whole. */
const HALF_SHARE = 0.6;
/**
 * Prior variance of the logarithm of speeds: most are within a factor of 1.5. The less evidence
 * there is for a speed, the closer it is moved to 1.
 */
const SPEED_VARIANCE = 0.16;

/** Speeds of the servers of a service. */
export interface SpeedEstimate {
  /** False while the servers do not differ beyond noise; all speeds are then 1. */
  inUse: boolean;
  speeds: Map<string, number>;
  /** Total expected time of the sends behind the estimate, in ms. */
  evidenceMs: number;
  /** Standard deviation of the logarithm of a ratio over one second of expected time. */
  noise: number;
}

/** Returns sums without any sends. */
export function createSpeedSums(): SpeedSums {
  return { evenExpectedMs: 0, evenObservedMs: 0, oddExpectedMs: 0, oddObservedMs: 0 };
}

/** Returns the sums of two boxes, each multiplied by a factor. */
export function combineSpeedSums(
  first: SpeedSums,
  firstFactor: number,
  second: SpeedSums,
  secondFactor: number,
): SpeedSums {
  const combine = (one: number, other: number): number =>
    Math.max(0, one * firstFactor + other * secondFactor);
  return {
    evenExpectedMs: combine(first.evenExpectedMs, second.evenExpectedMs),
    evenObservedMs: combine(first.evenObservedMs, second.evenObservedMs),
    oddExpectedMs: combine(first.oddExpectedMs, second.oddExpectedMs),
    oddObservedMs: combine(first.oddObservedMs, second.oddObservedMs),
  };
}

/** Returns sums decayed over a time. */
export function decaySpeedSums(sums: SpeedSums, elapsedMs: number): SpeedSums {
  return combineSpeedSums(sums, decayFactor(elapsedMs, SPEED_HALF_LIFE_MS), sums, 0);
}

/** Returns the sums with a send added, whose first event arrived at the given wall-clock time. */
export function withSend(
  sums: SpeedSums,
  send: { expectedMs: number; waitMs: number; wallClockMs: number },
): SpeedSums {
  const { expectedMs, waitMs, wallClockMs } = send;
  if (!Number.isFinite(expectedMs) || !Number.isFinite(waitMs)) return sums;
  if (expectedMs <= 0 || waitMs < 0) return sums;
  const observedMs = Math.min(waitMs, MAX_WAIT_RATIO * Math.max(MIN_EXPECTED_MS, expectedMs));
  return Math.floor(wallClockMs / BLOCK_MS) % 2 === 0
    ? {
        ...sums,
        evenExpectedMs: sums.evenExpectedMs + expectedMs,
        evenObservedMs: sums.evenObservedMs + observedMs,
      }
    : {
        ...sums,
        oddExpectedMs: sums.oddExpectedMs + expectedMs,
        oddObservedMs: sums.oddObservedMs + observedMs,
      };
}

/** Returns the total expected time of sums, in ms, which measures how much they show. */
export function evidenceOf({ evenExpectedMs, oddExpectedMs }: SpeedSums): number {
  return evenExpectedMs + oddExpectedMs;
}

/**
 * Logarithms of a server's ratios of observed to expected time, relative to those of its service.
 */
interface Ratios {
  id: string;
  evidenceMs: number;
  whole: number;
  /** Of the halves; undefined while they hold too little. */
  even: number | undefined;
  odd: number | undefined;
  /** Sum of the reciprocal expected times of the halves. */
  halfErrors: number;
}

/**
 * Estimates the speeds of the servers of a service. They are used once one server deviates from the
 * mean, or all together differ, by more than callers notice and more than chance explains, and
 * until that is over. A server counts the more towards its own speed the longer its sends were.
 */
export function estimateSpeeds(
  sumsByServer: ReadonlyMap<string, SpeedSums>,
  wasInUse: boolean,
): SpeedEstimate {
  const ratios = ratiosOf(sumsByServer);
  const evidenceMs = ratios.reduce((sum, ratio) => sum + ratio.evidenceMs, 0);
  const noiseVarianceMs = noiseOf(ratios);
  const noise = Math.sqrt(noiseVarianceMs / 1000);
  if (!differBeyondNoise(ratios, noiseVarianceMs, wasInUse ? KEEP_RULE : START_RULE)) {
    return { inUse: false, speeds: new Map(), evidenceMs, noise };
  }
  const priorMs = noiseVarianceMs / SPEED_VARIANCE;
  const speeds = ratios.map(({ id, evidenceMs: ownMs, whole }) => {
    const speed = Math.exp((-whole * ownMs) / (ownMs + priorMs));
    return { id, ownMs, speed };
  });
  // Expected times at these speeds add up to those of the model, which is fitted over all servers.
  const normalization =
    speeds.reduce((sum, { ownMs, speed }) => sum + ownMs / speed, 0) / evidenceMs;
  const bounded = speeds.map(({ id, speed }): [string, number] => [
    id,
    Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed * normalization)),
  ]);
  return { inUse: true, speeds: new Map(bounded), evidenceMs, noise };
}

function ratiosOf(sumsByServer: ReadonlyMap<string, SpeedSums>): Ratios[] {
  let expectedMs = 0;
  let observedMs = 0;
  for (const sums of sumsByServer.values()) {
    expectedMs += evidenceOf(sums);
    observedMs += sums.evenObservedMs + sums.oddObservedMs;
  }
  if (!(expectedMs > 0 && observedMs > 0)) return [];
  const mean = observedMs / expectedMs;
  const ratios: Ratios[] = [];
  for (const [id, sums] of sumsByServer) {
    const evidenceMs = evidenceOf(sums);
    if (!(evidenceMs > 0)) continue;
    const { evenExpectedMs, evenObservedMs, oddExpectedMs, oddObservedMs } = sums;
    const hasHalves = evenExpectedMs >= MIN_HALF_MS && oddExpectedMs >= MIN_HALF_MS;
    ratios.push({
      id,
      evidenceMs,
      whole: logRatio(evenObservedMs + oddObservedMs, evidenceMs * mean),
      even: hasHalves ? logRatio(evenObservedMs, evenExpectedMs * mean) : undefined,
      odd: hasHalves ? logRatio(oddObservedMs, oddExpectedMs * mean) : undefined,
      halfErrors: hasHalves ? 1 / evenExpectedMs + 1 / oddExpectedMs : 0,
    });
  }
  return ratios;
}

/** Returns the logarithm of a ratio, within the bounds of speeds. */
function logRatio(observedMs: number, expectedMs: number): number {
  return Math.log(Math.min(1 / MIN_SPEED, Math.max(1 / MAX_SPEED, observedMs / expectedMs)));
}

/**
 * Returns the variance of a ratio's logarithm times its expected time, in ms, by the differences
 * between halves.
 */
function noiseOf(ratios: readonly Ratios[]): number {
  let weighted = PRIOR_NOISE_SERVERS * PRIOR_NOISE_MS;
  let servers = PRIOR_NOISE_SERVERS;
  for (const { even, odd, halfErrors } of ratios) {
    if (even === undefined || odd === undefined) continue;
    weighted += (even - odd) ** 2 / halfErrors;
    servers += 1;
  }
  return weighted / servers;
}

/** Returns whether one server differs from the mean beyond noise, or all of them together do. */
function differBeyondNoise(
  ratios: readonly Ratios[],
  noiseVarianceMs: number,
  rule: DifferenceRule,
): boolean {
  if (ratios.length < 2) return false;
  const errors = Math.sqrt(2 * Math.log(ratios.length)) + rule.extraErrors;
  const isOneDifferent = ratios.some(({ whole, even, odd, evidenceMs }) => {
    if (even === undefined || odd === undefined) return false;
    // One stalled long prompt shows in one half only.
    const lesser = even * odd > 0 ? Math.min(Math.abs(even), Math.abs(odd)) : 0;
    const isInBothHalves = lesser > HALF_SHARE * Math.abs(whole);
    const standardError = Math.sqrt(noiseVarianceMs / evidenceMs);
    return isInBothHalves && Math.abs(whole) > Math.max(rule.deviation, errors * standardError);
  });
  return isOneDifferent || isVarianceBeyondNoise(ratios, noiseVarianceMs, rule);
}

/**
 * Compares the variance between servers with that of the noise. The logarithm of the quotient of
 * two variances that rest on n and m values has a variance of about 2 / n + 2 / m.
 */
function isVarianceBeyondNoise(
  ratios: readonly Ratios[],
  noiseVarianceMs: number,
  { spread, varianceErrors }: DifferenceRule,
): boolean {
  const compared = ratios.filter(({ even }) => even !== undefined);
  if (compared.length < 2) return false;
  const evidenceMs = compared.reduce((sum, ratio) => sum + ratio.evidenceMs, 0);
  const mean =
    compared.reduce((sum, { whole, evidenceMs: ms }) => sum + whole * ms, 0) / evidenceMs;
  const squares = compared.reduce(
    (sum, { whole, evidenceMs: ms }) => sum + ms * (whole - mean) ** 2,
    0,
  );
  const freedom = compared.length - 1;
  const quotient = squares / freedom / noiseVarianceMs;
  const excess = (squares - freedom * noiseVarianceMs) / evidenceMs;
  const error = Math.sqrt(2 / freedom + 2 / (compared.length + PRIOR_NOISE_SERVERS));
  return excess > spread ** 2 && Math.log(quotient) > varianceErrors * error;
}
