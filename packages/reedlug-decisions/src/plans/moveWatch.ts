/**
 * Monitors pools that are being moved to another site. When too many answers at the new site
 * miss their target, this box itself drafts and confirms a plan that halts the move at its
 * current share. An operator resumes the move by undoing that plan.
 */
import { Outcome } from 'reedlug-coordination';
import type { RequestRecord } from '../types/request.js';
import { RequestClass } from '../types/settings.js';
import type { BoxState, Step } from '../state.js';
import { nextId, siteOfZone } from '../state.js';
import { log } from '../slices/log.js';
import { startConfirm } from './confirm.js';
import { draftPlan } from './draft.js';
import { itemName, itemValue, type PoolMove } from './items.js';
import { movedShare } from './rules.js';

/** Operator id under which the monitor confirms its plans. */
const MONITOR_OPERATOR_ID = 'reedlug';
/** Length of the window in which answers are counted, in ms. */
const WINDOW_MS = 60_000;
/** Minimum number of answers in a window before a move can be halted. */
const MIN_ANSWERS = 20;

/** Counts an answer of a pool that is being moved if the request ran at the new site. */
export function recordMoveAnswer(state: BoxState, record: RequestRecord, outcome: Outcome): void {
  const { pool } = record.spec;
  const move = itemValue<PoolMove>(state, itemName.poolMove(pool));
  if (move === undefined || move.haltedAtShare !== undefined) return;
  const server = state.servers.get(record.attempts.at(-1)?.serverId ?? '');
  if (server === undefined) return;
  if (siteOfZone(state.settings, server.spec.zone) !== move.toSite) return;
  const window = state.moveWatches.get(pool) ?? { sinceMs: state.nowMs, seen: 0, missed: 0 };
  window.seen += 1;
  if (outcome !== Outcome.completed || isLate(state, record)) window.missed += 1;
  state.moveWatches.set(pool, window);
}

function isLate(state: BoxState, record: RequestRecord): boolean {
  const { urgentTargetMs, patientTargetMs } = state.settings.policy;
  const isUrgent = record.spec.requestClass === RequestClass.urgent;
  return (record.firstTokenMs ?? 0) > (isUrgent ? urgentTargetMs : patientTargetMs);
}

/** Halts moves with too many answers that missed their target, and drops windows that are over. */
export function moveWatchTick(state: BoxState, step: Step): void {
  for (const [pool, window] of state.moveWatches) {
    const tooManyMissed = window.missed / window.seen > state.settings.policy.haltMissShare;
    if (window.seen >= MIN_ANSWERS && tooManyMissed) {
      state.moveWatches.delete(pool);
      haltMove(state, step, pool);
    } else if (step.nowMs - window.sinceMs > WINDOW_MS) {
      state.moveWatches.delete(pool);
    }
  }
}

function haltMove(state: BoxState, step: Step, pool: string): void {
  const move = itemValue<PoolMove>(state, itemName.poolMove(pool));
  if (move === undefined || move.haltedAtShare !== undefined) return;
  const atShare = movedShare(move, state.epochMs);
  const drafted = draftPlan(state, {
    operatorId: MONITOR_OPERATOR_ID,
    planId: nextId(state, 'halt'),
    intent: { kind: 'haltMove', model: pool, atShare },
    epochMs: state.epochMs,
  });
  if (drafted.kind !== 'planned') return;
  log(step, 'moveHalted', { model: pool, share: atShare, plan: drafted.plan.planId });
  startConfirm(state, step, drafted.plan.planId, drafted.plan);
}
