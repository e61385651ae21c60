/** Intents, plans and the answers to operators. */
import type { ConfigChange } from 'reedlug-coordination';
import type { DesiredEngineState } from './order.js';
import type { RequestClass } from './settings.js';

/** What an operator wants; times are epoch milliseconds. */
export type Intent =
  | {
      kind: 'createWorkspace';
      workspaceId: string;
      keySha256: string;
      requestsPerSecond: number;
      burst: number;
      maxQueued: number;
    }
  | { kind: 'createService'; service: string; deduplicates: boolean }
  | { kind: 'setPriority'; workspaceId: string; requestClass: RequestClass }
  | {
      kind: 'setLimits';
      workspaceId: string;
      requestsPerSecond: number;
      burst: number;
      maxQueued: number;
    }
  | {
      kind: 'movePool';
      model: string;
      toSite: string;
      startsAtEpochMs: number;
      endsAtEpochMs: number;
      steps: number;
    }
  | {
      kind: 'keepOffReclaimable';
      requestClass: RequestClass;
      startsAtEpochMs: number;
      endsAtEpochMs: number;
    }
  | { kind: 'setEngine'; serverId: string; wanted: DesiredEngineState }
  | { kind: 'haltMove'; model: string; atShare: number }
  | { kind: 'restore'; changes: readonly ConfigChange[] };

/** One step of a plan. */
export interface PlanStep {
  atEpochMs: number;
  text: string;
}

/** A revision that a plan rests on; 0 means that the item must not exist. */
export interface PlanBasis {
  name: string;
  revision: number;
}

/** A self-contained plan: any box can check and confirm it. */
export interface Plan {
  planId: string;
  operatorId: string;
  createdAtEpochMs: number;
  intent: Intent;
  steps: readonly PlanStep[];
  /** Boxes that the plan starts and stops. */
  boxes: readonly {
    zone: string;
    machineClass: string;
    reclaimable: boolean;
    countDelta: number;
  }[];
  costPerHourBefore: number;
  costPerHourAfter: number;
  /** Cached tokens that may have to be recomputed. */
  tokensAtStake: number;
  risks: readonly string[];
  changes: readonly ConfigChange[];
  /** What undoes it: the same items as they are now. */
  undo: readonly ConfigChange[];
  basis: readonly PlanBasis[];
  digest: string;
}

/** What an operator asks. */
export type OperatorRequest =
  | { kind: 'plan'; operatorId: string; intent: Intent; planId: string }
  | { kind: 'confirm'; plan: Plan }
  | { kind: 'listPlans' }
  | { kind: 'undo'; operatorId: string; planId: string; newPlanId: string };

/** A confirmed plan as the log keeps it. */
export interface ConfirmedPlan {
  planId: string;
  operatorId: string;
  revision: number;
  intent: Intent;
  undo: readonly ConfigChange[];
}

/** The answer to an operator. */
export type OperatorAnswer =
  | { kind: 'planned'; plan: Plan }
  | { kind: 'invalid'; faults: readonly string[] }
  | {
      kind: 'confirmed';
      revision: number;
      zonesInForce: readonly string[];
      zonesNotReached: readonly string[];
    }
  | {
      kind: 'conflict';
      item: string;
      firstPlanId: string;
      firstOperatorId: string;
      firstRevision: number;
    }
  | { kind: 'unavailable'; detail: string }
  | { kind: 'unknown'; detail: string }
  | { kind: 'plans'; plans: readonly ConfirmedPlan[] };
