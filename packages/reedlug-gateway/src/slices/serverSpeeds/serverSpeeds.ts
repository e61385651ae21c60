/** Estimates the speeds of servers about once a second, from the sums of this box and its peers. */
import { estimateSpeeds } from '../../policy/serverSpeed.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { SpeedSums } from '../../types/serverSpeed.js';
import { countedPeers } from '../peers/fleet.js';
import { addSums, pruneSums, sumsFrom, totalEvidence, type SumsByServer } from './speedSums.js';

/** Interval between estimates, in ms: as often as sums are received. */
const ESTIMATE_INTERVAL_MS = 1000;
/**
 * Minimum interval for each registered server, in ms: the cost of an estimate grows with the number
 * of servers, and its share of the processor must not.
 */
const INTERVAL_PER_SERVER_MS = 0.5;
/**
 * How long the sums of all other boxes are kept after most of them are missing, in ms: a lost hub
 * is replaced, and the next one has received its members' sums, by then.
 */
const HOLD_MS = 5000;
/**
 * Share of the evidence below which sums count as incomplete: the loss of one group of several
 * leaves more.
 */
const COMPLETE_SHARE = 0.5;

/** Estimates the speeds when they are due. */
export function serverSpeedsTick(state: GatewayState, step: Step): void {
  const { serverSpeeds, settings } = state;
  if (!settings.load.learnServerSpeeds) return;
  const intervalMs = Math.max(ESTIMATE_INTERVAL_MS, state.servers.size * INTERVAL_PER_SERVER_MS);
  if (step.nowMs - serverSpeeds.computedAtMs < intervalMs) return;
  serverSpeeds.computedAtMs = step.nowMs;
  pruneSums(state, step.nowMs);
  const sumsByService = groupByService(state, fleetSums(state, step.nowMs));
  for (const service of [...serverSpeeds.services.keys()]) {
    if (!sumsByService.has(service)) serverSpeeds.services.delete(service);
  }
  for (const [service, sums] of sumsByService) estimateService(state, step, service, sums);
}

function estimateService(
  state: GatewayState,
  step: Step,
  service: string,
  sums: ReadonlyMap<string, SpeedSums>,
): void {
  const { services } = state.serverSpeeds;
  const wasInUse = services.get(service)?.inUse === true;
  const { inUse, speeds, evidenceMs, noise } = estimateSpeeds(sums, wasInUse);
  const byServer = new Map(
    [...speeds].map(([id, speed]) => [
      id,
      { bornAtMs: state.servers.get(id)?.entry.bornAtMs, speed },
    ]),
  );
  services.set(service, { inUse, byServer, evidenceMs, computedAtMs: step.nowMs });
  if (inUse === wasInUse) return;
  const ordered = [...speeds.values()].sort((a, b) => a - b);
  log(step, inUse ? 'serverSpeedsUsed' : 'serverSpeedsUnused', {
    service,
    servers: sums.size,
    slowest: (ordered.at(0) ?? 1).toFixed(2),
    fastest: (ordered.at(-1) ?? 1).toFixed(2),
    evidenceMs: Math.round(evidenceMs),
    noisePerSecond: noise.toFixed(2),
  });
}

/**
 * Returns the sums of all boxes. While most of the other boxes' sums are missing, the last complete
 * ones are used.
 */
export function fleetSums(state: GatewayState, nowMs: number): SumsByServer {
  const { serverSpeeds } = state;
  const others: SumsByServer = new Map();
  for (const peer of countedPeers(state, nowMs)) {
    const received = sumsFrom(state, peer);
    if (received !== undefined) addSums(others, received.byServer, nowMs);
  }
  const evidenceMs = totalEvidence(others);
  const { held } = serverSpeeds;
  const isHeld =
    held !== undefined &&
    nowMs - held.atMs < HOLD_MS &&
    evidenceMs < COMPLETE_SHARE * held.evidenceMs;
  if (!isHeld) serverSpeeds.held = { byServer: others, evidenceMs, atMs: nowMs };
  const total: SumsByServer = new Map();
  addSums(total, isHeld ? held.byServer : others, nowMs);
  addSums(total, serverSpeeds.own, nowMs);
  return total;
}

/** Groups the sums of the registered incarnations by service. */
function groupByService(
  state: GatewayState,
  total: SumsByServer,
): Map<string, Map<string, SpeedSums>> {
  const byService = new Map<string, Map<string, SpeedSums>>();
  for (const [id, { bornAtMs, sums }] of total) {
    const entry = state.servers.get(id)?.entry;
    if (entry === undefined || entry.bornAtMs !== bornAtMs) continue;
    const known = byService.get(entry.service) ?? new Map<string, SpeedSums>();
    known.set(id, sums);
    byService.set(entry.service, known);
  }
  return byService;
}
