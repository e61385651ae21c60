/**
 * State of the backend servers, and updates about them to and from peers.
 *
 * Each server is probed by one live box of its zone, chosen by rendezvous hashing; the
 * other boxes receive only changes of its state. A server that is draining (member
 * state `leaving`: it will stop soon) stays so for the rest of its incarnation.
 */
import {
  hashString,
  liveInZone,
  MemberSource,
  MemberState,
  recordMemberStatement,
  type Member,
  type MemberStatement,
} from 'reedlug-coordination';
import type { EventOf } from '../types/event.js';
import type { EngineReport } from '../types/order.js';
import type { ServerUpdate } from '../types/peer.js';
import type { ServerSpec } from '../types/settings.js';
import type { BoxState, Step } from '../state.js';
import type { ServerView } from '../types/views.js';
import { poolSiteKey, siteOfZone } from '../state.js';
import { evacuate } from './reclaim.js';
import { log } from './log.js';
import { sendToPeers } from './peerRecipients.js';
import { dispatchPool } from './dispatch.js';
import { failAttemptsAt } from './retries.js';
import { recordReport } from '../policy/windows.js';
import { serverMember } from './serverMembers.js';
import { HOT_DURATION_MS, announceLoad } from './probes.js';

/** Adds a server to the state, or updates its description. */
export function upsertServer(state: BoxState, spec: ServerSpec): ServerView {
  const known = state.servers.get(spec.id);
  if (known !== undefined && known.spec.pool === spec.pool && known.spec.zone === spec.zone) {
    known.spec = spec;
    return known;
  }
  if (known !== undefined) {
    removeFrom(state.serversByPool, known.spec.pool, known);
    removeFrom(state.serversByZone, known.spec.zone, known);
    removeFrom(state.serversByPoolSite, poolSiteOf(state, known.spec), known);
  }
  const view = known ?? newServerView(spec);
  view.spec = spec;
  state.servers.set(spec.id, view);
  addTo(state.serversByPool, spec.pool, view);
  addTo(state.serversByZone, spec.zone, view);
  addTo(state.serversByPoolSite, poolSiteOf(state, spec), view);
  return view;
}

function newServerView(spec: ServerSpec): ServerView {
  return {
    spec,
    idHash: hashString(spec.id),
    openAttempts: new Set(),
    pendingPrefillTokens: 0,
    report: undefined,
    reportedAtMs: Number.NEGATIVE_INFINITY,
    openAttemptsAtReport: 0,
    probeFailures: 0,
    interTokenMs: 0,
    cacheAwareWindow: spec.slots,
    cacheSequence: 0,
    cacheUncertain: false,
    exportBusyUntilMs: 0,
    hotUntilMs: 0,
    hotAnnouncedAtMs: undefined,
    cachedShareRank: { version: 0, shareRank: 0 },
  };
}

function poolSiteOf(state: BoxState, { pool, zone }: ServerSpec): string {
  return poolSiteKey(pool, siteOfZone(state.settings, zone));
}

function addTo(groups: Map<string, ServerView[]>, name: string, view: ServerView): void {
  const group = groups.get(name) ?? [];
  group.push(view);
  groups.set(name, group);
}

function removeFrom(groups: Map<string, ServerView[]>, name: string, view: ServerView): void {
  const group = groups.get(name) ?? [];
  groups.set(
    name,
    group.filter((other) => other !== view),
  );
}

/** Registers the servers of the settings at the start; they are not live until they respond. */
export function registerConfiguredServers(state: BoxState, nowMs: number): void {
  for (const spec of state.settings.servers) {
    upsertServer(state, spec);
    const statement: MemberStatement = {
      kind: 'listed',
      incarnation: 0,
      zone: spec.zone,
      leaving: false,
    };
    recordMemberStatement(state.serverMembers, spec.id, statement, nowMs);
  }
}

/** Applies a statement about a server and acts on a change of its state. */
export function applyServerStatement(
  state: BoxState,
  step: Step,
  serverId: string,
  statement: MemberStatement,
  announce: boolean,
): void {
  const view = state.servers.get(serverId);
  const changed = recordMemberStatement(state.serverMembers, serverId, statement, step.nowMs);
  if (changed === undefined) {
    if (statement.kind === 'leaving' && view !== undefined) evacuate(state, step, view);
    return;
  }
  if (changed.state === MemberState.leaving) state.drainingServers.add(serverId);
  else state.drainingServers.delete(serverId);
  log(step, 'serverChanged', { server: serverId, state: changed.state });
  if (announce) announceServer(state, step, changed);
  if (view === undefined) return;
  switch (changed.state) {
    case MemberState.live:
      dispatchPool(state, step, view.spec.pool);
      return;
    case MemberState.leaving:
      evacuate(state, step, view);
      return;
    case MemberState.dead:
      failAttemptsAt(state, step, view);
      return;
    case MemberState.suspect:
    case MemberState.listed:
      return;
  }
}

function announceServer(state: BoxState, step: Step, member: Member): void {
  const news = serverUpdateFor(member, step.nowMs);
  if (news !== undefined) sendToPeers(state, step, { kind: 'serverNews', news: [news] });
}

/** Returns the update to send about a member, or undefined for one that is only listed. */
export function serverUpdateFor(member: Member, nowMs: number): ServerUpdate | undefined {
  const base = { serverId: member.id, incarnation: member.incarnation, leavesInMs: undefined };
  switch (member.state) {
    case MemberState.live:
      return { ...base, news: 'live' };
    case MemberState.suspect:
      return { ...base, news: 'silent' };
    case MemberState.dead:
      return { ...base, news: 'gone' };
    case MemberState.leaving:
      return {
        ...base,
        news: 'leaving',
        leavesInMs: member.leavesAtMs === undefined ? undefined : member.leavesAtMs - nowMs,
      };
    case MemberState.listed:
      return undefined;
  }
}

/**
 * Applies a peer's updates about servers. Only a few boxes receive those of another
 * site; they forward to their own site what is new to them.
 */
export function onServerUpdates(
  state: BoxState,
  step: Step,
  from: string,
  updates: readonly ServerUpdate[],
): void {
  const forward = !isInOwnSite(state, zoneOfBox(state, from));
  for (const update of updates) {
    const statement = statementFrom(update, step);
    if (statement !== undefined)
      applyServerStatement(state, step, update.serverId, statement, forward);
    else applyLoadUpdate(state, update, step.nowMs);
  }
}

function zoneOfBox(state: BoxState, boxId: string): string {
  return state.boxMembers.members.get(boxId)?.zone ?? state.settings.zone;
}

function isInOwnSite(state: BoxState, zone: string): boolean {
  const { settings } = state;
  return siteOfZone(settings, zone) === siteOfZone(settings, settings.zone);
}

/** Returns the servers of other sites, which one box per zone sends to newly seen boxes. */
export function otherSiteServerIds(state: BoxState): string[] {
  const { boxId, zone } = state.settings;
  if (liveInZone(state.boxMembers, zone)[0] !== boxId) return [];
  return [...state.servers.values()]
    .filter(({ spec }) => !isInOwnSite(state, spec.zone))
    .map(({ spec }) => spec.id);
}

function applyLoadUpdate(state: BoxState, update: ServerUpdate, nowMs: number): void {
  const view = state.servers.get(update.serverId);
  if (view !== undefined) view.hotUntilMs = update.news === 'hot' ? nowMs + HOT_DURATION_MS : 0;
}

/** Returns the membership statement of an update, or undefined for an update about load. */
function statementFrom(update: ServerUpdate, step: Step): MemberStatement | undefined {
  const { incarnation } = update;
  switch (update.news) {
    case 'hot':
    case 'cool':
      return undefined;
    case 'live':
      return { kind: 'heard', incarnation, zone: '' };
    case 'silent':
      return { kind: 'silent', incarnation };
    case 'gone':
      return { kind: 'gone', incarnation, source: MemberSource.peer };
    case 'leaving':
      return {
        kind: 'leaving',
        incarnation,
        leavesAtMs: update.leavesInMs === undefined ? undefined : step.nowMs + update.leavesInMs,
        source: MemberSource.peer,
      };
  }
}

/** Marks a server as draining after a reclaim notice. */
export function onReclaimNoticed(
  state: BoxState,
  step: Step,
  event: EventOf<'reclaimNoticed'>,
): void {
  const { serverId, leavesAtMs } = event;
  state.lastReclaimAtMs = step.nowMs;
  // A notice may name an incarnation of the server that this box has not seen yet, or none (0).
  const known = serverMember(state, serverId)?.incarnation ?? 0;
  const incarnation = Math.max(event.incarnation, event.incarnation === 0 ? known : 0);
  const statement: MemberStatement = {
    kind: 'leaving',
    incarnation,
    leavesAtMs,
    source: MemberSource.notice,
  };
  applyServerStatement(state, step, serverId, statement, true);
}

/** Applies the result of a probe; an undefined report means that there was no answer. */
export function onServerReported(
  state: BoxState,
  step: Step,
  event: EventOf<'serverReported'>,
): void {
  const view = state.servers.get(event.serverId);
  if (view === undefined) return;
  if (event.report === undefined) {
    onProbeFailed(state, step, view);
    return;
  }
  view.probeFailures = 0;
  onReport(state, step, view, event.report);
  announceLoad(state, step, view, event.report);
}

function onProbeFailed(state: BoxState, step: Step, view: ServerView): void {
  const { probeFailuresToSuspect } = state.settings.control;
  view.probeFailures += 1;
  const incarnation = serverMember(state, view.spec.id)?.incarnation ?? 0;
  if (view.probeFailures === probeFailuresToSuspect) {
    applyServerStatement(state, step, view.spec.id, { kind: 'silent', incarnation }, true);
  }
  if (view.probeFailures === probeFailuresToSuspect * 2) {
    const gone = { kind: 'gone', incarnation, source: MemberSource.direct } as const;
    applyServerStatement(state, step, view.spec.id, gone, true);
  }
}

/** Applies a server's report about itself, from a probe or from the end of a response. */
export function onReport(
  state: BoxState,
  step: Step,
  view: ServerView,
  report: EngineReport,
): void {
  const member = serverMember(state, view.spec.id);
  if (member !== undefined && report.incarnation < member.incarnation) return;
  recordReport(state, view, report, step.nowMs);
  const { incarnation } = report;
  const live = { kind: 'heard', incarnation, zone: view.spec.zone } as const;
  applyServerStatement(state, step, view.spec.id, live, true);
  if (!report.leaving) return;
  const leaving = {
    kind: 'leaving',
    incarnation,
    leavesAtMs: undefined,
    source: MemberSource.direct,
  } as const;
  applyServerStatement(state, step, view.spec.id, leaving, true);
}
