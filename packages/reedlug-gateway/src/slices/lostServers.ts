/**
 * Servers with lost sends, until it is known whether they crashed.
 *
 * A reset of one connection, a drain, a reclaim and this box's own cancel are no crash.
 * A server that was not leaving has crashed when its port refuses a new connection right
 * after, when it is born again, or when its entry goes: the first says so some ms after
 * the loss, the others seconds later.
 */
import { noteFailure, noteGone } from '../policy/serverHealth.js';
import type { GatewayState, Step } from '../state.js';
import type { EventOf } from '../types/event.js';
import type { LostServer } from '../types/crashSuspect.js';
import type { Attempt, RequestRecord } from '../types/request.js';
import type { ServerView } from '../types/views.js';
import {
  hasEndedBefore,
  isPastCrashPoint,
  recordCrash,
  recordGoodRun,
  suspectKey,
} from './crashSuspects.js';

/** Time for which it may still come out that a server has crashed, in ms: its entry goes after three heartbeats, or it is born again after some seconds. */
const OPEN_MS = 15_000;

/** A send of this box was lost: it counts against its server, if that is still known. */
export function noteLoss(
  state: GatewayState,
  step: Step,
  params: { record: RequestRecord; attempt: Attempt; view: ServerView | undefined },
): void {
  const { record, attempt, view } = params;
  if (view === undefined) return;
  noteFailure(view, step.nowMs);
  noteLostSend(state, step, { record, attempt, view });
}

/** Notes a send that its server will not answer, and asks whether the server is still there. */
export function noteLostSend(
  state: GatewayState,
  step: Step,
  params: { record: RequestRecord; attempt: Attempt; view: ServerView },
): void {
  const { record, attempt, view } = params;
  if (view.leaving) return;
  if (isPastCrashPoint(attempt, step.nowMs)) {
    return recordGoodRun(state, step, record);
  }
  const key = suspectKey(record.workspace, record.facts.digest);
  const send = { key, sentAtMs: attempt.sentAtMs, lostAtMs: step.nowMs };
  const known = state.lostServers.get(view.life);
  if (known !== undefined) {
    known.sends.push(send);
    if (known.isGone) noteSendCrash(state, step, known, send);
    return;
  }
  const { id: serverId, bornAtMs, address } = view.entry;
  const lost = { serverId, bornAtMs, firstLostAtMs: step.nowMs, sends: [send], isGone: false };
  state.lostServers.set(view.life, lost);
  step.effects.push({ type: 'probeServer', life: view.life, address });
}

/** What came of a new connection to a server with lost sends. */
export function onServerProbed(
  state: GatewayState,
  step: Step,
  event: EventOf<'serverProbed'>,
): void {
  // A server that accepts may be the next life, and one that is silent may be cut off: both come out later.
  if (event.outcome === 'refused') noteLifeOver(state, step, event.life);
}

/** A server's life is over: what was lost there counts as under a crash. */
export function noteLifeOver(state: GatewayState, step: Step, life: number): void {
  const lost = state.lostServers.get(life);
  if (lost === undefined || lost.isGone) return;
  lost.isGone = true;
  const view = state.servers.get(lost.serverId);
  if (view?.life === life) noteGone(view, step.nowMs);
  for (const send of lost.sends) noteSendCrash(state, step, lost, send);
}

function noteSendCrash(
  state: GatewayState,
  step: Step,
  { serverId, bornAtMs }: LostServer,
  { key, sentAtMs, lostAtMs }: LostServer['sends'][number],
): void {
  const crash = { serverId, bornAtMs, sentAtMs, endedAtMs: lostAtMs };
  // A forwarder may take what comes after the end, and lose it: the server did not end under that.
  if (!hasEndedBefore(state, crash)) recordCrash(state, step, key, crash);
}

/** Forgets servers of which nothing came out. */
export function lostServersTick(state: GatewayState, step: Step): void {
  for (const [life, { firstLostAtMs }] of state.lostServers) {
    if (step.nowMs - firstLostAtMs >= OPEN_MS) state.lostServers.delete(life);
  }
}
