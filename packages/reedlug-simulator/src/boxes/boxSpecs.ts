/** Where the boxes of a scene stand. */
import type { BoxSpec } from './virtualBox.js';

/** Processor time of the larger boxes and of the others, in cores; only the order of hubs depends on it. */
const LARGER_CORES = 0.675;
const STANDARD_CORES = 0.324;

/** Places in each zone, the larger boxes first; a place's id and host stay where more are asked for. */
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
