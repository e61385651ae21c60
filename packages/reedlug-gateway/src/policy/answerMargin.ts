/**
 * Time that an answer of the store may take beyond its wait. It is estimated from the answers before, as
 * the retransmission time-out of TCP is: the smoothed time plus four times its smoothed deviation, doubled after
 * each call without an answer.
 */

/** Margin before the first answer, in ms. */
const INITIAL_MARGIN_MS = 350;
/** Shortest margin, in ms: a box that waits for its processor reads answers late. */
const MIN_MARGIN_MS = 150;
/** Longest margin, in ms: a slow store takes up to 300 ms. */
const MAX_MARGIN_MS = 700;
/** Weights of the newest answer in the smoothed time and deviation, and factor of the deviation, as in RFC 6298. */
const TIME_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATION_FACTOR = 4;

/** Estimate of the margin of one feed. */
export interface AnswerMargin {
  marginMs: number;
  /** Smoothed time of answers and its deviation, in ms; undefined before the first answer. */
  smoothed: { timeMs: number; deviationMs: number } | undefined;
}

export function createAnswerMargin(): AnswerMargin {
  return { marginMs: INITIAL_MARGIN_MS, smoothed: undefined };
}

/** Records the time that an answer took beyond its wait. */
export function recordAnswerTime(margin: AnswerMargin, tookMs: number): void {
  const { smoothed } = margin;
  const timeMs = smoothed?.timeMs ?? tookMs;
  const deviationMs = smoothed?.deviationMs ?? tookMs / 2;
  margin.smoothed = {
    timeMs: timeMs + TIME_WEIGHT * (tookMs - timeMs),
    deviationMs: deviationMs + DEVIATION_WEIGHT * (Math.abs(tookMs - timeMs) - deviationMs),
  };
  const estimateMs = margin.smoothed.timeMs + DEVIATION_FACTOR * margin.smoothed.deviationMs;
  margin.marginMs = Math.min(MAX_MARGIN_MS, Math.max(MIN_MARGIN_MS, estimateMs));
}

/** Records a call that brought no answer in its time. */
export function recordMissingAnswer(margin: AnswerMargin): void {
  margin.marginMs = Math.min(MAX_MARGIN_MS, margin.marginMs * 2);
}
