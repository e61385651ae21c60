/** The load balancer in front of the boxes: which boxes it uses, and which one a caller reaches. */
import { isReady } from 'reedlug-gateway';
import type { VirtualBox } from '../boxes/virtualBox.js';
import { later, type World } from '../world.js';

/** Interval of the load balancer's health checks, in ms, and failed checks after which it removes a box. */
const HEALTH_CHECK_INTERVAL_MS = 1000;
const MAX_MISSED_CHECKS = 2;

/** Checks the health of all boxes, now and at intervals. */
export function checkBoxes(world: World): void {
  for (const box of world.boxes.values()) {
    const isGood = box.isListening && isReady(box.state);
    box.missedChecks = isGood ? 0 : box.missedChecks + 1;
    if (isGood) box.isInRotation = true;
    else if (box.missedChecks >= MAX_MISSED_CHECKS) box.isInRotation = false;
  }
  later(world, HEALTH_CHECK_INTERVAL_MS, () => checkBoxes(world));
}

/** Returns the box that a caller of a zone reaches; undefined if the load balancer uses none. */
export function pickBox(world: World, zone: string): VirtualBox | undefined {
  const boxes = [...world.boxes.values()];
  const ofZone = boxes.filter((box) => box.settings.box.zone === zone);
  const isInRotation = (box: VirtualBox): boolean => box.isInRotation;
  const candidates = ofZone.some(isInRotation)
    ? ofZone.filter(isInRotation)
    : boxes.filter(isInRotation);
  // With fewer candidates than half of the zone's boxes, the load balancer uses all boxes of the zone.
  const usable = candidates.length * 2 < ofZone.length ? ofZone : candidates;
  return usable.length === 0 ? undefined : world.random.pick(usable);
}
