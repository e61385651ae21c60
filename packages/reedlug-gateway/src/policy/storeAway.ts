/**
 * Decides whether the store is away for all boxes, or a box is cut off from it.
 *
 * A box that hears neither the store nor other boxes can't tell. So the others' word is needed: none that is heard reaches the
 * store, and those that are silent are few enough that they may have ended. A share of the fleet that is cut off together
 * lacks a zone, or half of the boxes.
 */

/** Another box, as this one hears it. */
export interface StoreWitness {
  zone: string | undefined;
  isHeard: boolean;
  /** Whether it states that the store does not answer it. */
  saysLost: boolean;
}

/** Returns whether the store answers no box. A box that knows of no other one speaks for all. */
export function isStoreAway(witnesses: readonly StoreWitness[], isLostHere: boolean): boolean {
  if (witnesses.length === 0) return true;
  if (!isLostHere) return false;
  const heard = witnesses.filter(({ isHeard }) => isHeard);
  if (heard.some(({ saysLost }) => !saysLost)) return false;
  const heardZones = new Set(heard.map(({ zone }) => zone));
  const isZoneMissing = witnesses.some(({ zone, isHeard }) => !isHeard && !heardZones.has(zone));
  return !isZoneMissing && 2 * (heard.length + 1) > witnesses.length + 1;
}
