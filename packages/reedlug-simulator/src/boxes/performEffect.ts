/** Executes the effects of a box's reducer in the simulated world. */
import {
  PEER_IDLE_TIMEOUT_MS,
  CLOUD_TIMEOUT_MS,
  CONNECT_TIMEOUT_MS,
  eventOfDatagram,
  eventsOfShared,
  eventsOfTable,
  sharedStateOf,
  TABLE_TIMEOUT_MS,
  type Effect,
  CONNECTION_REFUSED_REASON,
} from 'reedlug-gateway';
import { handleCloudCall } from '../servers/engineOrders.js';
import { isReachableFrom, submitToEngine } from '../servers/virtualServers.js';
import type { VirtualServer } from '../servers/virtualServer.js';
import { recordLog } from '../report/boxRecord.js';
import { recordArrival, recordRun } from '../report/requestRecord.js';
import {
  arePartitioned,
  boxAt,
  later,
  nowMs,
  nextNumber,
  latencyMs,
  type World,
} from '../world.js';
import { isQueueShut, recordRejection } from '../faults/brittleServers.js';
import { crashUnder, recordCrashingSend } from '../faults/crashingRequests.js';
import { exceedsStatedLimit, recordLimitedArrival } from '../faults/limitedServers.js';
import {
  refusesRequest,
  recordStatementArrival,
  recordStatements,
  statementsOf,
} from '../faults/serverStatements.js';
import { faultOfVersion, recordRolloutArrival } from '../faults/rollouts.js';
import { setSlowFactor } from '../servers/batchEngine.js';
import { createHeldDelivery } from './heldDelivery.js';
import type { VirtualBox } from './virtualBox.js';
import { killBox, stopRunAt } from './killBox.js';

/** Zone of the cloud; nothing else is in it. */
const CLOUD_ZONE = '(cloud)';
/** Urgency of a request that states none. */
const DEFAULT_URGENCY = 5;
/** Time until a server answers with a failure, in ms. */
const FAILURE_MS = 5;

type EffectOf<T extends Effect['type']> = Extract<Effect, { type: T }>;

/** Executes one effect; its result is emitted as a later event. */
export function performEffect(world: World, box: VirtualBox, effect: Effect): void {
  switch (effect.type) {
    case 'send':
      return send(world, box, effect);
    case 'cancelAttempt':
      return cancel(world, box, effect.attemptId);
    case 'relay':
      return relay(box, effect);
    case 'refuse':
      return refuse(box, effect);
    case 'cutCaller': {
      box.exchanges.get(effect.exchangeId)?.onConnectionLost();
      box.exchanges.delete(effect.exchangeId);
      return;
    }
    case 'probeServer':
      return probe(world, box, effect);
    case 'checkLinks':
      // Links of single boxes do not fail here.
      return;
    case 'requestTable':
      return requestTable(box, effect);
    case 'callCloud':
      return callCloud(world, box, effect);
    case 'listingEnded':
      return box.answerHolds?.endListingWait(effect.attemptId);
    case 'readStoreAgain':
      return box.feeds?.restart();
    case 'sendPeers':
      return sendPeers(world, box, effect);
    case 'askPeer':
      return askPeer(world, box, effect);
    case 'enterBox':
      void box.store?.announceBox(effect.boxId, effect.address, effect.holdsPart);
      return;
    case 'stopped':
      return killBox(world, box, true);
    case 'log':
      return recordLog(world, box.id, effect.event, effect.fields);
  }
}

function send(world: World, box: VirtualBox, effect: EffectOf<'send'>): void {
  const { exchangeId, attemptId, order } = effect;
  const ids = { exchangeId, attemptId };
  const server = world.servers.get(order.serverId);
  const caller = box.exchanges.get(exchangeId);
  if (caller === undefined) return;
  caller.isSent = true;
  if (server === undefined || !isReachableFrom(world, box.settings.box.zone, server)) {
    // A closed port refuses the connection at once; a silent or partitioned server lets it time out.
    const isGone = server === undefined;
    return later(world, isGone ? 1 : CONNECT_TIMEOUT_MS, () => {
      if (box.sends.has(attemptId) || !box.state.requests.has(exchangeId)) return;
      box.emit({
        type: 'attemptNotSent',
        ...ids,
        reason: isGone ? CONNECTION_REFUSED_REASON : 'timeout',
      });
    });
  }
  const runId = nextNumber(world, 'runs');
  box.sends.set(attemptId, { exchangeId, serverId: order.serverId, runId });
  server.openRuns.set(runId, () => {
    if (!box.sends.delete(attemptId)) return;
    box.emit({ type: 'attemptLost', ...ids, reason: 'connectionReset' });
  });
  const ms = latencyMs(world, box.settings.box.zone, server.entry.zone);
  later(world, ms, () => {
    if (!box.sends.has(attemptId) || !world.servers.has(order.serverId)) return;
    arriveAtServer(world, box, { server, effect, runId });
  });
}

/** Handles a request that reaches its server. */
function arriveAtServer(
  world: World,
  box: VirtualBox,
  params: { server: VirtualServer; effect: EffectOf<'send'>; runId: number },
): void {
  const { server, effect, runId } = params;
  const { exchangeId, attemptId, order } = effect;
  const ids = { exchangeId, attemptId };
  const caller = box.exchanges.get(exchangeId);
  if (caller === undefined) return;
  const { request } = caller;
  recordArrival(world, request, server.entry.service);
  recordRolloutArrival(world, server);
  recordLimitedArrival(world, server, box);
  const callerSentAtMs = request.reachedBoxAtMs ?? nowMs(world);
  recordStatementArrival(world, { server, box, callerSentAtMs });
  if (request.crashesServer !== undefined) {
    recordCrashingSend(world, box, request.crashesServer);
    return crashUnder(world, server, request.crashesServer);
  }
  const versionFault = faultOfVersion(world, server, request.spec.name);
  const tryNumber = request.tries;
  const arrivedAtMs = nowMs(world);
  /**
   * Records the run, unless it belongs to an earlier try: a server that could not be cancelled may
   * still start that one.
   */
  const recordStart = (): void => {
    if (request.tries === tryNumber) recordRun(world, request, arrivedAtMs);
  };
  /** Set once a network partition has dropped bytes of the connection; it delivers nothing afterwards. */
  let isBroken = false;
  /** Delivers what the server sends, unless it is unreachable or the box has cancelled the attempt. */
  const respond = (deliver: () => void): void => {
    isBroken ||= !isReachableFrom(world, box.settings.box.zone, server);
    if (isBroken) return;
    const ms = latencyMs(world, box.settings.box.zone, server.entry.zone);
    later(world, ms, () => {
      if (box.sends.has(attemptId)) deliver();
    });
  };
  const delivery = createHeldDelivery(box, ids);
  const answer = (verdict: 'success' | 'failure' | 'notRun', status: number): void => {
    const statements = statementsOf(world, server, verdict === 'notRun');
    respond(() => {
      const isOpen = verdict === 'success' && effect.streaming;
      if (!isOpen) endSend(box, server, attemptId, runId);
      box.emit({ type: 'answerBegun', ...ids, statements });
      recordStatements(world, { server, box, statements });
      if (isOpen) delivery.holdIfNeeded();
      const report = (): void => box.emit({ type: 'attemptAnswered', ...ids, verdict, status });
      if (isOpen) delivery.deliver(report);
      else report();
    });
  };
  const onRejected = (): void => {
    answer('notRun', 503);
    recordRejection(world, server, box);
  };
  if (isQueueShut(world, server)) return onRejected();
  if (exceedsStatedLimit(world, server) || refusesRequest(world, server)) {
    return answer('notRun', 503);
  }
  if (server.work.kind === 'plain') {
    const onAnswered = (): void => {
      recordStart();
      answer('success', 200);
    };
    if (versionFault.fails) return later(world, FAILURE_MS, () => answer('failure', 500));
    const workMs = request.workMs * versionFault.slowFactor;
    return server.work.server.submit({ runId, workMs, onAnswered, onRejected });
  }
  setSlowFactor(server.work.engine, versionFault.slowFactor);
  if (versionFault.fails || world.random.chance(world.failShare)) {
    recordStart();
    return later(world, FAILURE_MS, () => answer('failure', 500));
  }
  let hasStarted = false;
  const fromEvent = Math.max(order.resumeAfterEventId ?? request.lastEventId ?? 0, 0);
  submitToEngine(world, server.work.engine, {
    runId,
    urgency: order.urgency ?? DEFAULT_URGENCY,
    parts: request.facts.promptParts,
    fromEvent,
    events: request.events,
    onRejected,
    onEvent(event, isLast) {
      if (!hasStarted) {
        hasStarted = true;
        recordStart();
        answer('success', 200);
      }
      const version = server.entry.version ?? '';
      const relayEvent = (): void => {
        box.exchanges.get(exchangeId)?.onEvent(event, version);
        box.emit({ type: 'eventsRelayed', ...ids, lastEventId: event });
        if (!isLast) return;
        endSend(box, server, attemptId, runId);
        box.exchanges.get(exchangeId)?.onEnded();
        box.exchanges.delete(exchangeId);
        box.emit({ type: 'attemptEnded', ...ids });
      };
      respond(() => delivery.deliver(relayEvent));
    },
  });
}

function endSend(box: VirtualBox, server: VirtualServer, attemptId: number, runId: number): void {
  box.sends.delete(attemptId);
  server.openRuns.delete(runId);
}

function cancel(world: World, box: VirtualBox, attemptId: number): void {
  const sent = box.sends.get(attemptId);
  if (sent === undefined) return;
  box.sends.delete(attemptId);
  const zone = world.servers.get(sent.serverId)?.entry.zone ?? '';
  box.answerHolds?.forget(attemptId);
  later(world, latencyMs(world, box.settings.box.zone, zone), () => {
    stopRunAt(world, sent.serverId, sent.runId);
  });
}

/** Relays a whole answer; a stream's head is delivered with its first event. */
function relay(box: VirtualBox, effect: EffectOf<'relay'>): void {
  if (effect.part !== 'whole') return;
  box.exchanges.get(effect.exchangeId)?.onAnswer();
  box.exchanges.delete(effect.exchangeId);
}

function refuse(box: VirtualBox, effect: EffectOf<'refuse'>): void {
  const { exchangeId, status, reason, retryAfterMs } = effect;
  box.exchanges.get(exchangeId)?.onRefused({ status, reason, retryAfterMs });
  box.exchanges.delete(exchangeId);
}

/** Probes a server. Addresses are never reused, so the address shows whether the server still exists. */
function probe(world: World, box: VirtualBox, effect: EffectOf<'probeServer'>): void {
  const { host } = effect.address;
  const server = [...world.servers.values()].find(({ entry }) => entry.address.host === host);
  const { life } = effect;
  const ms = 2 * world.scene.network.otherZoneMs;
  if (server === undefined) {
    return later(world, ms, () => box.emit({ type: 'serverProbed', life, outcome: 'refused' }));
  }
  const isReached = isReachableFrom(world, box.settings.box.zone, server);
  const outcome = isReached ? 'accepted' : 'silent';
  later(world, isReached ? ms : CONNECT_TIMEOUT_MS, () => {
    box.emit({ type: 'serverProbed', life, outcome });
  });
}

function requestTable(box: VirtualBox, effect: EffectOf<'requestTable'>): void {
  const { purpose, op, sentAtMs } = effect;
  void box.store?.table(op, TABLE_TIMEOUT_MS, purpose.kind).then((reply) => {
    for (const event of eventsOfTable(box.state, { purpose, sentAtMs, reply })) box.emit(event);
  });
}

function callCloud(world: World, box: VirtualBox, effect: EffectOf<'callCloud'>): void {
  const { callId, call, fence } = effect;
  if (arePartitioned(world, box.settings.box.zone, CLOUD_ZONE)) {
    return later(world, CLOUD_TIMEOUT_MS, () =>
      box.emit({ type: 'cloudAnswered', callId, outcome: 'unknown' }),
    );
  }
  later(world, world.scene.storeAnswerMs, () => {
    const outcome = handleCloudCall(world, { call, holder: box.id, fence });
    box.emit({ type: 'cloudAnswered', callId, outcome });
  });
}

function sendPeers(world: World, box: VirtualBox, effect: EffectOf<'sendPeers'>): void {
  for (const { host } of effect.to) {
    const peer = boxAt(world, host);
    if (peer === undefined) continue;
    world.record.datagrams += 1;
    const { zone } = peer.settings.box;
    if (arePartitioned(world, box.settings.box.zone, zone)) continue;
    if (world.random.chance(world.scene.network.datagramLossShare)) continue;
    later(world, latencyMs(world, box.settings.box.zone, zone), () => {
      if (peer.isListening) peer.emit(eventOfDatagram(effect.message));
    });
  }
}

function askPeer(world: World, box: VirtualBox, effect: EffectOf<'askPeer'>): void {
  const peer = boxAt(world, effect.peer.host);
  if (peer === undefined) return;
  const { zone } = peer.settings.box;
  const ms = latencyMs(world, box.settings.box.zone, zone);
  later(world, ms, () => {
    if (!peer.isListening || arePartitioned(world, box.settings.box.zone, zone)) return;
    const events = eventsOfShared(sharedStateOf(peer.state, effect.withServers));
    later(world, Math.min(ms, PEER_IDLE_TIMEOUT_MS), () =>
      events.forEach((event) => box.emit(event)),
    );
  });
}
