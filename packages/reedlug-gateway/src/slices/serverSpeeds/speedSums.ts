/** Sums of the sends of this box and of its peers by server, from which speeds are estimated. */
import {
  combineSpeedSums,
  createSpeedSums,
  evidenceOf,
  withSend,
} from '../../policy/serverSpeed.js';
import { decaySpeedSums, SPEED_HALF_LIFE_MS } from '../../policy/serverSpeed.js';
import { decayFactor } from '../../policy/decayFactor.js';
import type { GatewayState, Step } from '../../state.js';
import type { PeerMessage } from '../../types/peer.js';
import type { Attempt } from '../../types/request.js';
import { isLaterIncarnation } from '../../types/server.js';
import type { DatedSpeedSums, ReceivedSpeeds } from '../../types/serverSpeed.js';
import type { ServerView } from '../../types/views.js';
import type { PeerWithMessage } from '../peers/fleet.js';

/** Evidence below which sums are dropped, in ms of expected time. */
const MIN_EVIDENCE_MS = 1;
/**
 * Maximum number of servers whose sums are kept for one peer, so that malformed messages cannot
 * fill the memory.
 */
const MAX_SERVERS = 20_000;

/** Sums by server id. */
export type SumsByServer = Map<string, DatedSpeedSums>;

/** Records the time to the first event of a send that the service's model records as well. */
export function recordSpeed(
  state: GatewayState,
  step: Step,
  send: { view: ServerView; attempt: Attempt; waitMs: number },
): void {
  if (!state.settings.load.learnServerSpeeds) return;
  const { view, attempt, waitMs } = send;
  const { id, bornAtMs } = view.entry;
  const known = state.serverSpeeds.own.get(id);
  const isKnown = known !== undefined && known.bornAtMs === bornAtMs;
  const sums = isKnown ? decaySpeedSums(known.sums, step.nowMs - known.atMs) : createSpeedSums();
  const { modelMs: expectedMs } = attempt;
  state.serverSpeeds.own.set(id, {
    bornAtMs,
    sums: withSend(sums, { expectedMs, waitMs, wallClockMs: step.wallClockMs }),
    atMs: step.nowMs,
  });
}

/**
 * Records the sums in a peer's message. Each row replaces the one received before from this peer,
 * so that a lost or repeated message leaves the sums correct; servers without a row keep theirs.
 */
export function mergeSpeedGossip(state: GatewayState, step: Step, message: PeerMessage): void {
  const { speeds, boxId, scope, incarnation } = message;
  if (speeds === undefined || !state.settings.load.learnServerSpeeds) return;
  const { received } = state.serverSpeeds;
  const known = received.get(boxId);
  const isContinued = known?.scope === scope && known.incarnation === incarnation;
  const byServer: SumsByServer = isContinued ? known.byServer : new Map();
  for (const { serverId, bornAtMs, sums } of speeds) {
    if (byServer.size >= MAX_SERVERS && !byServer.has(serverId)) continue;
    byServer.set(serverId, { bornAtMs, sums, atMs: step.nowMs });
  }
  received.set(boxId, { scope, incarnation, receivedAtMs: step.nowMs, byServer });
}

/** Returns the sums received from a peer that match its last message. */
export function sumsFrom(
  state: GatewayState,
  { boxId, message }: PeerWithMessage,
): ReceivedSpeeds | undefined {
  const received = state.serverSpeeds.received.get(boxId);
  if (received?.scope !== message.scope) return undefined;
  return received.incarnation === message.incarnation ? received : undefined;
}

/** Adds sums to others, decayed to the given time; those of an earlier incarnation are replaced. */
export function addSums(total: SumsByServer, added: SumsByServer, nowMs: number): void {
  for (const [id, { bornAtMs, sums, atMs }] of added) {
    const factor = decayFactor(nowMs - atMs, SPEED_HALF_LIFE_MS);
    const known = total.get(id);
    if (known !== undefined && isLaterIncarnation(known.bornAtMs, bornAtMs)) continue;
    const isSame = known !== undefined && !isLaterIncarnation(bornAtMs, known.bornAtMs);
    const base = isSame ? known.sums : createSpeedSums();
    total.set(id, { bornAtMs, sums: combineSpeedSums(base, 1, sums, factor), atMs: nowMs });
  }
}

/** Returns a server's sums less those of one peer, all decayed to the given time. */
export function withoutPeer(
  total: DatedSpeedSums,
  part: DatedSpeedSums | undefined,
  nowMs: number,
): DatedSpeedSums {
  if (part === undefined || part.bornAtMs !== total.bornAtMs) return total;
  const factor = decayFactor(nowMs - part.atMs, SPEED_HALF_LIFE_MS);
  return { ...total, sums: combineSpeedSums(total.sums, 1, part.sums, -factor) };
}

/** Returns the total evidence of sums, in ms of expected time. */
export function totalEvidence(byServer: SumsByServer): number {
  let totalMs = 0;
  for (const { sums } of byServer.values()) totalMs += evidenceOf(sums);
  return totalMs;
}

/** Drops sums of servers that are gone, of peers that are gone, and what has decayed. */
export function pruneSums(state: GatewayState, nowMs: number): void {
  const { own, received } = state.serverSpeeds;
  for (const [id, { bornAtMs }] of own) {
    const view = state.servers.get(id);
    if (view === undefined || view.entry.bornAtMs !== bornAtMs) own.delete(id);
  }
  pruneDecayed(own, nowMs);
  for (const [boxId, { byServer }] of received) {
    if (state.peers.get(boxId)?.message === undefined) received.delete(boxId);
    else pruneDecayed(byServer, nowMs);
  }
}

function pruneDecayed(byServer: SumsByServer, nowMs: number): void {
  for (const [id, { sums, atMs }] of byServer) {
    const evidenceMs = evidenceOf(sums) * decayFactor(nowMs - atMs, SPEED_HALF_LIFE_MS);
    if (evidenceMs < MIN_EVIDENCE_MS) byServer.delete(id);
  }
}
