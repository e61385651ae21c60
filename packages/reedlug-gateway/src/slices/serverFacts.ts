/**
 * News of what servers say to one box and mean for all: their limits and pauses.
 *
 * A word that is new goes out with the next tick, by way of the hubs in a large fleet, and
 * once more a moment later, as a datagram may be lost. One that stands is told again now
 * and then, so that others know that it is still heard. A box that is heard for the first
 * time, or again, is told everything.
 */
import { log, type GatewayState, type Step } from '../state.js';
import type { EventOf } from '../types/event.js';
import type { PeerAddress } from '../types/peer.js';
import type { LimitRow, PauseRow, ServerLimit } from '../types/serverLimit.js';
import type { PeerView, ServerView } from '../types/views.js';
import { handsOn, SILENT_AFTER_MS } from './fleet.js';
import { isNumber, isNumberOrNull } from './rowValues.js';
import { MOST_PAUSE_MS, takeLimitFact, takePause } from './serverLimits.js';
import { neighbours } from './spreadNews.js';

/** Limits in one datagram, so that they fill half of what it holds at most. */
const MOST_ROWS = 800;
/** Pause after which a change is told once more, in ms: longer than a loss of several datagrams in a row. */
const AGAIN_MS = 1000;
/** Pause after which a limit that is heard again is told again, in ms: half of the time after which another box tries. */
const RENEW_MS = 8000;
/** Two tellings of one pause differ by less, in ms. */
const SAME_PAUSE_MS = 300;
/** Time for which an end of a limit is known, in ms: no news of it are on their way any more. */
const END_KNOWN_MS = 60_000;

/** Tells what is new, and boxes that are new everything. */
export function serverFactsTick(state: GatewayState, step: Step): void {
  const dueLimits: LimitRow[] = [];
  const allLimits: LimitRow[] = [];
  const duePauses: PauseRow[] = [];
  for (const id of state.limitedServers) {
    const view = state.servers.get(id);
    if (view === undefined || isOver(view, step.nowMs)) {
      state.limitedServers.delete(id);
      continue;
    }
    if (state.pausesDue.has(id)) duePauses.push(pauseRowOf(view, step.nowMs));
    const { limit } = view;
    if (limit === undefined) continue;
    if (state.newcomers.size > 0) allLimits.push(limitRowOf(view, limit, step.nowMs));
    if (!isDue(limit, step.nowMs)) continue;
    dueLimits.push(limitRowOf(view, limit, step.nowMs));
    limit.told = { perSecond: limit.perSecond, atMs: step.nowMs };
  }
  if (dueLimits.length + duePauses.length > 0) {
    const to = neighbours(state, step.nowMs);
    tell(state, step, { limits: dueLimits, pauses: duePauses, to });
  }
  if (allLimits.length > 0) {
    const to = addressesOf(state, state.newcomers);
    tell(state, step, { limits: allLimits, pauses: [], to });
  }
  state.pausesDue.clear();
  state.newcomers.clear();
}

/** Whether nothing of a server's limit or pause matters any more. */
function isOver({ limit, pausedUntilMs }: ServerView, nowMs: number): boolean {
  if (pausedUntilMs > nowMs) return false;
  if (limit === undefined) return true;
  return limit.perSecond === undefined && nowMs - limit.heardAtMs >= END_KNOWN_MS;
}

function isDue({ perSecond, told, changedAtMs, heardAtMs }: ServerLimit, nowMs: number): boolean {
  if (told === undefined || told.perSecond !== perSecond) return true;
  if (told.atMs < changedAtMs + AGAIN_MS && nowMs >= changedAtMs + AGAIN_MS) return true;
  return heardAtMs > told.atMs && nowMs - told.atMs >= RENEW_MS;
}

function addressesOf(state: GatewayState, boxIds: ReadonlySet<string>): PeerAddress[] {
  return [...boxIds].flatMap((boxId) => state.peers.get(boxId)?.address ?? []);
}

function tell(
  state: GatewayState,
  step: Step,
  news: {
    limits: readonly LimitRow[];
    pauses: readonly PauseRow[];
    to: readonly PeerAddress[];
  },
): void {
  const { limits, pauses, to } = news;
  if (to.length === 0) return;
  const boxId = state.settings.box.id;
  for (let first = 0; first < Math.max(limits.length, pauses.length); first += MOST_ROWS) {
    const until = first + MOST_ROWS;
    const rows = { limits: limits.slice(first, until), pauses: pauses.slice(first, until) };
    step.effects.push({ type: 'sendPeers', message: { kind: 'serverFacts', boxId, ...rows }, to });
  }
}

function limitRowOf({ entry }: ServerView, limit: ServerLimit, nowMs: number): LimitRow {
  const { perSecond = null, sentAtMs, heardAtMs } = limit;
  const ages = [Math.round(nowMs - sentAtMs), Math.round(nowMs - heardAtMs)] as const;
  return [entry.id, entry.bornAtMs ?? null, perSecond, ...ages];
}

function pauseRowOf({ entry, pausedUntilMs }: ServerView, nowMs: number): PauseRow {
  return [entry.id, entry.bornAtMs ?? null, Math.round(pausedUntilMs - nowMs)];
}

/** Notes a peer that has begun a life or was silent: it may lack what was told meanwhile. */
export function noteNewcomer(
  state: GatewayState,
  step: Step,
  peer: PeerView,
  incarnation: number,
): void {
  const isNewLife = peer.message?.incarnation !== incarnation;
  const wasSilent = step.nowMs - peer.heardAtMs > SILENT_AFTER_MS;
  if (isNewLife || wasSilent) state.newcomers.add(peer.boxId);
}

/** Takes what another box was told by servers. */
export function onServerFacts(
  state: GatewayState,
  step: Step,
  event: EventOf<'serverFacts'>,
): void {
  const { boxId, limits, pauses } = event.message;
  for (const row of limits.filter(isLimitRow)) takeLimitRow(state, step, row, boxId);
  for (const row of pauses.filter(isPauseRow)) takePauseRow(state, step, row, boxId);
}

function takePauseRow(state: GatewayState, step: Step, row: PauseRow, source: string): void {
  const [id, bornAtMs, leftMs] = row;
  const view = state.servers.get(id);
  const untilMs = step.nowMs + Math.min(MOST_PAUSE_MS, leftMs);
  if (view === undefined || !isOfLife(view, bornAtMs)) return;
  // The same pause told again comes a way later.
  if (untilMs <= view.pausedUntilMs + SAME_PAUSE_MS) return;
  takePause(state, view, untilMs);
  log(step, 'serverPaused', { server: id, source, forMs: Math.round(untilMs - step.nowMs) });
  if (handsOn(state)) state.pausesDue.add(id);
}

function takeLimitRow(state: GatewayState, step: Step, row: LimitRow, source: string): void {
  const [id, bornAtMs, told, sentAgeMs, heardAgeMs] = row;
  const view = state.servers.get(id);
  if (view === undefined || !isOfLife(view, bornAtMs)) return;
  const perSecond = told ?? undefined;
  const fact = {
    perSecond,
    sentAtMs: step.nowMs - sentAgeMs,
    heardAtMs: step.nowMs - heardAgeMs,
  };
  takeLimitFact(state, step, { view, fact, source });
  const { limit } = view;
  if (limit === undefined || limit.perSecond !== perSecond || handsOn(state)) return;
  // Whoever told it tells all others, and once more.
  limit.told = { perSecond, atMs: Math.max(step.nowMs, limit.changedAtMs + AGAIN_MS) };
}

/** A server that does not tell when it was born has one life for all that is known. */
function isOfLife({ entry }: ServerView, bornAtMs: number | null): boolean {
  return bornAtMs === null || entry.bornAtMs === undefined || entry.bornAtMs === bornAtMs;
}

/** Whether a value is a limit as it is told: datagrams come from other versions too. */
function isLimitRow(row: unknown): row is LimitRow {
  if (!Array.isArray(row) || row.length < 5 || typeof row[0] !== 'string') return false;
  const [, bornAtMs, perSecond, sentAgeMs, heardAgeMs] = row as unknown[];
  const isLimit = isNumberOrNull(perSecond) && (perSecond ?? 0) >= 0;
  return isNumberOrNull(bornAtMs) && isLimit && isNumber(sentAgeMs) && isNumber(heardAgeMs);
}

function isPauseRow(row: unknown): row is PauseRow {
  if (!Array.isArray(row) || row.length < 3 || typeof row[0] !== 'string') return false;
  const [, bornAtMs, leftMs] = row as unknown[];
  return isNumberOrNull(bornAtMs) && isNumber(leftMs);
}
