/** State of placement by size. */
import type { SpeedRange } from '../policy/placeBySize.js';
import type { ReservedRoom, SizeDemand } from '../policy/sizeDemand.js';

/** What placement by size knows of a service. */
export interface ServicePlacement {
  /** Speeds of its servers when they were last read, and the room derived from them. */
  range: SpeedRange;
  room: ReservedRoom;
  readAtMs: number;
  /** Large requests that this box received. */
  demand: SizeDemand;
}
