/** Speeds and large requests of each service, on which placement by size is based. */
import { expectedWaitMs, type EngineModel } from '../../policy/engineModel.js';
import { sizeNeed, type SizeNeed, type SpeedRange } from '../../policy/placeBySize.js';
import {
  createSizeDemand,
  NO_RESERVED_ROOM,
  recordSizeDemand,
  reservedRoom,
  type ReservedRoom,
} from '../../policy/sizeDemand.js';
import type { GatewayState } from '../../state.js';
import type { ServicePlacement } from '../../types/placement.js';
import type { RequestFacts } from '../../types/request.js';
import { speedOf } from '../serverSpeeds/speedOf.js';

/**
 * Interval at which the speeds of all servers of a service are read, in ms. Speeds change over
 * seconds, and reading all of them for each request would slow down the choice of a server.
 */
const READ_INTERVAL_MS = 1000;

/** Figures on which a placement is based. */
export interface PlacementBasis {
  need: SizeNeed;
  range: SpeedRange;
  room: ReservedRoom;
}

/**
 * Returns the basis of a placement; undefined if the request is placed without regard to its size.
 */
export function placementBasis(
  state: GatewayState,
  params: {
    service: string;
    model: EngineModel;
    facts: RequestFacts;
    targetMs: number;
    nowMs: number;
  },
): PlacementBasis | undefined {
  if (!state.settings.load.placeBySize) return undefined;
  const { service, model, facts, targetMs, nowMs } = params;
  const tokens = facts.promptTokens ?? 0;
  const { range, room } = placementOf(state, service, nowMs);
  const idleMs = expectedWaitMs(model, { tokens, running: 0, slots: 1 });
  const need = sizeNeed({ idleMs, targetMs, range });
  return need && { need, range, room };
}

/** Records a request that was placed by size, when it is first sent. */
export function recordPlacement(
  state: GatewayState,
  request: { service: string; facts: RequestFacts; need: SizeNeed },
  nowMs: number,
): void {
  const { service, facts, need } = request;
  const neededSpeed = need.minSpeed > 0 ? need.minSpeed : undefined;
  const { demand } = placementOf(state, service, nowMs);
  recordSizeDemand(demand, { tokens: facts.promptTokens ?? 0, neededSpeed }, nowMs);
}

function placementOf(state: GatewayState, service: string, nowMs: number): ServicePlacement {
  const known = state.placements.get(service);
  if (known !== undefined && nowMs - known.readAtMs < READ_INTERVAL_MS) return known;
  const placement = known ?? {
    range: { slowest: 1, fastest: 1 },
    room: NO_RESERVED_ROOM,
    readAtMs: nowMs,
    demand: createSizeDemand(),
  };
  state.placements.set(service, placement);
  const speeds: number[] = [];
  for (const view of state.servers.values()) {
    if (view.entry.service === service && !view.leaving) speeds.push(speedOf(state, view, nowMs));
  }
  placement.range = rangeOf(speeds);
  placement.room = reservedRoom(placement.demand, speeds);
  placement.readAtMs = nowMs;
  return placement;
}

function rangeOf(speeds: readonly number[]): SpeedRange {
  let slowest = Number.POSITIVE_INFINITY;
  let fastest = 0;
  for (const speed of speeds) {
    slowest = Math.min(slowest, speed);
    fastest = Math.max(fastest, speed);
  }
  return speeds.length === 0 ? { slowest: 1, fastest: 1 } : { slowest, fastest };
}
