/**
 * Confirms a plan by a transaction that adds the next revision to the log.
 *
 * The log key of the next revision must not exist, and the items that the plan changes
 * must have the revisions for which it was drafted. A conflict on the log key means that
 * another plan was written first: this box applies it, checks the items of its own plan
 * again and tries the following revision. After a lost answer, it reads the log row back
 * and looks for the id of its plan.
 */
import { itemRevision, liveInZone, type TableAnswer, type TableRow } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import type { OperatorAnswer, OperatorRequest, Plan } from '../types/plan.js';
import type { BoxState, Step } from '../state.js';
import type { ConfirmStep, PendingConfirm } from '../types/tableOp.js';
import { nextId } from '../state.js';
import { configLogKey, recordPlan, acceptDeltas, type ConfigLogValue } from '../slices/config.js';
import { confirmedPlan, digestMatches, draftPlan, draftUndo } from './draft.js';

/** Maximum number of attempts before the operator is asked to confirm again. */
const MAX_TRIES = 16;
/** How long the answer waits until the plan is in force in every zone, in ms. */
const ZONES_TIMEOUT_MS = 5000;

/** Handles a request from an operator. */
export function onOperatorAsked(
  state: BoxState,
  step: Step,
  event: EventOf<'operatorAsked'>,
): void {
  const { askId, ask, epochMs } = event;
  state.epochMs = Math.max(state.epochMs, epochMs);
  const reply = immediateReply(state, ask, epochMs);
  if (reply !== undefined) sendAnswer(step, askId, reply);
  else if (ask.kind === 'confirm') startConfirm(state, step, askId, ask.plan);
}

function immediateReply(
  state: BoxState,
  ask: OperatorRequest,
  epochMs: number,
): OperatorAnswer | undefined {
  switch (ask.kind) {
    case 'plan':
      return draftPlan(state, { ...ask, epochMs });
    case 'undo':
      return draftUndo(state, { ...ask, epochMs });
    case 'listPlans':
      return { kind: 'plans', plans: state.confirmedPlans };
    case 'confirm':
      return undefined;
  }
}

function sendAnswer(step: Step, askId: string, reply: OperatorAnswer): void {
  step.effects.push({ type: 'answerOperator', askId, answer: reply });
}

/** Starts to confirm a plan if its digest matches; the answer is sent under `askId`. */
export function startConfirm(state: BoxState, step: Step, askId: string, plan: Plan): void {
  if (!digestMatches(plan)) {
    const fault = 'the plan is not as it was drafted: its digest does not fit; plan again';
    sendAnswer(step, askId, { kind: 'invalid', faults: [fault] });
    return;
  }
  tryRevision(state, step, askId, plan, 1);
}

function tryRevision(state: BoxState, step: Step, askId: string, plan: Plan, tries: number): void {
  const known = state.confirmedPlans.find((item) => item.planId === plan.planId);
  if (known !== undefined) {
    waitForZones(state, step, askId, known.revision);
    return;
  }
  const conflict = conflictOf(state, plan);
  if (conflict !== undefined) {
    sendAnswer(step, askId, conflict);
    return;
  }
  if (tries > MAX_TRIES) {
    sendAnswer(step, askId, { kind: 'unavailable', detail: 'too many other plans; confirm again' });
    return;
  }
  const revision = state.config.revision + 1;
  sendTableOp(state, step, askId, plan, tries, { kind: 'write', revision });
}

/** Returns a conflict for the first item that has changed since the plan was drafted, or undefined. */
function conflictOf(state: BoxState, plan: Plan): OperatorAnswer | undefined {
  for (const { name, revision } of plan.basis) {
    const current = itemRevision(state.config, name);
    if (current === revision) continue;
    const item = state.config.items.get(name);
    return {
      kind: 'conflict',
      item: name,
      firstPlanId: item?.planId ?? '',
      firstOperatorId: item?.author ?? '',
      firstRevision: current,
    };
  }
  return undefined;
}

function sendTableOp(
  state: BoxState,
  step: Step,
  askId: string,
  plan: Plan,
  tries: number,
  confirmStep: ConfirmStep,
): void {
  const opId = nextId(state, 'op');
  state.tableOps.set(opId, { kind: 'confirm', askId, plan, tries, step: confirmStep });
  const key = configLogKey(confirmStep.revision);
  if (confirmStep.kind === 'readBack') {
    step.effects.push({ type: 'requestTable', opId, op: { kind: 'read', keys: [key] } });
    return;
  }
  const value = logValue(plan, confirmStep.revision);
  const writes = [{ key, expectVersion: 0, value }];
  step.effects.push({ type: 'requestTable', opId, op: { kind: 'transact', writes } });
}

function logValue(plan: Plan, revision: number): ConfigLogValue {
  const { planId, changes, operatorId: author } = plan;
  return { delta: { revision, planId, author, changes }, plan: confirmedPlan(plan, revision) };
}

/** Handles the table's answer to a step of confirming a plan. */
export function onConfirmAnswered(
  state: BoxState,
  step: Step,
  op: { askId: string; plan: Plan; tries: number; step: ConfirmStep },
  tableAnswer: TableAnswer,
): void {
  const { askId, plan, tries } = op;
  const { revision } = op.step;
  switch (tableAnswer.kind) {
    case 'unknown':
      onUnknown(state, step, op);
      return;
    case 'refused':
      if (tableAnswer.reason === 'throttled') {
        sendAnswer(step, askId, {
          kind: 'unavailable',
          detail: 'the table is busy; confirm again',
        });
        return;
      }
      onRowExists(state, step, op, tableAnswer.rows);
      return;
    case 'done':
      if (op.step.kind === 'readBack') {
        if (tableAnswer.rows.length === 0) tryRevision(state, step, askId, plan, tries + 1);
        else onRowExists(state, step, op, tableAnswer.rows);
        return;
      }
      applyLocally(state, step, logValue(plan, revision));
      waitForZones(state, step, askId, revision);
      return;
  }
}

function onUnknown(
  state: BoxState,
  step: Step,
  op: { askId: string; plan: Plan; tries: number; step: ConfirmStep },
): void {
  const { askId, plan, tries } = op;
  if (tries >= MAX_TRIES) {
    const detail = 'the table did not answer; see reedlug plans before confirming again';
    sendAnswer(step, askId, { kind: 'unknown', detail });
    return;
  }
  sendTableOp(state, step, askId, plan, tries + 1, {
    kind: 'readBack',
    revision: op.step.revision,
  });
}

/** Handles an existing row at the revision: this plan's after a lost answer, or that of another plan. */
function onRowExists(
  state: BoxState,
  step: Step,
  op: { askId: string; plan: Plan; tries: number; step: ConfirmStep },
  rows: readonly TableRow[],
): void {
  for (const row of rows) applyLocally(state, step, row.value as ConfigLogValue);
  tryRevision(state, step, op.askId, op.plan, op.tries + 1);
}

function applyLocally(state: BoxState, step: Step, value: ConfigLogValue): void {
  state.configSourceSeen = true;
  recordPlan(state, value.plan);
  acceptDeltas(state, step, [value.delta], true);
}

function waitForZones(state: BoxState, step: Step, askId: string, revision: number): void {
  state.pendingConfirms.push({ askId, revision, untilMs: step.nowMs + ZONES_TIMEOUT_MS });
  pendingConfirmsTick(state, step);
}

/** Answers confirmed plans that are in force in every zone or have waited long enough. */
export function pendingConfirmsTick(state: BoxState, step: Step): void {
  const stillPending: PendingConfirm[] = [];
  for (const confirm of state.pendingConfirms) {
    const { inForce, notReached } = zonesWithRevision(state, confirm.revision);
    if (notReached.length > 0 && step.nowMs < confirm.untilMs) {
      stillPending.push(confirm);
      continue;
    }
    sendAnswer(step, confirm.askId, {
      kind: 'confirmed',
      revision: confirm.revision,
      zonesInForce: inForce,
      zonesNotReached: notReached,
    });
  }
  state.pendingConfirms = stillPending;
}

/** Returns the zones in which every live box has the revision, and the other ones. */
function zonesWithRevision(
  state: BoxState,
  revision: number,
): { inForce: string[]; notReached: string[] } {
  const inForce: string[] = [];
  const notReached: string[] = [];
  for (const { name } of state.settings.zones) {
    if (!state.settings.boxes.some((box) => box.zone === name)) continue;
    (zoneHasRevision(state, name, revision) ? inForce : notReached).push(name);
  }
  return { inForce, notReached };
}

function zoneHasRevision(state: BoxState, zone: string, revision: number): boolean {
  const ids = liveInZone(state.boxMembers, zone);
  if (ids.length === 0) return false;
  return ids.every((id) => {
    if (id === state.settings.boxId) return state.config.revision >= revision;
    return (state.peers.get(id)?.revision ?? 0) >= revision;
  });
}
