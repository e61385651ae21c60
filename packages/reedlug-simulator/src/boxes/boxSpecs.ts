/** Ids, addresses and zones of a scene's boxes. */
import type { BoxSpec } from './virtualBox.js';

/**
 * Processor time of the larger boxes and of the others, in cores; only the order of preference as
 * hub depends on it.
 */
const LARGER_CORES = 0.675;
const STANDARD_CORES = 0.324;

/** Returns the boxes of each zone, the larger ones first. A box keeps its id and host when `boxesPerZone` grows. */
export function boxSpecsOf(
  zones: readonly string[],
  boxesPerZone: number,
  largerBoxesPerZone = 0,
): BoxSpec[] {
  return zones.flatMap((zone, zoneIndex) =>
    Array.from({ length: boxesPerZone }, (_, index) => ({
      id: `box-${zone}-${index + 1}`,
      host: `10.${zoneIndex + 1}.${Math.floor(index / 250)}.${(index % 250) + 1}`,
      zone,
      processorCores: index < largerBoxesPerZone ? LARGER_CORES : STANDARD_CORES,
    })),
  );
}
