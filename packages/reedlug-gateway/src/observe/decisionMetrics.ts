/** Gauges of the values that decisions are currently based on: the model of each service, its need for engines, and the limits. */
import { Gauge, type Registry } from 'prom-client';
import { sumTallies } from '../policy/rolloutVerdict.js';
import { modelOf } from '../slices/engines/engineModels.js';
import { countedPeers } from '../slices/peers/fleet.js';
import { limitUse } from '../slices/limits/quotas.js';
import { reservedUnitsOf, reservesUnits } from '../slices/limits/unitReservations.js';
import { evidenceOf } from '../slices/rollouts/rolloutEvidence.js';
import { shareFigures } from '../slices/workspaceShares/standings.js';
import { meanSpeedOf } from '../slices/serverSpeeds/speedOf.js';
import { loadOf } from '../slices/engines/serviceLoad.js';
import type { GatewayState } from '../state.js';

/** Gauges of decisions; they are set when the metrics are requested. */
export interface DecisionMetrics {
  /** Figures measured for a service, see `EngineModel`. */
  model: Gauge;
  /** Load of a service whose engines can be ordered, and the engines it needs. */
  capacity: Gauge;
  /**
   * Units of a workspace within the limit window: used, the maximum allowed, and reserved by all
   * boxes.
   */
  limits: Gauge;
  /** State of the reserve for restarts; 1 for the current one. */
  reserve: Gauge;
  /**
   * Recent work of a service whose capacity is shared, in prompt tokens per second, and the number
   * of workspaces over their shares.
   */
  shares: Gauge;
  /** Speeds and reserved room of a service whose requests are placed by size. */
  placement: Gauge;
  /**
   * Speeds of the servers of a service, see `ServiceSpeeds`; without values while none are learned.
   */
  speeds: Gauge;
  /** Answers of both versions of a service during a roll-out, as far as this box knows. */
  rollouts: Gauge;
}

/** Creates gauges without values. */
export function createDecisionMetrics(registry: Registry): DecisionMetrics {
  const registers = [registry];
  return {
    model: new Gauge({
      name: 'reedlug_service_model',
      help: 'What sends have shown of a service: baseMs, tokensPerMs, runningMs, stayMs, sends',
      labelNames: ['service', 'figure'],
      registers,
    }),
    capacity: new Gauge({
      name: 'reedlug_service_capacity',
      help: 'openRequests, tokensPerSecond, and engines needed: usual, least',
      labelNames: ['service', 'figure'],
      registers,
    }),
    limits: new Gauge({
      name: 'reedlug_limit_units',
      help: 'Units of a workspace in the window of limits: used, allowed, reserved',
      labelNames: ['workspace', 'figure'],
      registers,
    }),
    reserve: new Gauge({
      name: 'reedlug_restart_reserve',
      help: 'State of the reserve of the limit shares: 1 for the current one of unknown, requested, open, closed',
      labelNames: ['state'],
      registers,
    }),
    shares: new Gauge({
      name: 'reedlug_service_work',
      help: 'Recent work in prompt tokens per second: requested, admitted; and workspacesOver their fair shares',
      labelNames: ['service', 'figure'],
      registers,
    }),
    placement: new Gauge({
      name: 'reedlug_service_placement',
      help: 'Speeds of servers: slowest, fastest; speed from which room is left, and its charge: reservedFromSpeed (0 for none), chargeShare',
      labelNames: ['service', 'figure'],
      registers,
    }),
    speeds: new Gauge({
      name: 'reedlug_server_speeds',
      help: 'Speeds of the servers of a service: inUse, slowest, fastest, mean, evidenceMs, ageMs',
      labelNames: ['service', 'figure'],
      registers,
    }),
    rollouts: new Gauge({
      name: 'reedlug_rollout_answers',
      help: 'Answers since the order of a roll-out by version (new, old): answers, failed, slow',
      labelNames: ['service', 'version', 'figure'],
      registers,
    }),
  };
}

/** Sets the gauges to the current values. */
export function setDecisionMetrics(
  metrics: DecisionMetrics,
  state: GatewayState,
  nowMs: number,
): void {
  const { services = [], workspaces = [] } = state.active?.configuration ?? {};
  for (const { name: service, scaling } of services) {
    setAll(metrics.model, { service }, modelOf(state, service, nowMs));
    setSpeeds(metrics.speeds, state, service, nowMs);
    if (scaling === undefined) continue;
    const need = state.stabilizedNeeds.get(service);
    const needed = { usual: need?.usual.value ?? 0, least: need?.least.value ?? 0 };
    setAll(metrics.capacity, { service }, { ...loadOf(state, service), ...needed });
  }
  for (const workspace of workspaces) {
    const { used, allowed } = limitUse(state, workspace, nowMs);
    const { name } = workspace;
    setAll(metrics.limits, { workspace: name }, { used, allowed });
    if (!reservesUnits(state)) continue;
    setAll(metrics.limits, { workspace: name }, { reserved: reservedUnitsOf(state, name, nowMs) });
  }
  if (state.settings.load.restartReserve) {
    metrics.reserve.reset();
    metrics.reserve.set({ state: state.restartReserve.phase }, 1);
  }
  for (const service of state.workspaceShares.keys()) {
    setAll(metrics.shares, { service }, shareFigures(state, service, nowMs));
  }
  for (const [service, { range, room }] of state.placements) {
    const { fromSpeed, chargeShare } = room;
    const reservedFromSpeed = Number.isFinite(fromSpeed) ? fromSpeed : 0;
    setAll(metrics.placement, { service }, { ...range, reservedFromSpeed, chargeShare });
  }
  setRollouts(metrics.rollouts, state, nowMs);
}

/** Sets the gauges of a service's speeds. */
function setSpeeds(gauge: Gauge, state: GatewayState, service: string, nowMs: number): void {
  const known = state.serverSpeeds.services.get(service);
  if (known === undefined) return;
  let slowest = 1;
  let fastest = 1;
  for (const { speed } of known.byServer.values()) {
    slowest = Math.min(slowest, speed);
    fastest = Math.max(fastest, speed);
  }
  const { inUse, evidenceMs, computedAtMs } = known;
  const mean = meanSpeedOf(state, service, nowMs);
  const ageMs = nowMs - computedAtMs;
  setAll(gauge, { service }, { inUse, slowest, fastest, mean, evidenceMs, ageMs });
}

/** Sets the gauges of roll-outs to sums over routes and servers. */
function setRollouts(gauge: Gauge, state: GatewayState, nowMs: number): void {
  const peers = countedPeers(state, nowMs);
  for (const [service, view] of state.rollouts) {
    const { trial, usual } = evidenceOf(view, peers);
    setAll(gauge, { service, version: 'new' }, sumTallies(trial));
    setAll(gauge, { service, version: 'old' }, sumTallies(usual));
  }
}

function setAll(gauge: Gauge, labels: Record<string, string>, figures: object): void {
  for (const [figure, value] of Object.entries(figures)) {
    gauge.set({ ...labels, figure }, Number(value));
  }
}
