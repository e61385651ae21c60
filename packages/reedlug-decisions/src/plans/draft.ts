/** Drafts a plan from an intent: the changes, their times, the cost and the risks. */
import { createHash } from 'node:crypto';
import { itemRevision, MemberState, type ConfigChange } from 'reedlug-coordination';
import type { ConfirmedPlan, Intent, OperatorAnswer, Plan, PlanStep } from '../types/plan.js';
import { ServerKind } from '../types/settings.js';
import type { BoxState } from '../state.js';
import type { ServerView } from '../types/views.js';
import { siteOfZone } from '../state.js';
import { intentFaults } from './intentFaults.js';
import { itemName, itemValue, type PoolMove, type WorkspaceItem } from './items.js';

/** A plan without its digest. */
type Draft = Omit<Plan, 'digest'>;

/** Drafts a plan without changing the state. */
export function draftPlan(
  state: BoxState,
  params: { operatorId: string; planId: string; intent: Intent; epochMs: number },
): OperatorAnswer {
  const { intent, epochMs } = params;
  const faults = intentFaults(state, intent, epochMs);
  if (faults.length > 0) return { kind: 'invalid', faults };
  const changes = changesFor(state, intent);
  const effects = planEffects(state, intent);
  const draft: Draft = {
    planId: params.planId,
    operatorId: params.operatorId,
    createdAtEpochMs: epochMs,
    intent,
    steps: stepsFor(intent, epochMs),
    ...effects,
    changes,
    undo: changes.map((change) => undoOf(state, change)),
    basis: changes.map(({ name }) => ({ name, revision: itemRevision(state.config, name) })),
  };
  return { kind: 'planned', plan: { ...draft, digest: digestOf(draft) } };
}

/** Drafts the plan that undoes a confirmed one. */
export function draftUndo(
  state: BoxState,
  params: { operatorId: string; planId: string; newPlanId: string; epochMs: number },
): OperatorAnswer {
  const confirmed = state.confirmedPlans.find((plan) => plan.planId === params.planId);
  if (confirmed === undefined) {
    return { kind: 'invalid', faults: [`no confirmed plan ${params.planId}; see reedlug plans`] };
  }
  const intent: Intent = { kind: 'restore', changes: confirmed.undo };
  return draftPlan(state, { ...params, planId: params.newPlanId, intent });
}

/** Returns the SHA-256 of a plan without its digest field. */
export function digestOf(draft: Draft): string {
  const { planId, operatorId, createdAtEpochMs, intent, steps, boxes, costPerHourBefore } = draft;
  const { costPerHourAfter, tokensAtStake, risks, changes, undo, basis } = draft;
  const fields = [planId, operatorId, createdAtEpochMs, intent, steps, boxes, costPerHourBefore];
  const more = [costPerHourAfter, tokensAtStake, risks, changes, undo, basis];
  return createHash('sha256')
    .update(JSON.stringify([...fields, ...more]))
    .digest('hex');
}

/** True if a plan is unchanged since it was drafted. */
export function digestMatches(plan: Plan): boolean {
  return digestOf(plan) === plan.digest;
}

function changesFor(state: BoxState, intent: Intent): ConfigChange[] {
  switch (intent.kind) {
    case 'createWorkspace':
      return [workspaceChange(intent, intent.keySha256)];
    case 'setLimits': {
      const before = itemValue<WorkspaceItem>(state, itemName.workspace(intent.workspaceId));
      return [workspaceChange(intent, before?.keySha256)];
    }
    case 'createService':
      return [
        { name: itemName.service(intent.service), value: { deduplicates: intent.deduplicates } },
      ];
    case 'setPriority':
      return [
        {
          name: itemName.priority(intent.workspaceId),
          value: { requestClass: intent.requestClass },
        },
      ];
    case 'movePool': {
      const { toSite, startsAtEpochMs, endsAtEpochMs, steps } = intent;
      const move: PoolMove = {
        toSite,
        startsAtEpochMs,
        endsAtEpochMs,
        steps,
        haltedAtShare: undefined,
      };
      return [{ name: itemName.poolMove(intent.model), value: move }];
    }
    case 'keepOffReclaimable': {
      const { startsAtEpochMs, endsAtEpochMs } = intent;
      const value = { startsAtEpochMs, endsAtEpochMs };
      return [{ name: itemName.keepOff(intent.requestClass), value }];
    }
    case 'setEngine':
      return [{ name: itemName.wanted(intent.serverId), value: intent.wanted }];
    case 'haltMove': {
      const name = itemName.poolMove(intent.model);
      const move = itemValue<PoolMove>(state, name);
      return [{ name, value: { ...move, haltedAtShare: intent.atShare } }];
    }
    case 'restore':
      return [...intent.changes];
  }
}

function workspaceChange(
  intent: Extract<Intent, { kind: 'createWorkspace' | 'setLimits' }>,
  keySha256: string | undefined,
): ConfigChange {
  const { workspaceId: id, requestsPerSecond, burst, maxQueued } = intent;
  const value: WorkspaceItem = { id, requestsPerSecond, burst, maxQueued, keySha256 };
  return { name: itemName.workspace(id), value };
}

function undoOf(state: BoxState, change: ConfigChange): ConfigChange {
  return { name: change.name, value: state.config.items.get(change.name)?.value };
}

function stepsFor(intent: Intent, epochMs: number): PlanStep[] {
  switch (intent.kind) {
    case 'createWorkspace':
      return [{ atEpochMs: epochMs, text: `create workspace ${intent.workspaceId}` }];
    case 'createService':
      return [{ atEpochMs: epochMs, text: `create service ${intent.service}` }];
    case 'setPriority':
      return [
        {
          atEpochMs: epochMs,
          text: `requests of ${intent.workspaceId} are ${intent.requestClass}`,
        },
      ];
    case 'setLimits':
      return [{ atEpochMs: epochMs, text: `new limits for ${intent.workspaceId}` }];
    case 'movePool':
      return moveSteps(intent);
    case 'keepOffReclaimable':
      return [
        {
          atEpochMs: intent.startsAtEpochMs,
          text: `${intent.requestClass} leaves reclaimable boxes`,
        },
        { atEpochMs: intent.endsAtEpochMs, text: `${intent.requestClass} may use them again` },
      ];
    case 'setEngine': {
      const { model, version, role } = intent.wanted;
      const text = `engine ${intent.serverId}: ${model} ${version}, role ${role}`;
      return [{ atEpochMs: epochMs, text }];
    }
    case 'haltMove': {
      const share = Math.round(intent.atShare * 100);
      return [{ atEpochMs: epochMs, text: `the move of ${intent.model} halts at ${share}%` }];
    }
    case 'restore':
      return intent.changes.map(({ name }) => ({ atEpochMs: epochMs, text: `restore ${name}` }));
  }
}

function moveSteps(intent: Extract<Intent, { kind: 'movePool' }>): PlanStep[] {
  const spanMs = intent.endsAtEpochMs - intent.startsAtEpochMs;
  const steps: PlanStep[] = [];
  for (let step = 1; step <= intent.steps; step += 1) {
    const share = Math.round((100 * step) / intent.steps);
    const atEpochMs = intent.startsAtEpochMs + (spanMs * step) / intent.steps;
    const text = `${share}% of the conversations of ${intent.model} run at ${intent.toSite}`;
    steps.push({ atEpochMs, text });
  }
  return steps;
}

type PlanEffects = Pick<
  Plan,
  'boxes' | 'costPerHourBefore' | 'costPerHourAfter' | 'tokensAtStake' | 'risks'
>;

function planEffects(state: BoxState, intent: Intent): PlanEffects {
  const before = costPerHour(state, liveEngines(state));
  const unchanged: PlanEffects = {
    boxes: [],
    costPerHourBefore: before,
    costPerHourAfter: before,
    tokensAtStake: 0,
    risks: [],
  };
  switch (intent.kind) {
    case 'movePool':
      return moveEffects(state, intent, unchanged);
    case 'keepOffReclaimable':
      return keepOffEffects(state, unchanged);
    case 'setEngine': {
      const tokensAtStake = cachedTokensAt(state, new Set([intent.serverId]));
      return { ...unchanged, tokensAtStake };
    }
    case 'createWorkspace':
    case 'createService':
    case 'setPriority':
    case 'setLimits':
    case 'haltMove':
    case 'restore':
      return unchanged;
  }
}

function moveEffects(
  state: BoxState,
  intent: Extract<Intent, { kind: 'movePool' }>,
  unchanged: PlanEffects,
): PlanEffects {
  const engines = (state.serversByPool.get(intent.model) ?? []).filter((view) => isUp(state, view));
  const old = engines.filter((view) => siteOf(state, view) !== intent.toSite);
  const present = engines.length - old.length;
  const missing = Math.max(0, old.length - present);
  const offer = state.settings.offers
    .filter((item) => siteOfZone(state.settings, item.zone) === intent.toSite)
    .sort((a, b) => a.pricePerHour - b.pricePerHour)[0];
  const risks: string[] = [];
  if (missing > 0 && offer === undefined) {
    risks.push(
      `${missing} more engines are needed at ${intent.toSite}, and no offer is known there`,
    );
  }
  if (present === 0) risks.push(`no engine of ${intent.model} is up at ${intent.toSite} yet`);
  const started = offer === undefined ? [] : [{ ...boxKindOf(offer), countDelta: missing }];
  const stopped = old.map((view) => ({ ...boxKindOf(view.spec), countDelta: -1 }));
  const oldCost = costPerHour(state, old);
  const newCost = missing * (offer?.pricePerHour ?? 0);
  return {
    boxes: [...started, ...stopped],
    costPerHourBefore: unchanged.costPerHourBefore,
    costPerHourAfter: unchanged.costPerHourBefore - oldCost + newCost,
    tokensAtStake: cachedTokensAt(state, new Set(old.map((view) => view.spec.id))),
    risks,
  };
}

function boxKindOf(box: { zone: string; machineClass: string; reclaimable: boolean }): {
  zone: string;
  machineClass: string;
  reclaimable: boolean;
} {
  const { zone, machineClass, reclaimable } = box;
  return { zone, machineClass, reclaimable };
}

function keepOffEffects(state: BoxState, unchanged: PlanEffects): PlanEffects {
  const engines = liveEngines(state);
  const onDemand = engines.filter((view) => !view.spec.reclaimable);
  const risks =
    onDemand.length === 0 ? ['no on-demand engine is up: the class will wait until one is'] : [];
  const reclaimable = engines.filter((view) => view.spec.reclaimable);
  const ids = new Set(reclaimable.map((view) => view.spec.id));
  return { ...unchanged, tokensAtStake: cachedTokensAt(state, ids), risks };
}

function liveEngines(state: BoxState): ServerView[] {
  return [...state.servers.values()].filter(
    (view) => view.spec.kind === ServerKind.engine && isUp(state, view),
  );
}

function isUp(state: BoxState, view: ServerView): boolean {
  return state.serverMembers.members.get(view.spec.id)?.state === MemberState.live;
}

function siteOf(state: BoxState, view: ServerView): string {
  return siteOfZone(state.settings, view.spec.zone);
}

function costPerHour(state: BoxState, views: readonly ServerView[]): number {
  let sum = 0;
  for (const { spec } of views) {
    const offer = state.settings.offers.find(
      (item) =>
        item.zone === spec.zone &&
        item.machineClass === spec.machineClass &&
        item.reclaimable === spec.reclaimable,
    );
    sum += offer?.pricePerHour ?? 0;
  }
  return Math.round(sum * 100) / 100;
}

function cachedTokensAt(state: BoxState, serverIds: ReadonlySet<string>): number {
  let tokens = 0;
  for (const location of state.prefixLocations.values()) {
    if (serverIds.has(location.serverId)) tokens += location.tokens;
  }
  return tokens;
}

/** Returns the part of a plan that is kept in the log. */
export function confirmedPlan(plan: Plan, revision: number): ConfirmedPlan {
  const { planId, operatorId, intent, undo } = plan;
  return { planId, operatorId, revision, intent, undo };
}
