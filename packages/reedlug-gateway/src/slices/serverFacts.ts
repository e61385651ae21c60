/**
 * News of what servers say to one box and mean for all: their limits.
 *
 * A word that is new goes out with the next tick, by way of the hubs in a large fleet, and
 * once more a moment later, as a datagram may be lost. One that stands is told again now
 * and then, so that others know that it is still heard. A box that is heard for the first
 * time, or again, is told everything.
 */
import type { GatewayState, Step } from '../state.js';
import type { EventOf } from '../types/event.js';
import type { PeerAddress } from '../types/peer.js';
import type { LimitRow, ServerLimit } from '../types/serverLimit.js';
import type { PeerView, ServerView } from '../types/views.js';
import { SILENT_AFTER_MS } from './fleet.js';
import { takeLimitFact } from './serverLimits.js';
import { handsOn, neighbours } from './spreadNews.js';

/** Limits in one datagram: some 40 bytes each, of the 64 KB that it holds. */
const MOST_ROWS = 800;
/** Pause after which a change is told once more, in ms: longer than a loss of several datagrams in a row. */
const AGAIN_MS = 1000;
/** Pause after which a limit that is heard again is told again, in ms: half of the time after which another box tries. */
const RENEW_MS = 5000;
/** Time for which an end of a limit is known, in ms: no news of it are on their way any more. */
const END_KNOWN_MS = 60_000;

/** Tells what is new, and boxes that are new everything. */
export function serverFactsTick(state: GatewayState, step: Step): void {
  if (state.limitedServers.size === 0) return;
  const due: LimitRow[] = [];
  const all: LimitRow[] = [];
  for (const id of state.limitedServers) {
    const view = state.servers.get(id);
    const limit = view?.limit;
    if (view === undefined || limit === undefined || isOver(limit, step.nowMs)) {
      state.limitedServers.delete(id);
      continue;
    }
    const row = rowOf(view, limit, step.nowMs);
    if (state.newcomers.size > 0) all.push(row);
    if (!isDue(limit, step.nowMs)) continue;
    due.push(row);
    limit.told = { perSecond: limit.perSecond, atMs: step.nowMs };
  }
  if (due.length > 0) tell(state, step, due, neighbours(state, step.nowMs));
  if (all.length > 0) tell(state, step, all, addressesOf(state, state.newcomers));
  state.newcomers.clear();
}

function isOver({ perSecond, heardAtMs }: ServerLimit, nowMs: number): boolean {
  return perSecond === undefined && nowMs - heardAtMs >= END_KNOWN_MS;
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
  limits: readonly LimitRow[],
  to: readonly PeerAddress[],
): void {
  if (to.length === 0) return;
  const boxId = state.settings.box.id;
  for (let first = 0; first < limits.length; first += MOST_ROWS) {
    const rows = limits.slice(first, first + MOST_ROWS);
    step.effects.push({
      type: 'sendPeers',
      message: { kind: 'serverFacts', boxId, limits: rows },
      to,
    });
  }
}

function rowOf({ entry }: ServerView, limit: ServerLimit, nowMs: number): LimitRow {
  const { perSecond = null, sentAtMs, heardAtMs } = limit;
  const ages = [Math.round(nowMs - sentAtMs), Math.round(nowMs - heardAtMs)] as const;
  return [entry.id, entry.bornAtMs ?? null, perSecond, ...ages];
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
  const { boxId, limits } = event.message;
  for (const row of limits.filter(isLimitRow)) takeRow(state, step, row, boxId);
}

function takeRow(state: GatewayState, step: Step, row: LimitRow, source: string): void {
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
  // Whoever told it told all others, but those that hear it from this box.
  const { limit } = view;
  if (limit === undefined || limit.perSecond !== perSecond) return;
  if (!handsOn(state)) limit.told = { perSecond, atMs: step.nowMs };
}

/** A server that does not tell when it was born has one life for all that is known. */
function isOfLife({ entry }: ServerView, bornAtMs: number | null): boolean {
  return bornAtMs === null || entry.bornAtMs === undefined || entry.bornAtMs === bornAtMs;
}

/** Whether a value is a limit as it is told: datagrams come from other versions too. */
function isLimitRow(row: unknown): row is LimitRow {
  if (!Array.isArray(row) || row.length < 5 || typeof row[0] !== 'string') return false;
  const [, bornAtMs, perSecond, ...ages] = row as unknown[];
  const isNumberOrNull = (value: unknown): boolean => value === null || Number.isFinite(value);
  const isLimit = isNumberOrNull(perSecond) && (perSecond === null || Number(perSecond) >= 0);
  return isNumberOrNull(bornAtMs) && isLimit && ages.slice(0, 2).every(Number.isFinite);
}
