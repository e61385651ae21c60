/** Carries out the effects of a box's reducer in the world. */
import {
  PEER_REQUEST_TIMEOUT_MS,
  CLOUD_TIMEOUT_MS,
  CONNECT_TIMEOUT_MS,
  eventOfDatagram,
  eventsOfShared,
  eventsOfTable,
  sharedStateOf,
  TABLE_TIMEOUT_MS,
  type Effect,
} from 'reedlug-gateway';
import {
  reaches,
  submitToEngine,
  takeCloudCall,
  type VirtualServer,
} from '../servers/virtualServers.js';
import { noteArrival, noteLog, noteRun } from '../report/sceneRecord.js';
import { areCut, boxAt, later, nowMs, takeNumber, wayMs, type World } from '../world.js';
import { endUnder, noteEndingSend } from '../faults/endingRequests.js';
import { isTurnedDown, noteLimitedArrival } from '../faults/limitedServers.js';
import {
  isRefused,
  noteArrivalAtStating,
  noteStated,
  statementsOf,
} from '../faults/statingServers.js';
import { faultOfVersion, noteRolloutArrival } from '../faults/rollouts.js';
import { slowDown } from '../servers/batchEngine.js';
import { killBox, stopRunAt, type VirtualBox } from './virtualBox.js';

/** Zone of the cloud; nothing else is in it. */
const CLOUD_ZONE = '(cloud)';
/** Urgency of a request that says none. */
const DEFAULT_URGENCY = 5;
/** Time that a server's own failure takes, in ms. */
const FAILURE_MS = 5;

type EffectOf<T extends Effect['type']> = Extract<Effect, { type: T }>;

/** Carries out one effect; what comes of it is a later event. */
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
    case 'requestTable':
      return requestTable(box, effect);
    case 'callCloud':
      return callCloud(world, box, effect);
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
      return noteLog(world, box.id, effect.event, effect.fields);
  }
}

function send(world: World, box: VirtualBox, effect: EffectOf<'send'>): void {
  const { exchangeId, attemptId, order } = effect;
  const ids = { exchangeId, attemptId };
  const server = world.servers.get(order.serverId);
  const caller = box.exchanges.get(exchangeId);
  if (caller === undefined) return;
  if (server === undefined || !reaches(world, box.settings.box.zone, server)) {
    // A dead port answers at once, a silent one not at all.
    const isGone = server === undefined;
    return later(world, isGone ? 1 : CONNECT_TIMEOUT_MS, () => {
      if (box.sends.has(attemptId) || !box.state.requests.has(exchangeId)) return;
      box.emit({ type: 'attemptNotSent', ...ids, reason: isGone ? 'refused' : 'timeout' });
    });
  }
  const runId = takeNumber(world, 'runs');
  box.sends.set(attemptId, { exchangeId, serverId: order.serverId, runId });
  server.openRuns.set(runId, () => {
    if (!box.sends.delete(attemptId)) return;
    box.emit({ type: 'attemptLost', ...ids, reason: 'connectionReset' });
  });
  const ms = wayMs(world, box.settings.box.zone, server.entry.zone);
  later(world, ms, () => {
    if (!box.sends.has(attemptId) || !world.servers.has(order.serverId)) return;
    arrive(world, box, { server, effect, runId });
  });
}

/** A request reaches its server. */
function arrive(
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
  noteArrival(world, request, server.entry.service);
  noteRolloutArrival(world, server);
  noteLimitedArrival(world, server, box);
  const callerSentAtMs = request.heldSinceMs ?? nowMs(world);
  noteArrivalAtStating(world, { server, box, callerSentAtMs });
  if (request.endsServer !== undefined) {
    noteEndingSend(world, box, request.facts.digest);
    return endUnder(world, server, request.facts.digest, request.endsServer);
  }
  const versionFault = faultOfVersion(world, server, request.spec.name);
  const tryNumber = request.tries;
  const arrivedAtMs = nowMs(world);
  /** A server that cannot be told to stop may begin a try that its caller has left. */
  const begin = (): void => {
    if (request.tries === tryNumber) noteRun(world, request, arrivedAtMs);
  };
  /** A connection that a cut has taken bytes from says nothing any more. */
  let isBroken = false;
  /** What the server says, unless it has gone silent or the box has left it. */
  const say = (tell: () => void): void => {
    isBroken ||= !reaches(world, box.settings.box.zone, server);
    if (isBroken) return;
    const ms = wayMs(world, box.settings.box.zone, server.entry.zone);
    later(world, ms, () => {
      if (box.sends.has(attemptId)) tell();
    });
  };
  const answer = (verdict: 'success' | 'failure' | 'notRun', status: number): void => {
    const statements = statementsOf(world, server, verdict === 'notRun');
    say(() => {
      const isOpen = verdict === 'success' && effect.streaming;
      if (!isOpen) end(box, server, attemptId, runId);
      box.emit({ type: 'answerBegun', ...ids, statements });
      noteStated(world, { server, box, statements });
      box.emit({ type: 'attemptAnswered', ...ids, verdict, status });
    });
  };
  const onRejected = (): void => answer('notRun', 503);
  if (isTurnedDown(world, server) || isRefused(world, server)) return onRejected();
  if (server.work.kind === 'plain') {
    const onAnswered = (): void => {
      begin();
      answer('success', 200);
    };
    if (versionFault.fails) return later(world, FAILURE_MS, () => answer('failure', 500));
    const workMs = request.workMs * versionFault.slowFactor;
    return server.work.server.submit({ runId, workMs, onAnswered, onRejected });
  }
  slowDown(server.work.engine, versionFault.slowFactor);
  if (versionFault.fails || world.random.chance(world.failShare)) {
    begin();
    return later(world, FAILURE_MS, () => answer('failure', 500));
  }
  let isBegun = false;
  const fromEvent = Math.max(order.resumeAfterEventId ?? request.lastEventId ?? 0, 0);
  submitToEngine(world, server.work.engine, {
    runId,
    urgency: order.urgency ?? DEFAULT_URGENCY,
    parts: request.facts.promptParts,
    fromEvent,
    events: request.events,
    onRejected,
    onEvent(event, isLast) {
      if (!isBegun) {
        isBegun = true;
        begin();
        answer('success', 200);
      }
      say(() => {
        box.exchanges.get(exchangeId)?.onEvent(event);
        box.emit({ type: 'eventsRelayed', ...ids, lastEventId: event });
        if (!isLast) return;
        end(box, server, attemptId, runId);
        box.exchanges.get(exchangeId)?.onEnded();
        box.exchanges.delete(exchangeId);
        box.emit({ type: 'attemptEnded', ...ids });
      });
    },
  });
}

function end(box: VirtualBox, server: VirtualServer, attemptId: number, runId: number): void {
  box.sends.delete(attemptId);
  server.openRuns.delete(runId);
}

function cancel(world: World, box: VirtualBox, attemptId: number): void {
  const sent = box.sends.get(attemptId);
  if (sent === undefined) return;
  box.sends.delete(attemptId);
  const zone = world.servers.get(sent.serverId)?.entry.zone ?? '';
  later(world, wayMs(world, box.settings.box.zone, zone), () => {
    stopRunAt(world, sent.serverId, sent.runId);
  });
}

/** A stream's head goes with its first event. */
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

/** A server's address stays its own, so its entry tells whether it is there. */
function probe(world: World, box: VirtualBox, effect: EffectOf<'probeServer'>): void {
  const { host } = effect.address;
  const server = [...world.servers.values()].find(({ entry }) => entry.address.host === host);
  const { life } = effect;
  const ms = 2 * world.scene.network.otherZoneMs;
  if (server === undefined) {
    return later(world, ms, () => box.emit({ type: 'serverProbed', life, outcome: 'refused' }));
  }
  const isReached = reaches(world, box.settings.box.zone, server);
  const outcome = isReached ? 'accepted' : 'silent';
  later(world, isReached ? ms : CONNECT_TIMEOUT_MS, () => {
    box.emit({ type: 'serverProbed', life, outcome });
  });
}

function requestTable(box: VirtualBox, effect: EffectOf<'requestTable'>): void {
  const { purpose, op, sentAtMs } = effect;
  void box.store?.table(op, TABLE_TIMEOUT_MS).then((reply) => {
    for (const event of eventsOfTable(box.state, { purpose, sentAtMs, reply })) box.emit(event);
  });
}

function callCloud(world: World, box: VirtualBox, effect: EffectOf<'callCloud'>): void {
  const { callId, call, fence } = effect;
  if (areCut(world, box.settings.box.zone, CLOUD_ZONE)) {
    return later(world, CLOUD_TIMEOUT_MS, () =>
      box.emit({ type: 'cloudAnswered', callId, outcome: 'unknown' }),
    );
  }
  later(world, world.scene.storeAnswerMs, () => {
    const outcome = takeCloudCall(world, { call, holder: box.id, fence });
    box.emit({ type: 'cloudAnswered', callId, outcome });
  });
}

function sendPeers(world: World, box: VirtualBox, effect: EffectOf<'sendPeers'>): void {
  for (const { host } of effect.to) {
    const peer = boxAt(world, host);
    if (peer === undefined) continue;
    world.record.datagrams += 1;
    const { zone } = peer.settings.box;
    if (areCut(world, box.settings.box.zone, zone)) continue;
    if (world.random.chance(world.scene.network.datagramLossShare)) continue;
    later(world, wayMs(world, box.settings.box.zone, zone), () => {
      if (peer.isListening) peer.emit(eventOfDatagram(effect.message));
    });
  }
}

function askPeer(world: World, box: VirtualBox, effect: EffectOf<'askPeer'>): void {
  const peer = boxAt(world, effect.peer.host);
  if (peer === undefined) return;
  const { zone } = peer.settings.box;
  const ms = wayMs(world, box.settings.box.zone, zone);
  later(world, ms, () => {
    if (!peer.isListening || areCut(world, box.settings.box.zone, zone)) return;
    const events = eventsOfShared(sharedStateOf(peer.state, effect.withServers));
    later(world, Math.min(ms, PEER_REQUEST_TIMEOUT_MS), () =>
      events.forEach((event) => box.emit(event)),
    );
  });
}
