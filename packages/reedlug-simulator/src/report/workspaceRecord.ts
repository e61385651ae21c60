/** Records what each workspace got, and measures how evenly the work of a service was shared. */
import { maxMinShares } from 'reedlug-gateway';
import type { CallerRequest } from '../callers/callerAttempt.js';
import { workOf } from '../callers/generateRequest.js';
import { getOrCreate } from './getOrCreate.js';
import { addOutcome, createOutcomes, RequestEnd, type Outcomes } from './outcomes.js';

/** Served share of the requested work below which a span counts as short of capacity. */
const SHORT_BELOW_SHARE = 0.98;

/** Outcomes of a workspace's requests. */
export interface WorkspaceOutcomes extends Outcomes {
  /** Refused requests whose retry was refused as well. */
  refusedTwice: number;
  /** Requests that were refused, and served when their callers returned. */
  servedAfterRefusal: number;
}

/** Outcomes of a workspace, or of a workspace and a class. */
export interface WorkspaceRow extends WorkspaceOutcomes {
  name: string;
}

interface SpanWork {
  requested: number;
  served: number;
}

/** What is recorded of workspaces. */
export interface WorkspaceRecord {
  byWorkspace: Map<string, WorkspaceOutcomes>;
  byWorkspaceClass: Map<string, WorkspaceOutcomes>;
  /** Work of stream requests by service and span, and by workspace. */
  work: Map<string, Map<string, SpanWork>>;
}

/**
 * Jain's index of served work over fair shares, for the spans in which a service lacked capacity.
 */
export interface Fairness {
  shortSpans: number;
  /** 1 if every workspace got its fair share; 1 as well without such spans. */
  mean: number;
  worst: number;
}

/** Returns an empty record. */
export function createWorkspaceRecord(): WorkspaceRecord {
  return { byWorkspace: new Map(), byWorkspaceClass: new Map(), work: new Map() };
}

/** Records how a request ended. */
export function recordWorkspaceEnd(
  record: WorkspaceRecord,
  params: { end: RequestEnd; request: CallerRequest; span: number },
): void {
  const { end, request, span } = params;
  const { workspace, spec, facts, retriedAfterRefusalAtMs } = request;
  const isRefusedTwice = end === RequestEnd.refused && retriedAfterRefusalAtMs !== undefined;
  const isServed = end === RequestEnd.inTime || end === RequestEnd.late;
  const rows = [
    getOrCreate(record.byWorkspace, workspace, createWorkspaceOutcomes),
    getOrCreate(record.byWorkspaceClass, `${workspace} ${spec.name}`, createWorkspaceOutcomes),
  ];
  for (const row of rows) {
    addOutcome(row, end, request);
    if (isRefusedTwice) row.refusedTwice += 1;
    if (isServed && retriedAfterRefusalAtMs !== undefined) row.servedAfterRefusal += 1;
  }
  const work = workOf(facts);
  if (work === 0) return;
  const key = `${spec.service} ${span}`;
  const byWorkspace = getOrCreate(record.work, key, () => new Map<string, SpanWork>());
  const sums = getOrCreate(byWorkspace, workspace, () => ({ requested: 0, served: 0 }));
  sums.requested += work;
  if (isServed) sums.served += work;
}

function createWorkspaceOutcomes(): WorkspaceOutcomes {
  return { ...createOutcomes(), refusedTwice: 0, servedAfterRefusal: 0 };
}

/** Returns the rows of a report in order of their names. */
export function workspaceRows(map: ReadonlyMap<string, WorkspaceOutcomes>): WorkspaceRow[] {
  return [...map]
    .map(([name, outcomes]) => ({ name, ...outcomes }))
    .sort((a, b) => a.name.localeCompare(b.name, 'en', { numeric: true }));
}

/** Measures how evenly the work was shared while a service was short of capacity. */
export function fairnessOf({ work }: WorkspaceRecord): Fairness {
  const indices: number[] = [];
  for (const byWorkspace of work.values()) {
    const sums = [...byWorkspace.values()];
    const requested = sums.reduce((sum, part) => sum + part.requested, 0);
    const served = sums.reduce((sum, part) => sum + part.served, 0);
    if (served < requested * SHORT_BELOW_SHARE) indices.push(jainIndex(byWorkspace, served));
  }
  const mean = indices.reduce((sum, index) => sum + index, 0) / Math.max(1, indices.length);
  return {
    shortSpans: indices.length,
    mean: indices.length === 0 ? 1 : mean,
    worst: Math.min(1, ...indices),
  };
}

function jainIndex(byWorkspace: ReadonlyMap<string, SpanWork>, capacity: number): number {
  const requested = new Map([...byWorkspace].map(([name, sums]) => [name, sums.requested]));
  const shares = maxMinShares(requested, capacity);
  const ratios: number[] = [];
  for (const [name, { served }] of byWorkspace) {
    const share = shares.get(name) ?? 0;
    if (share > 0) ratios.push(served / share);
  }
  const sum = ratios.reduce((total, ratio) => total + ratio, 0);
  const squares = ratios.reduce((total, ratio) => total + ratio ** 2, 0);
  return squares === 0 ? 1 : sum ** 2 / (ratios.length * squares);
}
