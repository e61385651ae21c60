/**
 * News of what servers say to one box and mean for all.
 *
 * What is new goes out with the next tick, by way of the hubs in a large fleet, and once
 * more a moment later, as a datagram may be lost. A limit that stands is told again now and
 * then, so that others know that it is still heard. A box that is heard for the first time,
 * or again, is told everything.
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
import { forwardsGossip, SILENT_AFTER_MS } from '../fleet.js';
import { gossipTargets } from '../gossipTargets.js';
import { tellDecisions } from '../usageDecisions.js';
import { asTold, isNews } from './announcement.js';
import { mergeLeaving } from './leaving.js';
import { forgetOldStatements, statementsFor } from './lifeStatements.js';
import { mergeLimit } from './limits.js';
import { mergeRefusal } from './refusals.js';
import { mergeRest, restStatement, SAME_REST_MS } from './rests.js';

/** Statements in one datagram, so that they fill half of what it holds at most. */
const MOST_STATEMENTS = 800;
/** Pause after which a limit that is heard again is told again, in ms: half of the time after which another box tries. */
const RENEW_MS = 8000;

/** Tells what is new, and boxes that are new everything. */
export function statementsTick(state: GatewayState, step: Step): void {
  forgetOldStatements(state, step);
  const { nowMs } = step;
  const hasNewcomers = state.peersNeedingStatements.size > 0;
  const due: IncarnationStatement[] = [];
  const all: IncarnationStatement[] = [];
  for (const known of state.statements.values()) {
    if (!hasNewcomers && !isAnyDue(known, nowMs)) continue;
    for (const { statement, announcement, isDue } of standing(known, nowMs)) {
      const { serverId, bornAtMs } = known;
      if (hasNewcomers) all.push({ serverId, bornAtMs, statement });
      if (!isDue) continue;
      due.push({ serverId, bornAtMs, statement });
      announcement.announcedAtMs = nowMs;
    }
  }
  if (due.length > 0) tell(state, step, due, gossipTargets(state, nowMs));
  if (all.length > 0) tell(state, step, all, addressesOf(state, state.peersNeedingStatements));
  state.peersNeedingStatements.clear();
}

/** Whether others are to be told something now; thousands of servers may have said something that they know. */
function isAnyDue(statements: IncarnationStatements, nowMs: number): boolean {
  const { limit, rest, refusal, leaving } = statements;
  if (refusal !== undefined && refusal.announcement.announcedAtMs === undefined) return true;
  if (limit !== undefined && isLimitDue(limit, nowMs)) return true;
  if (rest !== undefined && isNews(rest.announcement, nowMs)) return true;
  return leaving !== undefined && isNews(leaving.announcement, nowMs);
}

/** A statement that stands, and whether others are to be told now. */
interface Standing {
  statement: ServerStatement;
  announcement: Announcement;
  isDue: boolean;
}

function standing(statements: IncarnationStatements, nowMs: number): Standing[] {
  const { limit, rest, refusal, leaving } = statements;
  const found: Standing[] = [];
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
      statement: restStatement(rest, nowMs),
      announcement,
      isDue: isNews(announcement, nowMs),
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
      isDue: isNews(announcement, nowMs),
    });
  }
  return found;
}

function isLimitDue({ announcement, receivedAtMs }: ServerLimit, nowMs: number): boolean {
  if (isNews(announcement, nowMs)) return true;
  const { announcedAtMs = nowMs } = announcement;
  return receivedAtMs > announcedAtMs && nowMs - announcedAtMs >= RENEW_MS;
}

function addressesOf(state: GatewayState, boxIds: ReadonlySet<string>): PeerAddress[] {
  return [...boxIds].flatMap((boxId) => state.peers.get(boxId)?.address ?? []);
}

function tell(
  state: GatewayState,
  step: Step,
  news: readonly IncarnationStatement[],
  to: readonly PeerAddress[],
): void {
  if (to.length === 0) return;
  const boxId = state.settings.box.id;
  for (let first = 0; first < news.length; first += MOST_STATEMENTS) {
    const statements = news.slice(first, first + MOST_STATEMENTS);
    const message = { kind: 'serverStatements' as const, boxId, statements };
    step.effects.push({ type: 'sendPeers', message, to });
  }
}

/** Notes a peer that has begun a life or was silent: it may lack what was told meanwhile. */
export function noteNewcomer(
  state: GatewayState,
  step: Step,
  peer: PeerView,
  incarnation: number,
): void {
  const isNewLife = peer.message?.incarnation !== incarnation;
  const wasSilent = step.nowMs - peer.lastReceivedAtMs > SILENT_AFTER_MS;
  if (!isNewLife && !wasSilent) return;
  state.peersNeedingStatements.add(peer.boxId);
  tellDecisions(state, step);
}

/** Takes what another box was told by servers. */
export function onServerStatements(
  state: GatewayState,
  step: Step,
  event: EventOf<'serverStatements'>,
): void {
  const { boxId, statements } = event.message;
  for (const news of statements) take(state, step, news, boxId);
}

function take(state: GatewayState, step: Step, news: IncarnationStatement, source: string): void {
  const { statement } = news;
  if (statement.kind === 'rest' && statement.leftMs < SAME_REST_MS) return;
  if (statement.kind === 'leaving')
    mergeLeaving(state, step, { life: news, source, isListed: false });
  const statements = statementsFor(state, step, news);
  if (statements === undefined) return;
  switch (statement.kind) {
    case 'limit': {
      const { perSecond, sentAgeMs, receivedAgeMs } = statement;
      const sentAtMs = step.nowMs - sentAgeMs;
      const receivedAtMs = step.nowMs - receivedAgeMs;
      mergeLimit(step, { statements, fact: { perSecond, sentAtMs, receivedAtMs }, source });
      const { limit } = statements;
      if (limit?.perSecond === perSecond) leaveTelling(state, step, limit?.announcement);
      return;
    }
    case 'rest':
      return leaveTelling(
        state,
        step,
        mergeRest(step, { statements, told: statement, source }).announcement,
      );
    case 'refusal':
      mergeRefusal(state, step, { statements, ageMs: statement.ageMs });
      return leaveTelling(state, step, statements.refusal?.announcement);
    case 'leaving':
      return leaveTelling(state, step, statements.leaving?.announcement);
  }
}

/** Whoever told a statement tells all others, and once more; hubs hand it on. */
function leaveTelling(
  state: GatewayState,
  { nowMs }: Step,
  announcement: Announcement | undefined,
): void {
  if (announcement === undefined || forwardsGossip(state)) return;
  announcement.announcedAtMs = Math.max(nowMs, asTold(announcement).announcedAtMs);
}
