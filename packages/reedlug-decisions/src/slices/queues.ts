/** The urgent and the patient queue of a pool, each fair among workspaces. */
import { createFairQueue, pushFair, removeFair, type FairQueue } from 'reedlug-coordination';
import type { RequestRecord } from '../types/request.js';
import { RequestClass } from '../types/settings.js';
import type { BoxState } from '../state.js';
import type { PoolQueues } from '../types/views.js';

/** Cost credited to each workspace per round of the fair queue, in prompt tokens. */
const QUANTUM_TOKENS = 2000;

/** Returns the queues of a pool, created on first use. */
export function queuesOf(state: BoxState, pool: string): PoolQueues {
  const known = state.pools.get(pool);
  if (known !== undefined) return known;
  const queues: PoolQueues = {
    urgent: createFairQueue(QUANTUM_TOKENS),
    patient: createFairQueue(QUANTUM_TOKENS),
    urgentStreak: 0,
    dispatchedCost: 0,
    drainPerMs: 0,
    interTokenMs: 0,
  };
  state.pools.set(pool, queues);
  return queues;
}

/** Weight of the newest interval in the smoothed drain rate of a pool. */
const DRAIN_SMOOTHING = 0.3;

/** Measures how fast waiting work is dispatched; called on each heartbeat. */
export function measureDrain(state: BoxState, intervalMs: number): void {
  for (const queues of state.pools.values()) {
    const perMs = queues.dispatchedCost / intervalMs;
    queues.dispatchedCost = 0;
    const waiting = queues.urgent.size + queues.patient.size > 0;
    if (!waiting && perMs <= queues.drainPerMs) continue;
    if (queues.drainPerMs === 0) queues.drainPerMs = perMs;
    else queues.drainPerMs += DRAIN_SMOOTHING * (perMs - queues.drainPerMs);
  }
}

/** Returns the queue of a request class. */
export function queueFor(queues: PoolQueues, requestClass: RequestClass): FairQueue {
  switch (requestClass) {
    case RequestClass.urgent:
      return queues.urgent;
    case RequestClass.patient:
      return queues.patient;
  }
}

/** Puts a request into its queue, at the front if `atFront` is set. */
export function enterQueue(
  state: BoxState,
  record: RequestRecord,
  params: { nowMs: number; notBeforeMs: number; atFront: boolean },
): void {
  const { spec } = record;
  record.phase = { kind: 'queued', sinceMs: params.nowMs, notBeforeMs: params.notBeforeMs };
  const entry = { id: spec.requestId, ownerId: spec.workspaceId, cost: record.cost };
  pushFair(queueFor(queuesOf(state, spec.pool), spec.requestClass), entry, params.atFront);
}

/** Removes a request from its queue, if it is in one. */
export function leaveQueue(state: BoxState, record: RequestRecord): void {
  if (record.phase.kind !== 'queued') return;
  const { spec } = record;
  const queue = queueFor(queuesOf(state, spec.pool), spec.requestClass);
  removeFair(queue, spec.workspaceId, spec.requestId);
}
