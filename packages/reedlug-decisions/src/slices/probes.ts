/**
 * Probes of backend servers, and updates to peers about their load.
 *
 * Each server is probed by one live box of its zone, chosen by rendezvous hashing.
 * Peers receive an update only when a server becomes hot (nearly full) or cools down.
 */
import { hashString, liveInZone, rendezvousWeight } from 'reedlug-coordination';
import type { EngineReport } from '../types/order.js';
import type { PoolLoad, ServerUpdate } from '../types/peer.js';
import { ServerKind } from '../types/settings.js';
import type { BoxState, Step } from '../state.js';
import type { ServerView } from '../types/views.js';
import { siteOfZone } from '../state.js';
import { sendToPeers } from './peerRecipients.js';
import { serverAcceptsRequests } from './serverMembers.js';

/** Share of used slots from which a server is hot, and below which it is cool again. */
const HOT_SHARE = 0.75;
const COOL_SHARE = 0.6;
/** How long an update that a server is hot stays valid, in ms. */
export const HOT_DURATION_MS = 6000;

/** Announces to peers that a server is hot, repeatedly while it stays so, and that it is cool again. */
export function announceLoad(
  state: BoxState,
  step: Step,
  view: ServerView,
  report: EngineReport,
): void {
  if (view.spec.kind !== ServerKind.engine) return;
  const usedShare = (report.running + report.waiting) / view.spec.slots;
  const { hotAnnouncedAtMs } = view;
  const isHot = usedShare >= (hotAnnouncedAtMs === undefined ? HOT_SHARE : COOL_SHARE);
  if (!isHot && hotAnnouncedAtMs === undefined) return;
  if (
    isHot &&
    hotAnnouncedAtMs !== undefined &&
    step.nowMs - hotAnnouncedAtMs < HOT_DURATION_MS / 2
  )
    return;
  view.hotAnnouncedAtMs = isHot ? step.nowMs : undefined;
  view.hotUntilMs = isHot ? step.nowMs + HOT_DURATION_MS : 0;
  const update: ServerUpdate = {
    serverId: view.spec.id,
    incarnation: report.incarnation,
    news: isHot ? 'hot' : 'cool',
    leavesInMs: undefined,
  };
  sendToPeers(state, step, { kind: 'serverNews', news: [update] });
}

/** Sends the probes of this box when they are due. */
export function probeServers(state: BoxState, step: Step): void {
  if (step.nowMs < state.nextProbeAtMs) return;
  state.nextProbeAtMs = step.nowMs + state.settings.control.probeEveryMs;
  for (const { spec } of probedServers(state)) {
    step.effects.push({ type: 'probeServer', serverId: spec.id });
  }
}

/** Returns the servers that this box probes; recomputed when the boxes or servers change. */
function probedServers(state: BoxState): readonly ServerView[] {
  const zones = probedZones(state);
  const boxes = probingBoxIds(state);
  const key = `${zones.join(' ')} | ${boxes.join(' ')} | ${state.servers.size}`;
  if (state.probedServers.key === key) return state.probedServers.views;
  const hashed = boxes.map((id) => ({ id, hash: hashString(id) }));
  const { zone, boxId } = state.settings;
  const views = zones.flatMap((name) => {
    const all = state.serversByZone.get(name) ?? [];
    return name === zone ? all.filter((view) => probingBoxFor(view, hashed) === boxId) : all;
  });
  state.probedServers = { key, views };
  return views;
}

/** Returns the own zone and the zones of the site without a live box. */
function probedZones(state: BoxState): string[] {
  const { settings } = state;
  const site = siteOfZone(settings, settings.zone);
  const silent = settings.zones.filter(
    ({ name, site: other }) =>
      other === site && name !== settings.zone && liveInZone(state.boxMembers, name).length === 0,
  );
  return [settings.zone, ...silent.map(({ name }) => name)];
}

function probingBoxIds(state: BoxState): string[] {
  const { boxId, zone } = state.settings;
  const ids = liveInZone(state.boxMembers, zone);
  return ids.includes(boxId) ? ids : [...ids, boxId];
}

interface ProbingBox {
  id: string;
  hash: number;
}

/** Returns the box with the highest rendezvous weight for a server. */
function probingBoxFor(view: ServerView, boxes: readonly ProbingBox[]): string | undefined {
  let owner: string | undefined;
  let ownerWeight = -1;
  for (const { id, hash } of boxes) {
    const weight = rendezvousWeight(view.idHash, hash);
    if (weight <= ownerWeight) continue;
    owner = id;
    ownerWeight = weight;
  }
  return owner;
}

/** Returns the load of the engines that this box probes and of its own queues, by pool and zone. */
export function poolLoads(state: BoxState): PoolLoad[] {
  const loads = new Map<string, PoolLoad>();
  const freshAfterMs = state.nowMs - state.settings.control.probeEveryMs * 3;
  for (const view of state.probedServers.views) {
    if (view.spec.kind !== ServerKind.engine) continue;
    if (view.reportedAtMs < freshAfterMs || !serverAcceptsRequests(state, view)) continue;
    const key = `${view.spec.pool}@${view.spec.zone}`;
    const load = loads.get(key) ?? emptyLoad(view.spec.pool, view.spec.zone);
    load.engines += 1;
    load.slots += view.spec.slots;
    load.busy += (view.report?.running ?? 0) + (view.report?.waiting ?? 0);
    loads.set(key, load);
  }
  for (const [pool, queues] of state.pools) {
    const queued = queues.urgent.size + queues.patient.size;
    const key = `${pool}@${state.settings.zone}`;
    if (queued === 0 || !state.serversByPool.has(pool)) continue;
    const load = loads.get(key) ?? emptyLoad(pool, state.settings.zone);
    load.busy += queued;
    loads.set(key, load);
  }
  return [...loads.values()];
}

function emptyLoad(pool: string, zone: string): PoolLoad {
  return { pool, zone, engines: 0, slots: 0, busy: 0 };
}
