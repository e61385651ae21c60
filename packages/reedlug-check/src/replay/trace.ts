/** Parses and replays traces. A trace holds the settings and events of one box as JSON lines. */
import {
  createBoxState,
  createInvariantMemory,
  BrokenInvariantError,
  reduceChecked,
  type BoxEvent,
  type DecisionSettings,
  type Effect,
} from 'reedlug-decisions';

/** First line of a trace. */
export interface TraceHead {
  kind: 'head';
  seed: number;
  startedAtMs: number;
  settings: DecisionSettings;
}

/** A parsed trace. */
export interface Trace {
  head: TraceHead;
  events: BoxEvent[];
}

/** A parsed trace, or the reason why the text is not a valid trace. */
export type TraceResult = { kind: 'trace'; trace: Trace } | { kind: 'invalid'; fault: string };

/** Parses the text of a trace. Ignores an incomplete last line, which a crash can leave. */
export function parseTrace(text: string): TraceResult {
  const lines = text.split('\n').filter((line) => line !== '');
  const values: unknown[] = [];
  for (const [index, line] of lines.entries()) {
    try {
      values.push(JSON.parse(line));
    } catch {
      if (index === lines.length - 1) break;
      return { kind: 'invalid', fault: `line ${index + 1} is not JSON` };
    }
  }
  const [head, ...events] = values;
  if ((head as TraceHead | undefined)?.kind !== 'head') {
    return { kind: 'invalid', fault: 'line 1 is not a trace header' };
  }
  return { kind: 'trace', trace: { head: head as TraceHead, events: events as BoxEvent[] } };
}

/** Result of a replay. */
export interface ReplayResult {
  events: number;
  effects: number;
  /** Chained digest of the effects as JSON, which is equal for equal events. */
  effectsDigest: string;
  outcomes: Record<string, { outcome: string; reason: string; tokens: number }>;
  violation: string | undefined;
}

/** Replays a trace and checks the invariants after each event. */
export function replayTrace(trace: Trace, digest: (text: string) => string): ReplayResult {
  const { head, events } = trace;
  const state = createBoxState({
    settings: head.settings,
    seed: head.seed,
    nowMs: head.startedAtMs,
  });
  const memory = createInvariantMemory();
  const outcomes: ReplayResult['outcomes'] = {};
  let effectCount = 0;
  let effectsDigest = '';
  let violation: string | undefined;
  for (const event of events) {
    try {
      const effects = reduceChecked(memory, state, event);
      effectCount += effects.length;
      effectsDigest = digest(effectsDigest + JSON.stringify(effects));
      for (const effect of effects) recordOutcome(outcomes, effect);
    } catch (error) {
      if (!(error instanceof BrokenInvariantError)) throw error;
      violation = error.message;
      break;
    }
  }
  return { events: events.length, effects: effectCount, effectsDigest, outcomes, violation };
}

function recordOutcome(outcomes: ReplayResult['outcomes'], effect: Effect): void {
  if (effect.type !== 'finishRequest') return;
  const { requestId, outcome, reason, completionTokens } = effect;
  outcomes[requestId] = { outcome, reason, tokens: completionTokens };
}

/** Expected outcomes of a trace. */
export interface Expectation {
  effectsDigest: string | undefined;
  outcomes: Record<string, { outcome: string; reason?: string; tokens?: number }>;
}

/** Returns the differences between a replay and what was expected of it. */
export function differences(result: ReplayResult, expected: Expectation): string[] {
  const mismatches: string[] = [];
  if (result.violation !== undefined) mismatches.push(`broken invariant: ${result.violation}`);
  if (expected.effectsDigest !== undefined && expected.effectsDigest !== result.effectsDigest) {
    mismatches.push(`effects digest ${result.effectsDigest}, expected ${expected.effectsDigest}`);
  }
  for (const [requestId, expectedOutcome] of Object.entries(expected.outcomes)) {
    const actualOutcome = result.outcomes[requestId];
    for (const [field, value] of Object.entries(expectedOutcome)) {
      const actual = actualOutcome?.[field as keyof typeof actualOutcome];
      if (actual !== value)
        mismatches.push(`${requestId}: ${field} ${String(actual)}, expected ${value}`);
    }
  }
  return mismatches;
}
