/** Delivers events to the boxes of a world. */
import { reduceChecked, type BoxEvent, type EventBody } from 'reedlug-decisions';
import type { World, WorldBox } from './worldTypes.js';

/** Delivers an event to a box, now or when its pause ends. A dead box receives nothing. */
export function emit(world: World, box: WorldBox, body: EventBody): void {
  if (!box.alive) return;
  const nowMs = world.queue.nowMs();
  if (box.pausedUntilMs > nowMs) {
    world.queue.at(box.pausedUntilMs, () => emit(world, box, body));
    return;
  }
  const event: BoxEvent = { ...body, nowMs };
  if (body.type !== 'tick') world.eventCount += 1;
  world.onEvent?.(box.settings.boxId, event);
  for (const effect of reduceChecked(box.memory, box.state, event)) {
    world.performEffect(world, box, effect);
  }
}

/** Delivers an event to a box after a delay, unless the box has died or restarted by then. */
export function emitLater(world: World, box: WorldBox, delayMs: number, body: EventBody): void {
  world.queue.at(world.queue.nowMs() + delayMs, () => emit(world, box, body));
}
