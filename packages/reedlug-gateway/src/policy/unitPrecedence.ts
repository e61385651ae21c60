/**
 * Precedence of requests over the units of a limit that is nearly used up.
 *
 * Answers a workspace that asks for more than its limit, or whose units are spread over many boxes.
 * First come, first served then serves the smallest requests only: a large one never finds enough
 * units at one moment. A refused request therefore reserves its units until its caller returns.
 * A reservation only withholds units from requests that it precedes and never adds any, so the
 * limit is kept whatever boxes know of each other's reservations.
 */

/** Units reserved for a refused request until its caller returns. */
export interface UnitReservation {
  workspace: string;
  /** 0 to 9; 0 is the most urgent. */
  urgency: number;
  units: number;
  /** Time of the first refusal. */
  reservedAtMs: number;
  /** Time at which the caller was told to return, and time at which the reservation expires. */
  dueAtMs: number;
  untilMs: number;
}

/**
 * What decides the precedence of a request: its urgency, then the time since which it has asked for
 * its units.
 */
export interface UnitClaim {
  urgency: number;
  /** Time of the first refusal; without one, the arrival of the request. */
  heldSinceMs: number;
  /** True if the units are for a stream that has begun; missing from older boxes. */
  isForBegun?: boolean | undefined;
}

/**
 * Difference up to which two times are the same, in ms. A reservation passes two hubs on its way,
 * and a returning request must not wait behind the copy of its own reservation.
 */
const SAME_TIME_MS = 100;
/**
 * Share of a limit's window that may be reserved. It holds several of the largest requests of a
 * busy workspace, and leaves most of the units to requests that are present: the units reserved
 * for a caller that does not return are lost.
 */
export const MAX_RESERVED_SHARE = 0.15;
/**
 * Share of a box's spare units that may be withheld from a request. The rest lets small requests
 * of any urgency through while a large one accumulates its units.
 */
const MAX_WITHHELD_SHARE = 0.5;
/**
 * Time for which a reservation outlasts the time at which its caller returns, in ms: the way there
 * and back between zones and a wait for a connection.
 */
const RETURN_MARGIN_MS = 300;
/**
 * How much sooner than told a caller may return, in ms: its clock and the box's differ by rounding
 * only.
 */
const EARLY_RETURN_MS = 20;
/** Share of their remaining time up to which callers wait for a Retry-After. */
const MAX_WAIT_SHARE = 1 / 3;
/**
 * Share by which the units of a returning request may differ from those reserved, as resumed
 * streams have other prompts.
 */
const SIMILAR_UNITS_SHARE = 0.02;

/** Returns whether a reservation precedes a request: by urgency, and among equals by time. */
export function precedes(
  { urgency, reservedAtMs }: Pick<UnitReservation, 'urgency' | 'reservedAtMs'>,
  claim: UnitClaim,
): boolean {
  if (urgency !== claim.urgency) return urgency < claim.urgency;
  return reservedAtMs < claim.heldSinceMs - SAME_TIME_MS;
}

/** Returns the units of a workspace that are reserved before a request. */
export function unitsReservedBefore(
  reservations: readonly UnitReservation[],
  params: { workspace: string; claim: UnitClaim; nowMs: number },
): number {
  const { workspace, claim, nowMs } = params;
  let sum = 0;
  for (const reservation of reservations) {
    if (reservation.workspace !== workspace || reservation.untilMs < nowMs) continue;
    if (precedes(reservation, claim)) sum += reservation.units;
  }
  return sum;
}

/** Returns how many of its spare units a box withholds for its part of the reserved units. */
export function withheldUnits(params: {
  reservedUnits: number;
  divisor: number;
  spare: number;
}): number {
  const { reservedUnits, divisor, spare } = params;
  return Math.max(0, Math.min(reservedUnits / divisor, spare * MAX_WITHHELD_SHARE));
}

/**
 * Returns a reservation for a refused request; undefined if its caller will not return in time, or
 * if too much of the limit is reserved already.
 */
export function createReservation(params: {
  workspace: string;
  claim: UnitClaim;
  units: number;
  retryAfterMs: number;
  /** Time until the caller's deadline. */
  remainingMs: number;
  /** Units of the workspace that are reserved already, and the units of its limit's window. */
  reservedUnits: number;
  windowUnits: number;
  nowMs: number;
}): UnitReservation | undefined {
  const { workspace, claim, units, retryAfterMs, remainingMs, nowMs } = params;
  if (units <= 0 || retryAfterMs > remainingMs * MAX_WAIT_SHARE) return undefined;
  if (params.reservedUnits + units > params.windowUnits * MAX_RESERVED_SHARE) return undefined;
  const dueAtMs = nowMs + retryAfterMs;
  return {
    workspace,
    urgency: claim.urgency,
    units,
    reservedAtMs: Math.min(nowMs, claim.heldSinceMs),
    dueAtMs,
    untilMs: dueAtMs + RETURN_MARGIN_MS,
  };
}

/**
 * Returns the earliest reservation that fits a returning request; those not due yet are left out if
 * `isDue` is set.
 */
export function findReservation(
  reservations: readonly UnitReservation[],
  params: { workspace: string; urgency: number; units: number; nowMs: number; isDue: boolean },
): UnitReservation | undefined {
  const { workspace, urgency, units, nowMs, isDue } = params;
  let found: UnitReservation | undefined;
  for (const reservation of reservations) {
    if (reservation.workspace !== workspace || reservation.urgency !== urgency) continue;
    if (Math.abs(reservation.units - units) > units * SIMILAR_UNITS_SHARE) continue;
    if (reservation.untilMs < nowMs) continue;
    if (isDue && reservation.dueAtMs - EARLY_RETURN_MS > nowMs) continue;
    if (found === undefined || reservation.reservedAtMs < found.reservedAtMs) found = reservation;
  }
  return found;
}

/** Returns whether two reservations, perhaps learned through different boxes, are the same one. */
export function isSameReservation(a: UnitReservation, b: UnitReservation): boolean {
  return (
    a.workspace === b.workspace &&
    a.urgency === b.urgency &&
    a.units === b.units &&
    Math.abs(a.reservedAtMs - b.reservedAtMs) <= SAME_TIME_MS &&
    Math.abs(a.dueAtMs - b.dueAtMs) <= SAME_TIME_MS
  );
}
