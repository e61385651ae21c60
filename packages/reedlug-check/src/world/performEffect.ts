/** Performs the effects of boxes against the fakes. */
import type { Effect } from 'reedlug-decisions';
import {
  answerEngineProbe,
  exportEngineKv,
  moveEngineCache,
  cancelEngineRun,
  submitEngineAttempt,
} from './engineFake.js';
import { killBox } from './faults.js';
import { handleCloudRequest, handleTableOp } from './platformFake.js';
import { answerServiceProbe, submitServiceAttempt } from './serviceFake.js';
import { emit, emitLater } from './emit.js';
import { delayBetween, platformReachable, arePartitioned } from './links.js';
import type { World, WorldBox } from './worldTypes.js';

/** Performs one effect. */
export function performEffect(world: World, box: WorldBox, effect: Effect): void {
  const { boxId } = box.settings;
  switch (effect.type) {
    case 'sendAttempt':
      return sendAttempt(world, box, effect);
    case 'cancelAttempt': {
      const server = world.servers.get(effect.serverId);
      if (server?.kind === 'engine') cancelEngineRun(server, effect.attemptId);
      return undefined;
    }
    case 'exportKv': {
      const server = world.servers.get(effect.serverId);
      if (server?.kind === 'engine') exportEngineKv(world, box, server, effect.attemptId);
      return undefined;
    }
    case 'moveCache': {
      const source = world.servers.get(effect.serverId);
      const target = world.servers.get(effect.targetServerId);
      if (source?.kind !== 'engine' || target?.kind !== 'engine') return undefined;
      return moveEngineCache(world, box, { source, target, affinityHash: effect.affinityHash });
    }
    case 'deliverTokens':
      return world.observer.onTokens(boxId, effect.requestId, effect.offset, effect.tokens);
    case 'finishRequest':
      return world.observer.onFinish(boxId, effect);
    case 'requestTable':
      return handleTableOp(world, box, effect.opId, effect.op);
    case 'writeSnapshot':
      if (platformReachable(world, box)) world.snapshot = structuredClone(effect.snapshot);
      return undefined;
    case 'sendPeer':
      return sendPeer(world, box, effect);
    case 'probeServer':
      return probe(world, box, effect.serverId);
    case 'sendOrder':
      return sendOrder(world, box, effect);
    case 'askCloud':
      world.observer.onOrder('cloud', effect.ask.fence, processName(box));
      return handleCloudRequest(world, box, effect.askId, effect.ask);
    case 'answerOperator':
      return world.observer.onOperator(effect.askId, effect.answer);
    case 'stopped':
      return killBox(world, boxId);
    case 'forgetRequest':
    case 'log':
      return undefined;
  }
}

function sendAttempt(
  world: World,
  box: WorldBox,
  effect: Extract<Effect, { type: 'sendAttempt' }>,
): void {
  const server = world.servers.get(effect.serverId);
  const { attemptId } = effect;
  if (server === undefined) {
    emitLater(world, box, 1, { type: 'attemptRefused', attemptId, reason: 'notConnected' });
    return;
  }
  if (server.kind === 'engine') submitEngineAttempt(world, box, server, effect);
  else submitServiceAttempt(world, box, server, effect);
}

function sendPeer(
  world: World,
  box: WorldBox,
  effect: Extract<Effect, { type: 'sendPeer' }>,
): void {
  const target = world.boxes.get(effect.boxId);
  const from = box.settings.boxId;
  if (target === undefined) return;
  const { zone } = box.settings;
  if (arePartitioned(world, zone, target.settings.zone)) return;
  const message = structuredClone(effect.message);
  world.queue.at(world.queue.nowMs() + delayBetween(world, zone, target.settings.zone), () => {
    if (arePartitioned(world, zone, target.settings.zone)) return;
    emit(world, target, { type: 'peerMessage', from, message });
  });
}

function probe(world: World, box: WorldBox, serverId: string): void {
  const server = world.servers.get(serverId);
  if (server === undefined) {
    emitLater(world, box, 1, { type: 'serverReported', serverId, report: undefined });
    return;
  }
  if (server.kind === 'engine') answerEngineProbe(world, box, server);
  else answerServiceProbe(world, box, server);
}

function sendOrder(
  world: World,
  box: WorldBox,
  effect: Extract<Effect, { type: 'sendOrder' }>,
): void {
  const { serverId, orderId, fence, wanted, validForMs } = effect;
  const server = world.servers.get(serverId);
  if (server?.kind !== 'engine') return;
  // An order can be in flight for a long time, but never longer than it is valid.
  const delayMs = world.random.unit() * validForMs;
  world.queue.at(world.queue.nowMs() + delayMs, () => {
    if (!server.alive) return;
    const { model } = server;
    if (server.spec.checksFence && fence < model.highestFence) {
      emitLater(world, box, 1, {
        type: 'orderAnswered',
        orderId,
        answer: { kind: 'refused', reason: 'old fence' },
      });
      return;
    }
    world.observer.onOrder(serverId, fence, processName(box));
    model.highestFence = Math.max(model.highestFence, fence);
    model.model = wanted.model;
    model.version = wanted.version;
    model.role = wanted.role;
    emitLater(world, box, 1, { type: 'orderAnswered', orderId, answer: { kind: 'done' } });
  });
}

/** Returns the name of one incarnation of a box. */
function processName(box: WorldBox): string {
  return `${box.settings.boxId}/${box.settings.incarnation}`;
}
