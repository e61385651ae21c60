/**
 * Refusals by limits of workspaces, by kind, size and workspace.
 *
 * A refusal counts as inside the limit if the units that ran in the window before it, with those of
 * the request, stay within what the users allow.
 */
import type { CallerRequest } from '../callers/callerAttempt.js';
import { factorInForce } from '../faults/changeLimits.js';
import { nowMs, type World } from '../world.js';
import type { LimitRefusalRecord } from './sceneRecord.js';

/** Requests by their units: the largest tenth, the fifth below it, and the other seven tenths. */
const SIZE_BANDS = [
  { name: 'largest tenth', fromShare: 0.9 },
  { name: 'fifth below', fromShare: 0.7 },
  { name: 'others', fromShare: 0 },
] as const;

/** Refusals by limits of one kind, size or workspace. */
export interface LimitRefusalRow {
  name: string;
  asked: number;
  /** Requests that ended with a refusal by a limit, and those of them inside the limit. */
  refused: number;
  refusedInside: number;
  /** Tries refused by a limit, and those of them inside the limit. */
  tries: number;
  triesInside: number;
}

/** Returns the units that a request counts against its workspace's limit. */
export function unitsOfRequest(world: World, { facts }: CallerRequest): number {
  const { promptTokens, maxOutputTokens = 0 } = facts;
  if (promptTokens === undefined) return world.scene.workspaces.plainTokens;
  return promptTokens + maxOutputTokens;
}

/** Records a try that a limit refused. */
export function recordLimitRefusal(world: World, request: CallerRequest, isFinal: boolean): void {
  const units = unitsOfRequest(world, request);
  const refusal = { request, atMs: nowMs(world), units, isFinal };
  world.record.limitRefusals.push(refusal);
}

/** Returns the refusals by limits, by kind, size and workspace. */
export function limitRefusalRows(world: World): LimitRefusalRow[] {
  const { limitRefusals, asked } = world.record;
  const isInside = insideTest(world);
  const rowOf = (name: string, test: (request: CallerRequest) => boolean): LimitRefusalRow => {
    const tries = limitRefusals.filter(({ request }) => test(request));
    const final = tries.filter((refusal) => refusal.isFinal);
    return {
      name,
      asked: asked.filter(test).length,
      refused: final.length,
      refusedInside: final.filter(isInside).length,
      tries: tries.length,
      triesInside: tries.filter(isInside).length,
    };
  };
  const names = (of: (request: CallerRequest) => string): string[] =>
    [...new Set(asked.map(of))].sort();
  return [
    rowOf('all', () => true),
    ...names(({ spec }) => spec.name).map((name) => rowOf(name, ({ spec }) => spec.name === name)),
    ...sizeBands(world).map(({ name, isIn }) => rowOf(name, isIn)),
    ...names(({ workspace }) => workspace).map((name) =>
      rowOf(name, ({ workspace }) => workspace === name),
    ),
  ];
}

function sizeBands(world: World): { name: string; isIn: (request: CallerRequest) => boolean }[] {
  const sizes = world.record.asked.map((request) => unitsOfRequest(world, request));
  sizes.sort((a, b) => a - b);
  let below = Number.POSITIVE_INFINITY;
  return SIZE_BANDS.map(({ name, fromShare }) => {
    const from = fromShare === 0 ? 0 : (sizes[Math.floor(sizes.length * fromShare)] ?? 0);
    const until = below;
    below = from;
    const isIn = (request: CallerRequest): boolean => {
      const units = unitsOfRequest(world, request);
      return units >= from && units < until;
    };
    return { name, isIn };
  });
}

function insideTest(world: World): (refusal: LimitRefusalRecord) => boolean {
  const { limitWindowMs, limitOverShare, limitSlackUnits } = world.scene.bounds;
  return ({ request, atMs, units }) => {
    const workspace = world.workspaces.find(({ name }) => name === request.workspace);
    if (workspace === undefined) return false;
    const limit = (workspace.ratePerSecond * limitWindowMs) / 1000 + workspace.burst;
    const allowed = limit * factorInForce(world, atMs) * (1 + limitOverShare) + limitSlackUnits;
    const sent = world.record.units.get(request.workspace) ?? [];
    const used = sent
      .filter((sending) => sending.atMs > atMs - limitWindowMs && sending.atMs <= atMs)
      .reduce((sum, { amount }) => sum + amount, 0);
    return used + units <= allowed;
  };
}
