/**
 * Backend servers: the registry's entries, and what this box knows from its own sends.
 *
 * Draining is sticky for an incarnation. An entry that goes missing right after an outage of
 * the store, or after the store was restored from a backup, may only have expired: its server
 * stays in use for a moment, since a live one registers again at once. The entry of a server
 * that is gone may reappear from a backup: it counts once it is written again, or if it is
 * still there after a while.
 */
import { describeRevision, hashId } from 'reedlug-coordination';
import type { EventOf } from '../../types/event.js';
import {
  isLaterIncarnation,
  incarnationOf,
  ServerState,
  type ServerChange,
  type ServerEntry,
} from '../../types/server.js';
import { StoreFeed } from '../../types/storeFeed.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { ServerView } from '../../types/views.js';
import { recordIncarnationEnd } from '../crashes/lostServers.js';
import { recordRegistryChange } from '../peers/registryGossip.js';
import { failOpenAttempts } from './serverIncarnations.js';
import { faultOfServerId, withUsableValues } from './usableEntry.js';
import { recordFeedContact } from '../store/feedAges.js';
import { mayShowBackup } from '../store/storeEra.js';
import { mergeDraining } from '../statements/draining.js';
import { findStatements } from '../statements/incarnationStatements.js';
import { recordServedVersion, softwareVersionOf } from '../streamVersions/servedVersions.js';

/** How long after the store's return entries of live servers may be missing, in ms: they register again within about 2 s. */
const EXPIRY_GRACE_MS = 2000;
/** Shortest outage of the store in which entries expire, in ms: none does within three heartbeats. */
const MIN_EXPIRING_OUTAGE_MS = 2000;

/** Time after which an entry restored from a backup has expired unless its server is live, in ms: three of the longest heartbeats from the store's return, and a margin. */
const UNCONFIRMED_MS = 6000;
/** How long the last incarnation of a server that is gone is remembered, in ms: after that no message about it is in transit any more. */
const GONE_RETENTION_MS = 60_000;

/** Applies changes that a hub forwarded; the given revision includes them. */
export function applyHubChanges(
  state: GatewayState,
  step: Step,
  params: { changes: readonly ServerChange[]; revision: number; revisionMax: number },
): void {
  for (const { id, entry } of params.changes) {
    const sinceMs = state.storeReturnedAtMs;
    if (entry === undefined) onEntryMissing(state, step, { id, source: 'hub', sinceMs });
    else onEntry(state, step, entry, { source: 'hub', isLate: false });
  }
  if (!state.serversKnown) return;
  recordRegistryRevisions(state, {
    newest: params.revision,
    max: params.revisionMax,
    readTo: params.revisionMax,
  });
}

/** Records the newest change known, a bound of all changes known, and up to which revision none is missing. */
function recordRegistryRevisions(
  state: GatewayState,
  { newest, max, readTo }: { newest: number; max: number; readTo: number },
): void {
  state.serversRevision = Math.max(state.serversRevision, newest);
  state.serversRevisionMax = Math.max(state.serversRevisionMax, max);
  state.serversReadTo = Math.max(state.serversReadTo, readTo);
}

/** Applies entries read from the registry. */
export function onServersRead(
  state: GatewayState,
  step: Step,
  event: EventOf<'serversRead'>,
): void {
  if (event.source === 'peer' && !isPeerRegistryNewer(state, event)) return;
  const { revision, readTo = revision, whole } = event;
  recordRegistryRevisions(state, { newest: revision, max: whole ? readTo : revision, readTo });
  state.serversKnown = true;
  const { isLate = false } = event;
  const present = new Set<string>();
  for (const { id, entry, fault } of event.changes) {
    if (fault !== undefined) {
      const revision = describeRevision(fault.revision);
      log(step, 'serverEntryUnreadable', { server: id, ...fault, revision });
    }
    if (entry === undefined) {
      onEntryMissing(state, step, { id, source: event.source, sinceMs: state.storeReturnedAtMs });
      continue;
    }
    present.add(id);
    if (event.whole && needsConfirmation(state, step, entry)) holdUnconfirmed(state, step, entry);
    else onEntry(state, step, entry, { source: event.source, isLate });
  }
  if (!event.whole) return;
  const sinceMs = Math.max(state.storeReturnedAtMs, state.storeRestoredAtMs);
  for (const id of state.servers.keys()) {
    if (!present.has(id)) onEntryMissing(state, step, { id, source: event.source, sinceMs });
  }
}

/** Whether a peer's registry replaces this one: if it is newer, or for a hub if it lacks nothing that this box knows. */
function isPeerRegistryNewer(state: GatewayState, event: EventOf<'serversRead'>): boolean {
  const { sender, revision, readTo = revision } = event;
  const hub = sender?.boxId === state.hubId ? state.peers.get(state.hubId ?? '') : undefined;
  if (hub === undefined) return revision > state.serversRevision;
  hub.registryNumber = sender?.registryNumber;
  hub.registryIncarnation = hub.message?.incarnation;
  return readTo >= state.serversRevision;
}

/** Whether an entry may belong to an incarnation whose end this box has seen, and be there only because of a backup. */
function needsConfirmation(state: GatewayState, step: Step, entry: ServerEntry): boolean {
  if (!mayShowBackup(state, step.nowMs)) return false;
  const known = state.servers.get(entry.id)?.entry;
  if (known !== undefined) return isOfUnknownOrder(entry, known);
  const gone = state.goneServers.get(entry.id);
  return gone !== undefined && !isLaterIncarnation(entry.bornAtMs, gone.bornAtMs);
}

/** Whether two entries of a server are of different incarnations, and their start times do not tell which one came first. */
function isOfUnknownOrder(entry: ServerEntry, known: ServerEntry): boolean {
  if (softwareVersionOf(entry) === softwareVersionOf(known)) return false;
  const { bornAtMs } = entry;
  return (
    !isLaterIncarnation(bornAtMs, known.bornAtMs) && !isLaterIncarnation(known.bornAtMs, bornAtMs)
  );
}

function holdUnconfirmed(state: GatewayState, step: Step, entry: ServerEntry): void {
  // Until its server writes the entry again, it is not known which of the two incarnations runs.
  const known = state.servers.get(entry.id);
  if (known !== undefined) known.endSuspectedAtMs = step.nowMs;
  if (state.unconfirmedServers.has(entry.id)) return;
  state.unconfirmedServers.set(entry.id, { entry, untilMs: step.nowMs + UNCONFIRMED_MS });
  log(step, 'serverDoubted', { server: entry.id });
}

/** Where an entry was read; a late one may be missing at other boxes too. */
interface EntryOrigin {
  source: string;
  isLate: boolean;
}

function onEntry(
  state: GatewayState,
  step: Step,
  received: ServerEntry,
  { source, isLate }: EntryOrigin,
): void {
  const reason = faultOfServerId(received.id);
  if (reason !== undefined) {
    return log(step, 'serverEntryUnreadable', { server: received.id, field: 'id', reason, source });
  }
  state.unconfirmedServers.delete(received.id);
  const entry = withUsableValues(received);
  if (isOfEarlierIncarnation(state, entry)) return;
  const known = state.servers.get(received.id);
  if (known === undefined && entry !== received) {
    log(step, 'serverEntryOdd', {
      ...entryLogFields(received, source),
      slots: String(received.slots),
      bornAtMs: String(received.bornAtMs ?? ''),
    });
  }
  recordServedVersion(state, step, entry);
  const leaving = entry.state === ServerState.leaving;
  // Other boxes read the same entry, unless answers were lost.
  const isAnnounced = !isLate;
  const isRestarted = known !== undefined && isNextIncarnation(entry, known.entry);
  const isChanged = known === undefined || isRestarted || known.entry.state !== entry.state;
  if (isChanged) recordRegistryChange(state, step, { id: entry.id, entry });
  if (known === undefined || isRestarted) {
    state.servers.set(entry.id, createView(state, entry));
    if (leaving) mergeDraining(state, step, { life: incarnationOf(entry), source, isAnnounced });
    log(step, isRestarted ? 'serverBorn' : 'serverAdded', entryLogFields(entry, source));
    if (isRestarted) failOpenAttempts(state, step, known);
    return;
  }
  if (known.expiresAtMs !== undefined) log(step, 'serverBack', entryLogFields(entry, source));
  known.expiresAtMs = undefined;
  known.entry = entry;
  known.statements = findStatements(state, incarnationOf(entry));
  if (leaving) mergeDraining(state, step, { life: incarnationOf(entry), source, isAnnounced });
  if (leaving || known.statements?.leaving !== undefined) known.leaving = true;
}

/** Whether an entry is of an incarnation after the known one. A server changes its version only by a restart. */
function isNextIncarnation(entry: ServerEntry, known: ServerEntry): boolean {
  return (
    isLaterIncarnation(entry.bornAtMs, known.bornAtMs) ||
    softwareVersionOf(entry) !== softwareVersionOf(known)
  );
}

/** Whether an entry is of an incarnation before the latest known one, which never comes back. */
function isOfEarlierIncarnation(state: GatewayState, entry: ServerEntry): boolean {
  const { id, bornAtMs } = entry;
  const latestKnownMs =
    state.servers.get(id)?.entry.bornAtMs ?? state.goneServers.get(id)?.bornAtMs;
  return isLaterIncarnation(latestKnownMs, bornAtMs);
}

/** Creates the view of a new server; a new incarnation inherits nothing from an earlier one. */
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
    receivedAtMs: Number.NEGATIVE_INFINITY,
    slowness: 1,
    slownessAtMs: 0,
    statements,
    cachedParts: new Map(),
    placeUse: undefined,
    link: undefined,
    endSuspectedAtMs: Number.NEGATIVE_INFINITY,
  };
}

function entryLogFields(entry: ServerEntry, source: string) {
  return {
    server: entry.id,
    service: entry.service,
    zone: entry.zone,
    state: entry.state,
    reclaimable: entry.reclaimable,
    version: softwareVersionOf(entry),
    source,
  };
}

/** Handles a missing entry: it may have expired at `sinceMs`, so its server stays in use for a moment from then. */
function onEntryMissing(
  state: GatewayState,
  step: Step,
  { id, source, sinceMs }: { id: string; source: string; sinceMs: number },
): void {
  state.unconfirmedServers.delete(id);
  const view = state.servers.get(id);
  if (view === undefined || view.expiresAtMs !== undefined) return;
  const expiresAtMs = sinceMs + EXPIRY_GRACE_MS;
  if (step.nowMs < expiresAtMs && !view.leaving) {
    view.expiresAtMs = expiresAtMs;
    log(step, 'serverLapsed', entryLogFields(view.entry, source));
    return;
  }
  removeServer(state, step, view, source);
}

/** Removes a server for good; requests in progress there continue. */
export function removeServer(
  state: GatewayState,
  step: Step,
  view: ServerView,
  reason: string,
): void {
  if (!view.leaving) recordIncarnationEnd(state, step, view.life);
  view.leaving = true;
  state.servers.delete(view.entry.id);
  const { id, bornAtMs } = view.entry;
  state.goneServers.set(id, { bornAtMs, goneAtMs: step.nowMs });
  recordRegistryChange(state, step, { id: view.entry.id, entry: undefined });
  log(step, 'serverGone', { ...entryLogFields(view.entry, reason), running: view.running });
}

/** Records whether the store answers; the feed of the operators' rows tells. */
export function onStoreContact(
  state: GatewayState,
  step: Step,
  event: EventOf<'storeContact'>,
): void {
  recordFeedContact(state, step, event);
  if (event.feed !== StoreFeed.operators) return;
  if (event.reachable) state.storeContactAtMs = step.nowMs;
  if (event.reachable === state.storeReachable) return;
  state.storeReachable = event.reachable;
  if (!event.reachable) state.storeLostAtMs = step.nowMs;
  else if (wasDownForAllBoxes(state, step)) state.storeReturnedAtMs = step.nowMs;
  log(step, event.reachable ? 'storeRegained' : 'storeLost', {});
}

/** Whether the store was down for all boxes: if only this box lost contact, the entries of live servers did not expire. */
function wasDownForAllBoxes(state: GatewayState, step: Step): boolean {
  const outageMs = step.nowMs - state.storeLostAtMs;
  return outageMs >= MIN_EXPIRING_OUTAGE_MS && state.storeContactByPeerAtMs < state.storeLostAtMs;
}

/** Removes servers whose entries did not reappear, and applies restored entries that are still there. */
export function serversTick(state: GatewayState, step: Step): void {
  for (const [id, { goneAtMs }] of state.goneServers) {
    if (step.nowMs - goneAtMs > GONE_RETENTION_MS) state.goneServers.delete(id);
  }
  for (const { entry, untilMs } of [...state.unconfirmedServers.values()]) {
    if (step.nowMs >= untilMs) onEntry(state, step, entry, { source: 'store', isLate: false });
  }
  for (const view of state.servers.values()) {
    if (view.expiresAtMs === undefined || step.nowMs < view.expiresAtMs) continue;
    removeServer(state, step, view, 'lapsed');
  }
}
