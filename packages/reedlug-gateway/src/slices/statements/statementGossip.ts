/**
 * Gossip of server statements, which a server makes to one box but which apply to all.
 *
 * A change is sent with the next tick, through hubs in a large fleet (a hub is a box that forwards
 * gossip for a group of boxes), and once more a moment later, since a datagram may be lost. A limit in
 * force is sent again from time to time, so that other boxes know that the server still names it. A box
 * that is new, or was silent, is sent all statements.
 */
import type { GatewayState, Step } from '../../state.js';
import type { EventOf } from '../../types/event.js';
import type { PeerAddress } from '../../types/peer.js';
import type {
  Announcement,
  IncarnationStatements,
  ServerLimit,
  ServerStatement,
  IncarnationStatement,
} from '../../types/serverStatement.js';
import type { PeerView } from '../../types/views.js';
import { forwardsGossip, SILENT_AFTER_MS } from '../peers/fleet.js';
import { gossipTargets } from '../peers/gossipTargets.js';
import { announceDecisions } from '../usage/usageDecisions.js';
import { asAnnounced, isAnnouncementDue } from './announcement.js';
import { mergeDraining } from './draining.js';
import { pruneStatements, statementsFor } from './incarnationStatements.js';
import { mergeLimit } from './limits.js';
import { mergeRefusal } from './refusals.js';
import { mergePause, pauseStatement, PAUSE_TOLERANCE_MS } from './pauses.js';

/** Maximum number of statements in one datagram; with usual ids they fill at most half of it. */
const MAX_STATEMENTS_PER_DATAGRAM = 800;
/** Maximum size of the ids in one datagram, in bytes: more is left for 800 statements than they need. */
const MAX_ID_BYTES_PER_DATAGRAM = 28_000;
/** Interval at which a limit that is still being received is sent again, in ms; half of the silence after which one more box may send. */
const LIMIT_RENEWAL_MS = 8000;

/** Sends changes to neighbours, and all statements to boxes that may lack them. */
export function statementsTick(state: GatewayState, step: Step): void {
  pruneStatements(state, step);
  const { nowMs } = step;
  const isAnyPeerUninformed = state.peersNeedingStatements.size > 0;
  const due: IncarnationStatement[] = [];
  const all: IncarnationStatement[] = [];
  for (const known of state.statements.values()) {
    if (!isAnyPeerUninformed && !isAnyStatementDue(known, nowMs)) continue;
    for (const { statement, announcement, isDue } of currentStatements(known, nowMs)) {
      const { serverId, bornAtMs } = known;
      if (isAnyPeerUninformed) all.push({ serverId, bornAtMs, statement });
      if (!isDue) continue;
      due.push({ serverId, bornAtMs, statement });
      announcement.announcedAtMs = nowMs;
    }
  }
  if (due.length > 0) sendStatements(state, step, due, gossipTargets(state, nowMs));
  if (all.length > 0)
    sendStatements(state, step, all, addressesOf(state, state.peersNeedingStatements));
  state.peersNeedingStatements.clear();
}

/** Returns whether any statement is due to be sent; checked first, as thousands of servers may have statements that are not due. */
function isAnyStatementDue(statements: IncarnationStatements, nowMs: number): boolean {
  const { limit, rest, refusal, leaving } = statements;
  if (refusal !== undefined && refusal.announcement.announcedAtMs === undefined) return true;
  if (limit !== undefined && isLimitDue(limit, nowMs)) return true;
  if (rest !== undefined && isAnnouncementDue(rest.announcement, nowMs)) return true;
  return leaving !== undefined && isAnnouncementDue(leaving.announcement, nowMs);
}

/** A statement in force, and whether it is due to be sent. */
interface CurrentStatement {
  statement: ServerStatement;
  announcement: Announcement;
  isDue: boolean;
}

function currentStatements(statements: IncarnationStatements, nowMs: number): CurrentStatement[] {
  const { limit, rest, refusal, leaving } = statements;
  const found: CurrentStatement[] = [];
  if (limit !== undefined) {
    const { perSecond, sentAtMs, receivedAtMs, announcement } = limit;
    const sentAgeMs = Math.round(nowMs - sentAtMs);
    const receivedAgeMs = Math.round(nowMs - receivedAtMs);
    found.push({
      statement: { kind: 'limit', perSecond, sentAgeMs, receivedAgeMs },
      announcement,
      isDue: isLimitDue(limit, nowMs),
    });
  }
  if (rest !== undefined && rest.untilMs > nowMs) {
    const { announcement } = rest;
    found.push({
      statement: pauseStatement(rest, nowMs),
      announcement,
      isDue: isAnnouncementDue(announcement, nowMs),
    });
  }
  if (refusal !== undefined) {
    const { atMs, announcement } = refusal;
    found.push({
      statement: { kind: 'refusal', ageMs: Math.round(nowMs - atMs) },
      announcement,
      isDue: announcement.announcedAtMs === undefined,
    });
  }
  if (leaving !== undefined) {
    const { announcement } = leaving;
    found.push({
      statement: { kind: 'leaving' },
      announcement,
      isDue: isAnnouncementDue(announcement, nowMs),
    });
  }
  return found;
}

function isLimitDue({ announcement, receivedAtMs }: ServerLimit, nowMs: number): boolean {
  if (isAnnouncementDue(announcement, nowMs)) return true;
  const { announcedAtMs = nowMs } = announcement;
  return receivedAtMs > announcedAtMs && nowMs - announcedAtMs >= LIMIT_RENEWAL_MS;
}

function addressesOf(state: GatewayState, boxIds: ReadonlySet<string>): PeerAddress[] {
  return [...boxIds].flatMap((boxId) => state.peers.get(boxId)?.address ?? []);
}

function sendStatements(
  state: GatewayState,
  step: Step,
  toSend: readonly IncarnationStatement[],
  to: readonly PeerAddress[],
): void {
  if (to.length === 0) return;
  const boxId = state.settings.box.id;
  for (let first = 0; first < toSend.length;) {
    const end = endOfDatagram(toSend, first);
    const statements = toSend.slice(first, end);
    first = end;
    const message = { kind: 'serverStatements' as const, boxId, statements };
    step.effects.push({ type: 'sendPeers', message, to });
  }
}

/** Returns the end of the statements that fit into one datagram from `first` on; at least one does. */
function endOfDatagram(statements: readonly IncarnationStatement[], first: number): number {
  const last = Math.min(statements.length, first + MAX_STATEMENTS_PER_DATAGRAM);
  let idBytes = Buffer.byteLength(statements[first]?.serverId ?? '');
  let end = first + 1;
  while (end < last) {
    idBytes += Buffer.byteLength(statements[end]?.serverId ?? '');
    if (idBytes > MAX_ID_BYTES_PER_DATAGRAM) return end;
    end += 1;
  }
  return end;
}

/** Records a peer that has restarted or was silent, since it may lack what was sent meanwhile. */
export function recordIfUninformed(
  state: GatewayState,
  step: Step,
  peer: PeerView,
  incarnation: number,
): void {
  const isNewIncarnation = peer.message?.incarnation !== incarnation;
  const wasSilent = step.nowMs - peer.lastReceivedAtMs > SILENT_AFTER_MS;
  if (!isNewIncarnation && !wasSilent) return;
  state.peersNeedingStatements.add(peer.boxId);
  announceDecisions(state, step);
}

/** Applies the statements that servers made to another box. */
export function onServerStatements(
  state: GatewayState,
  step: Step,
  event: EventOf<'serverStatements'>,
): void {
  const { boxId, statements } = event.message;
  for (const received of statements) applyStatement(state, step, received, boxId);
}

function applyStatement(
  state: GatewayState,
  step: Step,
  received: IncarnationStatement,
  source: string,
): void {
  const { statement } = received;
  if (statement.kind === 'rest' && statement.leftMs < PAUSE_TOLERANCE_MS) return;
  if (statement.kind === 'leaving')
    mergeDraining(state, step, { life: received, source, isAnnounced: false });
  const statements = statementsFor(state, step, received);
  if (statements === undefined) return;
  switch (statement.kind) {
    case 'limit': {
      const { perSecond, sentAgeMs, receivedAgeMs } = statement;
      const sentAtMs = step.nowMs - sentAgeMs;
      const receivedAtMs = step.nowMs - receivedAgeMs;
      mergeLimit(step, { statements, observation: { perSecond, sentAtMs, receivedAtMs }, source });
      const { limit } = statements;
      if (limit?.perSecond === perSecond) markAnnouncedByOthers(state, step, limit?.announcement);
      return;
    }
    case 'rest':
      return markAnnouncedByOthers(
        state,
        step,
        mergePause(step, { statements, reported: statement, source }).announcement,
      );
    case 'refusal':
      mergeRefusal(state, step, { statements, ageMs: statement.ageMs });
      return markAnnouncedByOthers(state, step, statements.refusal?.announcement);
    case 'leaving':
      return markAnnouncedByOthers(state, step, statements.leaving?.announcement);
  }
}

/** Marks a statement as sent, as the box that received it sends it to all others itself; hubs still forward it. */
function markAnnouncedByOthers(
  state: GatewayState,
  { nowMs }: Step,
  announcement: Announcement | undefined,
): void {
  if (announcement === undefined || forwardsGossip(state)) return;
  announcement.announcedAtMs = Math.max(nowMs, asAnnounced(announcement).announcedAtMs);
}
