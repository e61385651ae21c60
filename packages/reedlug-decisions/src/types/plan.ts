/** Intents of operators, the plans drafted from them, and the answers to operators. */
import type { ConfigChange } from 'reedlug-coordination';
import type { DesiredEngineState } from './order.js';
import type { RequestClass } from './settings.js';

/** A change that an operator wants. Times are epoch milliseconds. */
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

/** One step of a plan, for display to the operator. */
export interface PlanStep {
  atEpochMs: number;
  text: string;
}

/** The revision of an item for which a plan was drafted; 0 means that the item must not exist. */
export interface PlanBasis {
  name: string;
  revision: number;
}

/** A self-contained plan, which any box can check and confirm. */
export interface Plan {
  planId: string;
  operatorId: string;
  createdAtEpochMs: number;
  intent: Intent;
  steps: readonly PlanStep[];
  /** Machines that the plan starts (positive `countDelta`) and stops (negative). */
  boxes: readonly {
    zone: string;
    machineClass: string;
    reclaimable: boolean;
    countDelta: number;
  }[];
  costPerHourBefore: number;
  costPerHourAfter: number;
  /** Number of cached tokens that may have to be recomputed. */
  tokensAtStake: number;
  risks: readonly string[];
  changes: readonly ConfigChange[];
  /** Changes that undo the plan: the same items with their values at the time of drafting. */
  undo: readonly ConfigChange[];
  basis: readonly PlanBasis[];
  digest: string;
}

/** A request from an operator. */
export type OperatorRequest =
  | { kind: 'plan'; operatorId: string; intent: Intent; planId: string }
  | { kind: 'confirm'; plan: Plan }
  | { kind: 'listPlans' }
  | { kind: 'undo'; operatorId: string; planId: string; newPlanId: string };

/** A confirmed plan as it is kept in the configuration log. */
export interface ConfirmedPlan {
  planId: string;
  operatorId: string;
  revision: number;
  intent: Intent;
  undo: readonly ConfigChange[];
}

/** The answer to a request from an operator. */
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
