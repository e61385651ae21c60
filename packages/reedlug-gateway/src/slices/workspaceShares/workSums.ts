/**
 * Decayed sums of the work that workspaces request from services, of this box and over all boxes.
 */
import { decayFactor } from '../../policy/decayFactor.js';
import type { WorkSums } from '../../policy/fairShare.js';
import type { GatewayState } from '../../state.js';
import type { PeerMessage } from '../../types/peer.js';
import type { RequestRecord } from '../../types/request.js';
import type { ServiceWork, WorkloadRow } from '../../types/workspaceShares.js';
import { countedPeers } from '../peers/fleet.js';

/**
 * Half-life of the sums, in ms: a flood is told from a short burst within two seconds, and a
 * workspace that stops flooding has its share back a few seconds later.
 */
const HALF_LIFE_MS = 3000;
/**
 * Work of an output token in prompt tokens. A step of an engine yields a token for each running
 * request; in the time of a step divided by the slots, it processes some 5 prompt tokens.
 */
const OUTPUT_TOKEN_WORK = 5;
/** Sums below this are dropped, in prompt tokens: less than one short request. */
const MIN_WORK = 1;
/** Maximum number of rows in a gossip message, so that it stays within some KB. */
const MAX_ROWS = 64;

/** Returns what this box knows of the requests for a service. */
export function serviceWorkOf(state: GatewayState, service: string, nowMs: number): ServiceWork {
  const known = state.workspaceShares.get(service);
  if (known !== undefined) return known;
  const created: ServiceWork = {
    own: new Map(),
    decayedAtMs: nowMs,
    standings: undefined,
    standingsAtMs: Number.NEGATIVE_INFINITY,
    typical: new Map(),
    refusals: new Map(),
    retryTimes: new Map(),
    toldTimes: new Map(),
  };
  state.workspaceShares.set(service, created);
  return created;
}

/** Returns the work of a request, in prompt tokens. */
export function workOf({ facts }: Pick<RequestRecord, 'facts'>, prefillTokens: number): number {
  return prefillTokens + OUTPUT_TOKEN_WORK * (facts.maxOutputTokens ?? 0);
}

/** Returns whether sums are kept and sent: both switches need them. */
function usesWorkSums({ settings }: GatewayState): boolean {
  return settings.load.shareCapacity || settings.load.spreadRetries;
}

/** Returns the rate that decayed sums of a steady rate correspond to, per second. */
export function ratePerSecond(sum: number): number {
  return (sum * Math.LN2 * 1000) / HALF_LIFE_MS;
}

/** Records the work of a request when it is first sent or is refused for lack of capacity. */
export function recordWork(
  state: GatewayState,
  record: Pick<RequestRecord, 'service' | 'workspace' | 'facts'>,
  { prefillTokens, isAdmitted }: { prefillTokens: number; isAdmitted: boolean },
  nowMs: number,
): void {
  if (!usesWorkSums(state) || record.facts.promptTokens === undefined) return;
  const work = workOf(record, prefillTokens);
  const known = serviceWorkOf(state, record.service, nowMs);
  decay(known, nowMs);
  const workspace = record.workspace ?? '';
  const sums = known.own.get(workspace) ?? { requested: 0, admitted: 0 };
  sums.requested += work;
  if (isAdmitted) sums.admitted += work;
  known.own.set(workspace, sums);
}

function decay(known: ServiceWork, nowMs: number): void {
  const factor = decayFactor(nowMs - known.decayedAtMs, HALF_LIFE_MS);
  known.decayedAtMs = nowMs;
  for (const [workspace, sums] of known.own) {
    sums.requested *= factor;
    sums.admitted *= factor;
    if (sums.requested < MIN_WORK) known.own.delete(workspace);
  }
}

/**
 * Returns the work at a service over all boxes, by workspace; what was received decays as its
 * message ages.
 */
export function fleetWork(
  state: GatewayState,
  service: string,
  nowMs: number,
): Map<string, WorkSums> {
  const known = serviceWorkOf(state, service, nowMs);
  decay(known, nowMs);
  const total = new Map([...known.own].map(([workspace, sums]) => [workspace, { ...sums }]));
  for (const { message, lastReceivedAtMs } of countedPeers(state, nowMs)) {
    const factor = decayFactor(nowMs - lastReceivedAtMs, HALF_LIFE_MS);
    for (const row of message.workloads ?? []) {
      if (row.service !== service) continue;
      const sums = total.get(row.workspace) ?? { requested: 0, admitted: 0 };
      sums.requested += row.requested * factor;
      sums.admitted += row.admitted * factor;
      total.set(row.workspace, sums);
    }
  }
  return total;
}

/**
 * Returns this box's sums for its gossip, the heaviest first; no field while no switch needs them.
 */
export function ownWorkloads(state: GatewayState, nowMs: number): Pick<PeerMessage, 'workloads'> {
  if (!usesWorkSums(state)) return {};
  const rows: WorkloadRow[] = [];
  for (const [service, known] of state.workspaceShares) {
    decay(known, nowMs);
    for (const [workspace, sums] of known.own) rows.push({ service, workspace, ...sums });
  }
  return { workloads: heaviest(rows) };
}

/** Adds up the sums of several messages, the heaviest first. */
export function sumWorkloads(
  messages: readonly Pick<PeerMessage, 'workloads'>[],
): Pick<PeerMessage, 'workloads'> {
  // Nested maps, since a hub adds up the rows of all messages for each of its members.
  const sums = new Map<string, Map<string, WorkloadRow>>();
  let isKnown = false;
  for (const { workloads } of messages) {
    isKnown ||= workloads !== undefined;
    for (const row of workloads ?? []) addRow(sums, row);
  }
  if (!isKnown) return {};
  return { workloads: heaviest([...sums.values()].flatMap((rows) => [...rows.values()])) };
}

function addRow(sums: Map<string, Map<string, WorkloadRow>>, row: WorkloadRow): void {
  const ofService = sums.get(row.service) ?? new Map<string, WorkloadRow>();
  sums.set(row.service, ofService);
  const sum = ofService.get(row.workspace);
  if (sum === undefined) {
    ofService.set(row.workspace, { ...row });
    return;
  }
  sum.requested += row.requested;
  sum.admitted += row.admitted;
}

function heaviest(rows: WorkloadRow[]): WorkloadRow[] {
  return rows.sort((a, b) => b.requested - a.requested).slice(0, MAX_ROWS);
}
