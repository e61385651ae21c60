/**
 * Backend servers: the registry's entries, and what this box's own sends say.
 *
 * Leaving is sticky for an id. An entry that goes missing right after the store
 * was away, or came back from a copy, may only have lapsed: its server stays in use
 * for a moment, since a living one enters itself again at once. An entry of a server
 * that is gone may come back with a copy: it counts once it is written or stays.
 */
import { describeRevision, hashId } from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import {
  isLaterIncarnation,
  incarnationOf,
  ServerState,
  type ServerChange,
  type ServerEntry,
} from '../types/server.js';
import { log, type GatewayState, type Step } from '../state.js';
import type { ServerView } from '../types/views.js';
import { noteLifeOver } from './lostServers.js';
import { noteRegistryChange } from './registryNews.js';
import { loseAttempts } from './serverLives.js';
import { mayShowBackup } from './storeEra.js';
import { mergeLeaving } from './statements/leaving.js';
import { findStatements } from './statements/lifeStatements.js';

/** How long after the store's return entries of living servers may be missing, in ms: the users' figure, about 2 s. */
const LAPSE_WINDOW_MS = 2000;
/** Shortest absence of the store in which entries lapse, in ms: under three heartbeats nothing does. */
const LAPSING_ABSENCE_MS = 2000;

/** Time after which an entry that came back with a copy is gone unless its server lives, in ms: three of the longest heartbeats, from the store's return, and a little. */
const DOUBTED_MS = 6000;
/** Time for which the last life of a server that is gone is known, in ms: no news of it is on its way any more. */
const GONE_KNOWN_MS = 60_000;

/** Takes changes that a hub handed on; its revision covers them. */
export function takeHubChanges(
  state: GatewayState,
  step: Step,
  params: { changes: readonly ServerChange[]; revision: number },
): void {
  for (const { id, entry } of params.changes) {
    const sinceMs = state.storeReturnedAtMs;
    if (entry === undefined) onMissing(state, step, { id, source: 'hub', sinceMs });
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
  for (const { id, entry, fault } of event.changes) {
    if (fault !== undefined) {
      const revision = describeRevision(fault.revision);
      log(step, 'serverEntryUnreadable', { server: id, ...fault, revision });
    }
    if (entry === undefined) {
      onMissing(state, step, { id, source: event.source, sinceMs: state.storeReturnedAtMs });
      continue;
    }
    present.add(id);
    if (event.whole && isDoubtful(state, step, entry)) doubt(state, step, entry);
    else onEntry(state, step, entry, event.source);
  }
  if (!event.whole) return;
  const sinceMs = Math.max(state.storeReturnedAtMs, state.storeRestoredAtMs);
  for (const id of state.servers.keys()) {
    if (!present.has(id)) onMissing(state, step, { id, source: event.source, sinceMs });
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

/** Whether an entry may be of a life that this box has seen go, and come back with a copy alone. */
function isDoubtful(state: GatewayState, step: Step, { id, bornAtMs }: ServerEntry): boolean {
  const gone = state.goneServers.get(id);
  if (gone === undefined || state.servers.has(id) || !mayShowBackup(state, step.nowMs))
    return false;
  return !isLaterIncarnation(bornAtMs, gone.bornAtMs);
}

function doubt(state: GatewayState, step: Step, entry: ServerEntry): void {
  if (state.unconfirmedServers.has(entry.id)) return;
  state.unconfirmedServers.set(entry.id, { entry, untilMs: step.nowMs + DOUBTED_MS });
  log(step, 'serverDoubted', { server: entry.id });
}

function onEntry(state: GatewayState, step: Step, given: ServerEntry, source: string): void {
  state.unconfirmedServers.delete(given.id);
  const entry = withUsableSlots(given);
  if (isOfEarlierLife(state, entry)) return;
  const known = state.servers.get(given.id);
  if (known === undefined && entry !== given) {
    log(step, 'serverEntryOdd', { ...describe(given, source), slots: String(given.slots) });
  }
  const leaving = entry.state === ServerState.leaving;
  const isBorn = known !== undefined && isLaterIncarnation(entry.bornAtMs, known.entry.bornAtMs);
  const isNews = known === undefined || isBorn || known.entry.state !== entry.state;
  if (isNews) noteRegistryChange(state, step, { id: entry.id, entry });
  if (known === undefined || isBorn) {
    state.servers.set(entry.id, createView(state, entry));
    if (leaving) mergeLeaving(state, step, { life: incarnationOf(entry), source, isListed: true });
    log(step, isBorn ? 'serverBorn' : 'serverAdded', describe(entry, source));
    if (isBorn) loseAttempts(state, step, known);
    return;
  }
  if (known.expiresAtMs !== undefined) log(step, 'serverBack', describe(entry, source));
  known.expiresAtMs = undefined;
  known.entry = entry;
  known.statements = findStatements(state, incarnationOf(entry));
  if (leaving) mergeLeaving(state, step, { life: incarnationOf(entry), source, isListed: true });
  if (leaving || known.statements?.leaving !== undefined) known.leaving = true;
}

/** Whether news are of a life before the one that is known: it never comes back. */
function isOfEarlierLife(state: GatewayState, entry: ServerEntry): boolean {
  const { id, bornAtMs } = entry;
  const knownMs = state.servers.get(id)?.entry.bornAtMs ?? state.goneServers.get(id)?.bornAtMs;
  return isLaterIncarnation(knownMs, bornAtMs);
}

/** Decisions divide by the places of a server: an entry without a whole number of them counts as one place. */
function withUsableSlots(entry: ServerEntry): ServerEntry {
  return Number.isInteger(entry.slots) && entry.slots >= 1 ? entry : { ...entry, slots: 1 };
}

/** A server as this box begins to know it: a new life holds and knows nothing of an earlier one. */
function createView(state: GatewayState, entry: ServerEntry): ServerView {
  state.serverIncarnationCount += 1;
  const statements = findStatements(state, incarnationOf(entry));
  return {
    entry,
    idHash: hashId(entry.id),
    life: state.serverIncarnationCount,
    leaving: entry.state === ServerState.leaving || statements?.leaving !== undefined,
    expiresAtMs: undefined,
    running: 0,
    prefillTokens: 0,
    unread: 0,
    unreadByUrgency: [],
    failureScore: 0,
    failureAtMs: 0,
    lastActivityAtMs: 0,
    slowness: 1,
    slownessAtMs: 0,
    statements,
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

/** An entry is missing that may have lapsed at a time: its server stays a moment from then. */
function onMissing(
  state: GatewayState,
  step: Step,
  { id, source, sinceMs }: { id: string; source: string; sinceMs: number },
): void {
  state.unconfirmedServers.delete(id);
  const view = state.servers.get(id);
  if (view === undefined || view.expiresAtMs !== undefined) return;
  const lapsesAtMs = sinceMs + LAPSE_WINDOW_MS;
  if (step.nowMs < lapsesAtMs && !view.leaving) {
    view.expiresAtMs = lapsesAtMs;
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
  if (!view.leaving) noteLifeOver(state, step, view.life);
  view.leaving = true;
  state.servers.delete(view.entry.id);
  const { id, bornAtMs } = view.entry;
  state.goneServers.set(id, { bornAtMs, goneAtMs: step.nowMs });
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
  return awayMs >= LAPSING_ABSENCE_MS && state.storeContactByPeerAtMs < state.storeLostAtMs;
}

/** Lets servers go whose entries did not come back. */
export function serversTick(state: GatewayState, step: Step): void {
  for (const [id, { goneAtMs }] of state.goneServers) {
    if (step.nowMs - goneAtMs > GONE_KNOWN_MS) state.goneServers.delete(id);
  }
  for (const { entry, untilMs } of [...state.unconfirmedServers.values()]) {
    if (step.nowMs >= untilMs) onEntry(state, step, entry, 'store');
  }
  for (const view of state.servers.values()) {
    if (view.expiresAtMs === undefined || step.nowMs < view.expiresAtMs) continue;
    removeServer(state, step, view, 'lapsed');
  }
}
