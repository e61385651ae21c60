/** Engines that a service needs: computed from its load, or estimated while the load is not known yet. */
import { LimitUnit, type ServiceSpec, type WorkspaceSpec } from '../../types/configuration.js';
import {
  enginesNeeded,
  initialReclaimable,
  type EngineNeed,
  type ServiceLoad,
} from '../../policy/engineTarget.js';
import { updateStabilized, type GatewayState, type Step } from '../../state.js';
import type { StabilizedNeed } from '../../types/views.js';
import { modelOf } from './engineModels.js';
import { meanSpeedOf } from '../serverSpeeds/speedOf.js';
import { countReady, lastOrderedCount } from './engineOrders.js';
import { withMissingEngines } from '../statements/missingEngines.js';
import { isLoadKnown, loadOf } from './serviceLoad.js';

/** How long a need is kept after it was last that high, in ms: an engine takes 4 s to start, and the load fluctuates. */
const USUAL_NEED_HOLD_MS = 20_000;
const MIN_NEED_HOLD_MS = 5000;
/** Share of all workspaces' limits that callers are assumed to use before the load is known: they typically use about half. */
const EXPECTED_LIMIT_USE = 0.5;
/** Maximum number of engines ordered on that estimate, as a share of what the zones may hold: limits may be far above the actual load. */
const MAX_EXPECTED_SHARE = 0.5;
/** Time from this box's start during which a first start is possible, in ms: the last of 55 engines registered after 5.9 s. */
const FIRST_START_WINDOW_MS = 7000;

/** Returns the need, which rises at once and falls only after its hold time. */
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
    meanSpeed: meanSpeedOf(state, spec.name, step.nowMs),
    zones: spec.scaling?.zonePrices.length ?? 1,
    hasReclaimable: spec.scaling?.reclaimablePriceShare !== undefined,
  });
  return withMissingEngines(state, step, { spec, load, model, need });
}

/** Creates a need of zero engines that is not held. */
function createStabilizedNeed(): StabilizedNeed {
  return { usual: { value: 0, untilMs: 0 }, least: { value: 0, untilMs: 0 } };
}

/**
 * Returns the number of engines while the load is not known. Engines that are ready or ordered
 * stay. At a first start it is the larger of the number that the limits suggest and the number
 * of on-demand engines that the operators started with, and at least a few for each zone.
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
    return Math.max(ordered, initialReclaimable(zones.length, expected));
  }
  if (initialOnDemand === 0 && onDemand <= reclaimable) return ordered;
  return Math.max(ordered, initialReclaimable(zones.length, initialOnDemand));
}

/** Returns the engines for the share of all limits that callers are likely to use; 0 where a workspace has no limit in tokens. */
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

/** Whether this box has just started and no request has arrived yet. */
export function isBeforeFirstLoad(state: GatewayState, step: Step): boolean {
  return step.nowMs - state.startedAtMs < FIRST_START_WINDOW_MS && state.loadSinceMs === undefined;
}

/** Records the on-demand engines that the operators started with: about as many are likely to be needed. */
export function recordInitialOnDemand(state: GatewayState, service: string): void {
  // If reclaimable engines are ready, this is not a first start, and on-demand ones only replace missing ones.
  if (countReady(state, { service, reclaimable: true }) > 0) return;
  const seen = state.initialOnDemand.get(service) ?? new Set();
  state.initialOnDemand.set(service, seen);
  for (const { entry } of state.servers.values()) {
    if (entry.service === service && !entry.reclaimable) seen.add(entry.id);
  }
}

/** Returns the average number of slots of an engine by the registry, or by the configuration if no engine is registered. */
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
