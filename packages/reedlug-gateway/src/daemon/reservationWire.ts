/** Encoding of reserved units in gossip, and validation of the precedence in requests for units. */
import { MAX_RESERVATION_ROWS } from '../slices/limits/unitReservations.js';
import type { UnitReservationGossip, UnitsAskedMessage } from '../types/peer.js';

/** Largest value on the scale of urgency. */
const MAX_URGENCY = 9;
/** Longest name of a workspace, largest number of units and longest times that are accepted. */
const MAX_NAME_LENGTH = 256;
const MAX_UNITS = 1e9;
const MAX_AGE_MS = 120_000;
/**
 * Longest remaining time of a reservation, in ms; a faulty clock must not withhold units for long.
 */
const MAX_LEFT_MS = 30_000;

/**
 * Workspace, urgency, units, time since the first refusal, and times until the caller returns and
 * until the reservation expires.
 */
type ReservationRow = readonly [string, number, number, number, number, number];

/** Returns the rows of reservations for a message; no field if there are none. */
export function reservationFields(reservations: readonly UnitReservationGossip[] | undefined): {
  reservations?: readonly ReservationRow[];
} {
  if (reservations === undefined || reservations.length === 0) return {};
  return { reservations: reservations.slice(0, MAX_RESERVATION_ROWS).map(rowOf) };
}

function rowOf(reservation: UnitReservationGossip): ReservationRow {
  const { workspace, urgency, units, ageMs, dueInMs, leftMs } = reservation;
  return [workspace, urgency, units, ageMs, dueInMs, leftMs];
}

/** Returns the reservations of received rows; malformed rows are dropped. */
export function reservationsOfRows(rows: unknown): {
  reservations?: readonly UnitReservationGossip[];
} {
  if (!Array.isArray(rows)) return {};
  const valid = rows.slice(0, MAX_RESERVATION_ROWS).filter(isRow);
  const reservations = valid.map(([workspace, urgency, units, ageMs, dueInMs, leftMs]) => {
    return { workspace, urgency, units, ageMs, dueInMs, leftMs };
  });
  return { reservations };
}

function isRow(row: unknown): row is ReservationRow {
  if (!Array.isArray(row) || row.length !== 6) return false;
  const [workspace, urgency, units, ageMs, dueInMs, leftMs] = row as unknown[];
  if (typeof workspace !== 'string' || workspace.length > MAX_NAME_LENGTH) return false;
  return (
    isUrgency(urgency) &&
    isWithin(units, 0, MAX_UNITS) &&
    isWithin(ageMs, 0, MAX_AGE_MS) &&
    isWithin(dueInMs, -MAX_LEFT_MS, MAX_LEFT_MS) &&
    isWithin(leftMs, 0, MAX_LEFT_MS)
  );
}

function isUrgency(value: unknown): value is number {
  return Number.isInteger(value) && isWithin(value, 0, MAX_URGENCY);
}

function isWithin(value: unknown, least: number, most: number): value is number {
  return typeof value === 'number' && value >= least && value <= most;
}

/** Drops a malformed precedence from a request for units, as if an older box had sent it. */
export function withValidClaim(message: UnitsAskedMessage): UnitsAskedMessage {
  const { urgency, heldForMs, isForBegun, ...rest } = message;
  const others = isForBegun === true ? { ...rest, isForBegun } : rest;
  if (!isUrgency(urgency) || !isWithin(heldForMs, 0, MAX_AGE_MS)) return others;
  return { ...others, urgency, heldForMs };
}
