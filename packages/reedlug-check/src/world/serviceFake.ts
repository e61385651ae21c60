/** A fake plain service, which runs each request that reaches it and then answers. */
import type { Effect } from 'reedlug-decisions';
import { emitLater } from './emit.js';
import { Delay, delayBetween, isUnresponsive, arePartitioned } from './links.js';
import type { World, WorldBox, WorldService } from './worldTypes.js';

const STATUS_OK = 200;

/** Submits an attempt to a plain service after the network delay. */
export function submitServiceAttempt(
  world: World,
  box: WorldBox,
  service: WorldService,
  effect: Extract<Effect, { type: 'sendAttempt' }>,
): void {
  const { attemptId, requestId, timeoutMs } = effect;
  const delayMs = delayBetween(world, box.settings.zone, service.spec.zone);
  const isPartitioned = arePartitioned(world, box.settings.zone, service.spec.zone);
  if (!service.alive || isPartitioned) {
    emitLater(world, box, delayMs, { type: 'attemptRefused', attemptId, reason: 'notConnected' });
    return;
  }
  const incarnation = service.incarnation;
  const arrivesAtMs = world.queue.nowMs() + delayMs;
  world.queue.at(arrivesAtMs, () => {
    if (service.alive && service.incarnation === incarnation) {
      world.observer.onRun(service.spec.id, requestId, attemptId);
    }
    const stallMs = Math.max(0, service.stalledUntilMs - arrivesAtMs);
    const answerMs = world.options.serviceAnswerMs + stallMs;
    if (answerMs > timeoutMs) {
      emitLater(world, box, timeoutMs, { type: 'attemptLost', attemptId, reached: true });
      return;
    }
    world.queue.at(arrivesAtMs + answerMs, () => {
      const lost = !service.alive || arePartitioned(world, box.settings.zone, service.spec.zone);
      if (lost)
        emitLater(world, box, Delay.connectionLoss, {
          type: 'attemptLost',
          attemptId,
          reached: true,
        });
      else
        emitLater(world, box, delayMs, { type: 'serviceAnswered', attemptId, status: STATUS_OK });
    });
  });
}

/** Answers a probe of a plain service. */
export function answerServiceProbe(world: World, box: WorldBox, service: WorldService): void {
  const serverId = service.spec.id;
  const delayMs = delayBetween(world, box.settings.zone, service.spec.zone) * 2;
  const silent = isUnresponsive(world, box, service);
  const report = {
    incarnation: service.incarnation,
    running: 0,
    waiting: 0,
    model: '',
    version: '',
    role: 'serve' as const,
    leaving: service.leaving,
    kvUsedShare: 0,
    kvHitShare: 1,
  };
  emitLater(world, box, delayMs, {
    type: 'serverReported',
    serverId,
    report: silent ? undefined : report,
  });
}
