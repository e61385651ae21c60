/**
 * Tracks servers with lost sends until it is known whether they crashed.
 *
 * A reset of one connection, a drain, a reclaim or a cancellation by this box is not a crash.
 * A server that was not draining has crashed if its port refuses a new connection right
 * after the loss, if it restarts, or if its entry disappears. The first is known some ms after
 * the loss, the others seconds later.
 */
import { recordFailure, recordGone } from '../../policy/serverHealth.js';
import type { GatewayState, Step } from '../../state.js';
import type { EventOf } from '../../types/event.js';
import type { LostServer } from '../../types/crashSuspect.js';
import type { Attempt, RequestRecord } from '../../types/request.js';
import type { ServerView } from '../../types/views.js';
import { goodPartKeys, rememberGoodParts } from './goodParts.js';
import {
  clearSuspects,
  hasEndedBefore,
  isPastCrashPoint,
  provenKeys,
  recordCrash,
  recordGoodRun,
} from './crashSuspects.js';
import { suspectKeysOf } from './suspectKeys.js';

/** How long after a loss a crash of the server may still be detected, in ms: its entry expires after three heartbeats, or it restarts after some seconds. */
const CRASH_DETECTION_MS = 15_000;

/** Maximum number of answers that are kept after they ended with their connections, and for how long, in ms: until the next connection to their server. */
const MAX_UNCERTAIN_ENDS = 256;
const UNCERTAIN_END_RETENTION_MS = 1000;
/** Time within which what a server sent before its end arrives, in ms. */
const SAME_END_MS = 100;

/** Records a lost send of this box, as a failure of its server if that is still known. */
export function recordLoss(
  state: GatewayState,
  step: Step,
  params: { record: RequestRecord; attempt: Attempt; view: ServerView | undefined },
): void {
  const { record, attempt, view } = params;
  if (view === undefined) return;
  recordFailure(view, step.nowMs);
  recordLostSend(state, step, { record, attempt, view });
}

/** Records a send that its server will not answer, and probes whether the server is still up. */
export function recordLostSend(
  state: GatewayState,
  step: Step,
  params: { record: RequestRecord; attempt: Attempt; view: ServerView },
): void {
  const { record, attempt, view } = params;
  if (view.leaving) return;
  if (isPastCrashPoint(attempt, step.nowMs)) {
    return recordGoodRun(state, step, record);
  }
  const keys = suspectKeysOf(record);
  const send = { keys, sentAtMs: attempt.sentAtMs, lostAtMs: step.nowMs };
  addLostSends(state, step, view, [send]);
}

function addLostSends(
  state: GatewayState,
  step: Step,
  view: ServerView,
  sends: LostServer['sends'],
): void {
  const known = state.lostServers.get(view.life);
  if (known !== undefined) {
    known.sends.push(...sends);
    if (known.isGone) recordSendCrashes(state, step, known, sends);
    return;
  }
  const { id: serverId, bornAtMs, address } = view.entry;
  const all = [...uncertainEndsAt(state, view.life), ...sends];
  const lost = { serverId, bornAtMs, firstLostAtMs: step.nowMs, sends: all, isGone: false };
  state.lostServers.set(view.life, lost);
  step.effects.push({ type: 'probeServer', life: view.life, serverId, address });
}

/**
 * Records an answer that ended with its connection soon after its first output. If its server turns out
 * to have crashed at that moment, the request is a suspect as if it had been lost.
 */
export function recordUncertainEnd(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  { serverId, life, sentAtMs }: Attempt,
): void {
  const send = { keys: suspectKeysOf(record), sentAtMs, lostAtMs: step.nowMs };
  const known = state.lostServers.get(life);
  if (known !== undefined) {
    known.sends.push(send);
    if (known.isGone) recordSendCrashes(state, step, known, [send]);
    return;
  }
  state.uncertainEnds.push({ serverId, life, send, goodParts: goodPartKeys(record) });
  if (state.uncertainEnds.length > MAX_UNCERTAIN_ENDS) state.uncertainEnds.shift();
}

/** Probes a server that can't be connected to, or that another box saw end, if answers of it ended with their connections just before. */
export function recordRefusedConnection(state: GatewayState, step: Step, view: ServerView): void {
  if (view.leaving || state.lostServers.has(view.life)) return;
  const ends = uncertainEndsAt(state, view.life);
  if (ends.length > 0) addLostSends(state, step, view, []);
}

/** Counts the answers as good runs whose servers have sent something since; forgets those that stay uncertain. */
function settleUncertainEnds(state: GatewayState, step: Step): void {
  state.uncertainEnds = state.uncertainEnds.filter(({ serverId, life, send, goodParts }) => {
    const { keys, lostAtMs } = send;
    const view = state.servers.get(serverId);
    const livesOn = view?.life === life && view.receivedAtMs > lostAtMs + SAME_END_MS;
    if (livesOn) {
      rememberGoodParts(state, goodParts, lostAtMs);
      clearSuspects(state, step, keys, lostAtMs);
    }
    return !livesOn && step.nowMs - lostAtMs < UNCERTAIN_END_RETENTION_MS;
  });
}

function uncertainEndsAt({ uncertainEnds }: GatewayState, life: number): LostServer['sends'] {
  return uncertainEnds.filter((end) => end.life === life).map(({ send }) => send);
}

/** Handles the result of a new connection to a server with lost sends. */
export function onServerProbed(
  state: GatewayState,
  step: Step,
  event: EventOf<'serverProbed'>,
): void {
  // A server that accepts may be the next incarnation, and a silent one may be partitioned: both are detected later.
  if (event.outcome !== 'refused') return;
  const serverId = state.lostServers.get(event.life)?.serverId ?? '';
  const view = state.servers.get(serverId);
  if (view?.life === event.life) view.endSuspectedAtMs = step.nowMs;
  recordIncarnationEnd(state, step, event.life);
}

/** Records the end of a server's incarnation: the sends lost there count as lost in a crash. */
export function recordIncarnationEnd(state: GatewayState, step: Step, life: number): void {
  const lost = state.lostServers.get(life);
  if (lost === undefined || lost.isGone) return;
  lost.isGone = true;
  const view = state.servers.get(lost.serverId);
  if (view?.life === life) recordGone(view, step.nowMs);
  recordSendCrashes(state, step, lost, lost.sends);
}

function recordSendCrashes(
  state: GatewayState,
  step: Step,
  { serverId, bornAtMs }: LostServer,
  sends: LostServer['sends'],
): void {
  const proven = provenKeys(state, step.nowMs);
  for (const { keys, sentAtMs, lostAtMs } of sends) {
    const crash = { serverId, bornAtMs, sentAtMs, endedAtMs: lostAtMs };
    // A forwarding proxy may accept and lose a request after the server has ended: that request did not crash it.
    if (!hasEndedBefore(state, crash)) recordCrash(state, step, { crash, keys }, proven);
  }
}

/** Removes servers and ended answers for which no crash was detected in time. */
export function lostServersTick(state: GatewayState, step: Step): void {
  if (state.uncertainEnds.length > 0) settleUncertainEnds(state, step);
  for (const [life, { firstLostAtMs }] of state.lostServers) {
    if (step.nowMs - firstLostAtMs >= CRASH_DETECTION_MS) state.lostServers.delete(life);
  }
}
