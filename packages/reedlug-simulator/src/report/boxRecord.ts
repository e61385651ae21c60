/** Records what boxes log, and the exceptions in their reducers. */
import { nowMs, type World } from '../world.js';
import type { LogLine } from './sceneRecord.js';
import { countIn } from './getOrCreate.js';

/** Records an exception that ended a part of a step. */
export function recordException(world: World, eventType: string): void {
  countIn(world.record.exceptions, eventType);
}

/** Records a line of a box's log. */
export function recordLog(
  world: World,
  boxId: string,
  event: string,
  fields: LogLine['fields'],
): void {
  countIn(world.record.logs, event);
  world.record.onLog({ atS: nowMs(world) / 1000 - world.scene.leadS, boxId, event, fields });
}
