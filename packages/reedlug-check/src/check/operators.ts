/** Simulates operators of a checked run who race each other with conflicting intents. */
import type { Intent, OperatorAnswer, OperatorRequest, Plan } from 'reedlug-decisions';
import { emit } from '../world/emit.js';
import type { World } from '../world/worldTypes.js';
import type { WorldViolation } from './callers.js';
import { CHECK_BOX_IDS, elementAtFraction, type PlannedRace } from './checkPlan.js';
import { CHECK_MODEL, CHECK_WORKSPACES } from './checkSettings.js';

/** Results of the operators' plans. */
export interface Operators {
  confirmed: number;
  conflicts: number;
  violations: WorldViolation[];
}

/** Schedules the planned races in a world and observes their answers. */
export function createOperators(world: World, races: readonly PlannedRace[]): Operators {
  const operators: Operators = { confirmed: 0, conflicts: 0, violations: [] };
  const answerHandlers = new Map<string, (answer: OperatorAnswer) => void>();
  const planByItemRevision = new Map<string, string>();
  world.observer.onOperator = (askId, answer) => answerHandlers.get(askId)?.(answer);
  for (const [index, race] of races.entries()) {
    for (const side of [0, 1] as const) {
      const atMs = race.atMs + side * race.secondAfterMs;
      world.queue.at(atMs, () => requestPlan(index, side, race));
    }
  }

  function requestPlan(index: number, side: 0 | 1, race: PlannedRace): void {
    const planId = `plan-${index}-${side}`;
    answerHandlers.set(`ask-${planId}`, (answer) => {
      if (answer.kind === 'planned') confirm(race.boxes[side], answer.plan);
    });
    const operatorId = `operator-${side}`;
    const intent = intentOf(race, side);
    send(race.boxes[side], `ask-${planId}`, { kind: 'plan', operatorId, intent, planId });
  }

  function confirm(box: number, plan: Plan): void {
    const askId = `confirm-${plan.planId}`;
    answerHandlers.set(askId, (answer) => recordConfirmation(plan, answer));
    send(box, askId, { kind: 'confirm', plan });
  }

  function recordConfirmation(plan: Plan, answer: OperatorAnswer): void {
    if (answer.kind === 'conflict') operators.conflicts += 1;
    if (answer.kind !== 'confirmed') return;
    operators.confirmed += 1;
    for (const { name, revision } of plan.basis) {
      const key = `${name}@${revision}`;
      const first = planByItemRevision.get(key);
      planByItemRevision.set(key, plan.planId);
      if (first === undefined) continue;
      const detail = `${first} and ${plan.planId} both changed ${key}`;
      operators.violations.push({ name: 'bothConfirmed', detail });
    }
  }

  function send(boxFraction: number, askId: string, ask: OperatorRequest): void {
    const box = world.boxes.get(elementAtFraction(CHECK_BOX_IDS, boxFraction) ?? '');
    if (box === undefined) return;
    const epochMs = world.epochStartMs + world.queue.nowMs();
    emit(world, box, { type: 'operatorAsked', askId, ask, epochMs });
  }
  return operators;
}

function intentOf(race: PlannedRace, side: number): Intent {
  const workspaceId = elementAtFraction(CHECK_WORKSPACES, race.item) ?? CHECK_WORKSPACES[0];
  switch (race.kind) {
    case 'setLimits':
      return {
        kind: 'setLimits',
        workspaceId,
        requestsPerSecond: 1000 + side,
        burst: 1000,
        maxQueued: 1000,
      };
    case 'setPriority':
      return { kind: 'setPriority', workspaceId, requestClass: side === 0 ? 'urgent' : 'patient' };
    case 'setEngine':
      return {
        kind: 'setEngine',
        serverId: race.item < 0.5 ? 'engine-zone-c-2' : 'engine-zone-a-2',
        wanted: { model: CHECK_MODEL, version: `v${2 + side}`, adapters: [], role: 'serve' },
      };
  }
}
