/** What a server sends of one answer, in order, held while its box may not relay it. */
import type { AttemptIds } from 'reedlug-gateway';
import type { VirtualBox } from './virtualBox.js';

/** Delivery of one answer's parts to a box. */
export interface HeldDelivery {
  /** Holds the parts from now on if the box has to find out first whether they may be relayed. */
  holdIfNeeded: () => void;
  /** Delivers a part now, or once the box may relay it; drops it if the attempt was cancelled. */
  deliver: (part: () => void) => void;
}

/** Creates the delivery of an attempt's answer. */
export function createHeldDelivery(box: VirtualBox, ids: AttemptIds): HeldDelivery {
  let held: (() => void)[] | undefined;
  const run = (part: () => void): void => {
    if (box.sends.has(ids.attemptId)) part();
  };
  const readOn = (): void => {
    const parts = held ?? [];
    held = undefined;
    run(() => box.emit({ type: 'attemptHeld', ...ids, isHeld: false }));
    parts.forEach(run);
  };
  return {
    holdIfNeeded() {
      if (box.answerHolds?.mustHold(ids) !== true) return;
      held = [];
      box.emit({ type: 'attemptHeld', ...ids, isHeld: true });
      void box.answerHolds.untilRelayable(ids).then(readOn);
    },
    deliver(part) {
      if (held === undefined) run(part);
      else held.push(part);
    },
  };
}
