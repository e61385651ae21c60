/** Log fields of a choice by size. */
import type { Choice } from '../../policy/chooseServer.js';
import type { LogField } from '../../types/effect.js';

/**
 * Returns the request's need and the outcome; no fields if it was placed without regard to size.
 */
export function placementFields({ placement, waitMs }: Choice): Readonly<Record<string, LogField>> {
  if (placement === undefined) return {};
  const { outcome, need, evaluated, leavesRoom, chargeShare, loadAgeMs } = placement;
  return {
    placement: outcome,
    targetLeftMs: Math.round(need.targetMs),
    waitMs: Math.round(waitMs),
    neededSpeed: need.minSpeed.toFixed(2),
    evaluated,
    leavesRoom,
    chargeShare: chargeShare.toFixed(3),
    loadAgeMs: Math.round(loadAgeMs),
  };
}
