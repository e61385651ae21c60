/**
 * Backend servers: the registry's entries, and what this box's own sends say.
 *
 * Leaving is sticky for an id. An entry that goes missing right after the store
 * was away may only have lapsed: its server stays in use for a moment, since a
 * living one enters itself again at once.
 */
import { hashId } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import { ServerState, type ServerChange, type ServerEntry } from '../types/server.js';
import { log, type GatewayState, type Step } from '../state.js';
import type { ServerView } from '../types/views.js';
import { noteRegistryChange } from './registryNews.js';

/** How long after the store's return entries of living servers may be missing, in ms: the users' figure, about 2 s. */
const LAPSE_WINDOW_MS = 2000;
/** Shortest absence of the store in which entries lapse, in ms: under three heartbeats nothing does. */
const LAPSING_ABSENCE_MS = 2000;

/** Takes changes that a hub handed on; its revision covers them. */
export function takeHubChanges(
  state: GatewayState,
  step: Step,
  params: { changes: readonly ServerChange[]; revision: number },
): void {
  for (const { id, entry } of params.changes) {
    if (entry === undefined) onMissing(state, step, id, 'hub');
    else onEntry(state, step, entry, 'hub');
  }
  if (!state.serversKnown) return;
  state.serversRevision = Math.max(state.serversRevision, params.revision);
}

/** Takes entries of the registry. */
export function onServersRead(
  state: GatewayState,
  step: Step,
  event: EventOf<'serversRead'>,
): void {
  if (event.source === 'peer' && !isPeersNewer(state, event)) return;
  state.serversRevision = Math.max(state.serversRevision, event.revision);
  state.serversKnown = true;
  const present = new Set<string>();
  for (const { id, entry } of event.changes) {
    if (entry === undefined) {
      onMissing(state, step, id, event.source);
      continue;
    }
    present.add(id);
    onEntry(state, step, entry, event.source);
  }
  if (!event.whole) return;
  for (const id of state.servers.keys()) {
    if (!present.has(id)) onMissing(state, step, id, event.source);
  }
}

/** A peer's registry counts when it is newer; a hub's also when it is as new, since its own removals raise no revision. */
function isPeersNewer(state: GatewayState, event: EventOf<'serversRead'>): boolean {
  const { sender, revision } = event;
  const hub = sender?.boxId === state.hubId ? state.peers.get(state.hubId ?? '') : undefined;
  if (hub === undefined) return revision > state.serversRevision;
  hub.registryNumber = sender?.registryNumber;
  return revision >= state.serversRevision;
}

function onEntry(state: GatewayState, step: Step, given: ServerEntry, source: string): void {
  const known = state.servers.get(given.id);
  const entry = withUsableSlots(given);
  if (known === undefined && entry !== given) {
    log(step, 'serverEntryOdd', { ...describe(given, source), slots: String(given.slots) });
  }
  const leaving = entry.state === ServerState.leaving;
  const isNews = known === undefined || known.entry.state !== entry.state;
  if (isNews) noteRegistryChange(state, step, { id: entry.id, entry });
  if (known === undefined) {
    state.servers.set(entry.id, createView(entry, leaving));
    log(step, 'serverAdded', describe(entry, source));
    return;
  }
  if (known.lapsesAtMs !== undefined) log(step, 'serverBack', describe(entry, source));
  known.lapsesAtMs = undefined;
  known.entry = entry;
  if (leaving && !known.leaving) {
    known.leaving = true;
    log(step, 'serverLeaving', { ...describe(entry, source), running: known.running });
  }
}

/** Decisions divide by the places of a server: an entry without a whole number of them counts as one place. */
function withUsableSlots(entry: ServerEntry): ServerEntry {
  return Number.isInteger(entry.slots) && entry.slots >= 1 ? entry : { ...entry, slots: 1 };
}

function createView(entry: ServerEntry, leaving: boolean): ServerView {
  return {
    entry,
    idHash: hashId(entry.id),
    leaving,
    lapsesAtMs: undefined,
    running: 0,
    prefillTokens: 0,
    unread: 0,
    unreadByUrgency: [],
    failureScore: 0,
    failureAtMs: 0,
    heardAtMs: 0,
    slowness: 1,
    slownessAtMs: 0,
    cachedParts: new Map(),
  };
}

function describe(entry: ServerEntry, source: string) {
  return {
    server: entry.id,
    service: entry.service,
    zone: entry.zone,
    state: entry.state,
    reclaimable: entry.reclaimable,
    source,
  };
}

function onMissing(state: GatewayState, step: Step, id: string, source: string): void {
  const view = state.servers.get(id);
  if (view === undefined || view.lapsesAtMs !== undefined) return;
  const lapsesAtMs = state.storeReturnedAtMs + LAPSE_WINDOW_MS;
  if (step.nowMs < lapsesAtMs && !view.leaving) {
    view.lapsesAtMs = lapsesAtMs;
    log(step, 'serverLapsed', describe(view.entry, source));
    return;
  }
  removeServer(state, step, view, source);
}

/** Takes a server out for good; requests in progress there go on. */
export function removeServer(
  state: GatewayState,
  step: Step,
  view: ServerView,
  reason: string,
): void {
  view.leaving = true;
  state.servers.delete(view.entry.id);
  noteRegistryChange(state, step, { id: view.entry.id, entry: undefined });
  log(step, 'serverGone', { ...describe(view.entry, reason), running: view.running });
}

/** Notes that the store answers, or does not. */
export function onStoreContact(
  state: GatewayState,
  step: Step,
  event: EventOf<'storeContact'>,
): void {
  if (event.reachable) state.storeContactAtMs = step.nowMs;
  if (event.reachable === state.storeReachable) return;
  state.storeReachable = event.reachable;
  if (!event.reachable) state.storeLostAtMs = step.nowMs;
  else if (wasAwayForAll(state, step)) state.storeReturnedAtMs = step.nowMs;
  log(step, event.reachable ? 'storeRegained' : 'storeLost', {});
}

/** The store may have turned away just this box; then the entries of living servers did not lapse. */
function wasAwayForAll(state: GatewayState, step: Step): boolean {
  const awayMs = step.nowMs - state.storeLostAtMs;
  return awayMs >= LAPSING_ABSENCE_MS && state.storeSeenByPeerAtMs < state.storeLostAtMs;
}

/** Lets servers go whose entries did not come back. */
export function serversTick(state: GatewayState, step: Step): void {
  for (const view of state.servers.values()) {
    if (view.lapsesAtMs === undefined || step.nowMs < view.lapsesAtMs) continue;
    removeServer(state, step, view, 'lapsed');
  }
}
