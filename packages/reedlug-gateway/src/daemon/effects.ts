/** Performs the reducer's effects. */
import { performance } from 'node:perf_hooks';
import type { StoreTableReply } from '../adapter.js';
import type { Effect, EffectOf } from '../types/effect.js';
import type { CloudOutcome } from '../types/event.js';
import { PlatformCallKind, PlatformCallOutcome } from '../types/platformCall.js';
import type { HostPort } from '../types/server.js';
import type { Runtime } from './runtime.js';
import { connectingPeers } from '../slices/peers/connectingPeers.js';
import { eventsOfSharedState } from '../slices/peers/sharedState.js';
import { countEvent } from '../observe/gatewayMetrics.js';
import { CLOUD_TIMEOUT_MS, CONNECT_TIMEOUT_MS, TABLE_TIMEOUT_MS } from './daemonTimes.js';
import { eventsOfTable } from './tableEvents.js';
import { probeServer, type PeerProbe } from './probeServer.js';
import { openTunnel } from './tunnels/openTunnel.js';
import { sendOnceRead } from './sendEffect.js';
import { withinLimit } from './withinLimit.js';
import type { CallerExchange } from './callerServer.js';
import { cutAnswer, writePlainAnswer, writeRefusal, writeStreamHead } from './exchanges.js';

/** How a call of the cloud is counted, by its outcome. */
const CLOUD_CALL_OUTCOME: Record<CloudOutcome, PlatformCallOutcome> = {
  done: PlatformCallOutcome.done,
  fenced: PlatformCallOutcome.conflict,
  refused: PlatformCallOutcome.conflict,
  unavailable: PlatformCallOutcome.refused,
  unknown: PlatformCallOutcome.unanswered,
};
/** Peers that are asked in turn whether a server that refuses this box is gone. */
const MAX_PEER_PROBES = 2;

/** Shortest time of a delivery that is reported, in ms: nearly all answers leave sooner, and each event has a cost. */
const MIN_REPORTED_DELIVERY_MS = 100;

/** Performs one effect; its result arrives as a later event. */
export function performEffect(runtime: Runtime, effect: Effect): void {
  switch (effect.type) {
    case 'send':
      return sendOnceRead(runtime, effect);
    case 'cancelAttempt':
      return cancel(runtime, effect.attemptId);
    case 'relay':
      return relay(runtime, effect);
    case 'refuse':
      return refuse(runtime, effect);
    case 'cutCaller': {
      const exchange = runtime.exchanges.get(effect.exchangeId);
      runtime.exchanges.delete(effect.exchangeId);
      if (exchange !== undefined) cutAnswer(exchange.response);
      return;
    }
    case 'probeServer':
      return probe(runtime, effect);
    case 'checkLinks':
      return void runtime.linkChecker.check({ sinceMs: runtime.clock.nowMs() });
    case 'requestTable':
      return requestTable(runtime, effect);
    case 'callCloud':
      return callCloud(runtime, effect);
    case 'readStoreAgain':
      return runtime.feeds?.restart();
    case 'listingEnded':
      return runtime.answerHolds.endListingWait(effect.attemptId);
    case 'sendPeers':
      return runtime.peers.send(effect.message, effect.to);
    case 'askPeer':
      return askPeer(runtime, effect);
    case 'enterBox':
      return enterBox(runtime, effect);
    case 'stopped':
      return runtime.onStopped();
    case 'log':
      countEvent(runtime.metrics, effect.event, effect.fields);
      return runtime.logger(effect.event, effect.fields);
  }
}

function cancel(runtime: Runtime, attemptId: number): void {
  runtime.attempts.get(attemptId)?.cancel();
  runtime.attempts.delete(attemptId);
  runtime.answerHolds.forget(attemptId);
}

function relay(runtime: Runtime, effect: EffectOf<'relay'>): void {
  const { exchangeId, attemptId } = effect;
  const exchange = runtime.exchanges.get(exchangeId);
  const answer = runtime.attempts.get(attemptId)?.answer();
  if (exchange === undefined || answer === undefined) return;
  const codec = runtime.adapter.headers;
  if (effect.part === 'streamHead') return writeStreamHead(exchange, codec, answer);
  runtime.exchanges.delete(exchangeId);
  writePlainAnswer(exchange, codec, answer);
  holdUntilRead(runtime, exchange, effect.routeName);
}

/** Counts a complete answer until its caller has read it, and reports how long that took. */
function holdUntilRead(runtime: Runtime, { response }: CallerExchange, routeName: string): void {
  const { answerBudget, clock, emit } = runtime;
  const unreadBytes = response.writableLength;
  if (unreadBytes === 0) return;
  const hold = answerBudget.hold(() => undefined);
  hold.complete();
  hold.add(unreadBytes);
  const startedAtMs = clock.nowMs();
  response.once('close', () => {
    hold.release();
    const tookMs = clock.nowMs() - startedAtMs;
    if (tookMs >= MIN_REPORTED_DELIVERY_MS) emit({ type: 'answerDelivered', routeName, tookMs });
  });
}

function refuse(runtime: Runtime, effect: EffectOf<'refuse'>): void {
  const { exchangeId, status, reason, retryAfterMs } = effect;
  const exchange = runtime.exchanges.get(exchangeId);
  if (exchange === undefined) return;
  runtime.exchanges.delete(exchangeId);
  const { requestId } = effect;
  writeRefusal(exchange, runtime.adapter.headers, { status, reason, requestId, retryAfterMs });
}

function probe(runtime: Runtime, { life, serverId, address }: EffectOf<'probeServer'>): void {
  const { state, clock } = runtime;
  const view = state.servers.get(serverId);
  const peers = view === undefined ? [] : connectingPeers(state, view, { nowMs: clock.nowMs() });
  const { id: boxId, ip: boxHost } = state.settings.box;
  const shared = { serverId, boxId, boxHost, requestId: '', timeoutMs: CONNECT_TIMEOUT_MS };
  const probeThrough = (peer: HostPort): PeerProbe => {
    return (report) => openTunnel({ ...shared, peer }, report);
  };
  const peerProbes = peers.slice(0, MAX_PEER_PROBES).map(probeThrough);
  const sinceMs = clock.nowMs();
  const checkLinks = () => runtime.linkChecker.check({ sinceMs, exceptServerId: serverId });
  void probeServer(address, { peerProbes, checkLinks }).then((outcome) => {
    runtime.emit({ type: 'serverProbed', life, outcome });
  });
}

function requestTable(runtime: Runtime, effect: EffectOf<'requestTable'>): void {
  const { purpose, op } = effect;
  const sentAtMs = effect.sentAtMs;
  const call = () => runtime.store.table(op, TABLE_TIMEOUT_MS, purpose.kind);
  const abandoned: StoreTableReply = {
    answer: { kind: 'unknown' },
    storeNowMs: undefined,
    era: undefined,
  };
  const limit = { timeoutMs: TABLE_TIMEOUT_MS, abandoned, onFault: runtime.faults.onCallFailed };
  void withinLimit(runtime.clock, call, limit).then((reply) => {
    for (const event of eventsOfTable(runtime.state, { purpose, sentAtMs, reply })) {
      runtime.emit(event);
    }
  });
}

/** Writes this box's entry to the store. The box sees the result in the list, and the reducer repeats the effect until it does. */
function enterBox(runtime: Runtime, effect: EffectOf<'enterBox'>): void {
  const { boxId, address, holdsPart } = effect;
  void runtime.store.announceBox(boxId, address, holdsPart).then((isWritten) => {
    if (!isWritten) runtime.logger('announceFailed', { box: boxId });
  });
}

function callCloud(runtime: Runtime, effect: EffectOf<'callCloud'>): void {
  const { callId, call, fence } = effect;
  const startedAtMs = performance.now();
  const holderId = runtime.settings.box.id;
  const { cloud, clock } = runtime;
  if (cloud === undefined) return;
  const timeoutMs = CLOUD_TIMEOUT_MS;
  const limit = { timeoutMs, abandoned: 'unknown', onFault: runtime.faults.onCallFailed } as const;
  const answered = () => cloud.call({ call, holderId, fence, timeoutMs });
  void withinLimit<CloudOutcome>(clock, answered, limit).then((outcome) => {
    const tookMs = Math.round(performance.now() - startedAtMs);
    runtime.logger('cloudAnswered', { kind: call.kind, fence, outcome, tookMs });
    runtime.calls.count({
      purpose: call.kind,
      kind: PlatformCallKind.write,
      outcome: CLOUD_CALL_OUTCOME[outcome],
    });
    runtime.emit({ type: 'cloudAnswered', callId, outcome });
  });
}

function askPeer(runtime: Runtime, effect: EffectOf<'askPeer'>): void {
  const { peer, withServers, configurationVersion } = effect;
  runtime.states.requestConfiguration(peer, configurationVersion);
  if (!withServers) return;
  void runtime.states.requestRegistry(peer).then((shared) => {
    if (shared === undefined) return;
    for (const event of eventsOfSharedState(shared)) runtime.emit(event);
  });
}
