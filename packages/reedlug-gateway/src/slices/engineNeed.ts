/** Engines that a service needs: by its load, and before any load is known by what else is known. */
import { LimitUnit, type ServiceSpec, type WorkspaceSpec } from '../types/configuration.js';
import {
  enginesNeeded,
  firstReclaimable,
  type EngineNeed,
  type ServiceLoad,
} from '../policy/engineTarget.js';
import { updateStabilized, type GatewayState, type Step } from '../state.js';
import type { StabilizedNeed } from '../types/views.js';
import { modelOf } from './engineModels.js';
import { countReady, lastOrderedCount } from './engineOrders.js';
import { withMissingEngines } from './statements/missingEngines.js';
import { isLoadKnown, loadOf } from './serviceLoad.js';

/** How long a need is kept after it was last that high, in ms: an engine takes 4 s to start, and load comes in waves. */
const USUAL_NEED_HOLD_MS = 20_000;
const MIN_NEED_HOLD_MS = 5000;
/** Part of all workspaces' limits that callers are taken to use before any load is known: on the users' sites, about half. */
const EXPECTED_LIMIT_USE = 0.5;
/** The most engines that are ordered for it, as a share of those that the zones may hold: limits may be far above what is asked. */
const MAX_EXPECTED_SHARE = 0.5;
/** Time from this box's start up to which it may be a first start, in ms: of 55 engines the last entered itself after 5.9 s. */
const FIRST_START_WINDOW_MS = 7000;

/** The need, which rises at once and falls only after a while. */
export function stabilizedNeed(
  state: GatewayState,
  step: Step,
  spec: ServiceSpec,
  isFirstStart: boolean,
): EngineNeed {
  const service = spec.name;
  const { usual, least } = needForLoad(state, step, spec, loadOf(state, service));
  const stabilized = state.stabilizedNeeds.get(service) ?? createStabilizedNeed();
  updateStabilized(stabilized.usual, usual, step.nowMs, USUAL_NEED_HOLD_MS);
  updateStabilized(stabilized.least, least, step.nowMs, MIN_NEED_HOLD_MS);
  state.stabilizedNeeds.set(service, stabilized);
  const minimum = isLoadKnown(state, step)
    ? 0
    : initialEngineCount(state, step, spec, isFirstStart);
  return { usual: Math.max(stabilized.usual.value, minimum), least: stabilized.least.value };
}

function needForLoad(
  state: GatewayState,
  step: Step,
  spec: ServiceSpec,
  load: ServiceLoad,
): EngineNeed {
  const model = modelOf(state, spec.name, step.nowMs);
  const need = enginesNeeded({
    load,
    model,
    slots: slotsPerEngine(state, spec),
    zones: spec.scaling?.zonePrices.length ?? 1,
    hasReclaimable: spec.scaling?.reclaimablePriceShare !== undefined,
  });
  return withMissingEngines(state, step, { spec, load, model, need });
}

/** Nothing is held yet. */
function createStabilizedNeed(): StabilizedNeed {
  return { usual: { value: 0, untilMs: 0 }, least: { value: 0, untilMs: 0 } };
}

/**
 * Before the load is known, what is there or was ordered stays; at a first start, as many as the
 * limits let expect, as far as seen as many as the operators started with, and a few
 * for each zone at least.
 */
function initialEngineCount(
  state: GatewayState,
  step: Step,
  service: ServiceSpec,
  isFirstStart: boolean,
): number {
  const reclaimable = countReady(state, { service: service.name, reclaimable: true });
  const onDemand = countReady(state, { service: service.name, reclaimable: false });
  const initialOnDemand = state.initialOnDemand.get(service.name)?.size ?? 0;
  const zones = service.scaling?.zonePrices ?? [];
  const ordered = zones.reduce(
    (sum, { zone }) => sum + lastOrderedCount(state, service.name, zone, true),
    0,
  );
  if (isFirstStart && reclaimable === 0) {
    const expected = Math.max(initialOnDemand, enginesExpectedByLimits(state, step, service));
    return Math.max(ordered, firstReclaimable(zones.length, expected));
  }
  if (initialOnDemand === 0 && onDemand <= reclaimable) return ordered;
  return Math.max(ordered, firstReclaimable(zones.length, initialOnDemand));
}

/** Engines for the part of all limits that callers are likely to use; none where a workspace has no limit in tokens. */
function enginesExpectedByLimits(state: GatewayState, step: Step, service: ServiceSpec): number {
  const { workspaces = [] } = state.active?.configuration ?? {};
  const hasLimit = ({ unit, ratePerSecond }: WorkspaceSpec): boolean =>
    unit === LimitUnit.tokens && ratePerSecond > 0;
  if (workspaces.length === 0 || !workspaces.every(hasLimit)) return 0;
  const limitPerSecond = workspaces.reduce((sum, { ratePerSecond }) => sum + ratePerSecond, 0);
  const load = { openRequests: 0, tokensPerSecond: limitPerSecond * EXPECTED_LIMIT_USE };
  const { maxPerZone = 0, zonePrices = [] } = service.scaling ?? {};
  const maxExpected = maxPerZone * zonePrices.length * MAX_EXPECTED_SHARE;
  return Math.min(maxExpected, needForLoad(state, step, service, load).usual);
}

/** True right after this box's start while nobody has asked anything. */
export function isBeforeFirstLoad(state: GatewayState, step: Step): boolean {
  return step.nowMs - state.startedAtMs < FIRST_START_WINDOW_MS && state.loadSinceMs === undefined;
}

/** Remembers the engines that the operators started with: so many are likely to be needed. */
export function recordInitialOnDemand(state: GatewayState, service: string): void {
  // With reclaimable ones there, it is no first start: then on-demand ones only stand in.
  if (countReady(state, { service, reclaimable: true }) > 0) return;
  const seen = state.initialOnDemand.get(service) ?? new Set();
  state.initialOnDemand.set(service, seen);
  for (const { entry } of state.servers.values()) {
    if (entry.service === service && !entry.reclaimable) seen.add(entry.id);
  }
}

/** Places of one engine, by the registry; by the configuration before there is an entry. */
function slotsPerEngine(state: GatewayState, service: ServiceSpec): number {
  let slots = 0;
  let engines = 0;
  for (const { entry } of state.servers.values()) {
    if (entry.service !== service.name) continue;
    slots += entry.slots;
    engines += 1;
  }
  return engines === 0 ? (service.engine?.slots ?? 1) : slots / engines;
}
