/** Checks values of rows that boxes exchange or store in the table, which may come from other versions of the gateway. */

/** Returns whether a value is a finite number. */
export function isFiniteNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

/** Returns whether a value is a finite number, or null for an unknown one. */
export function isFiniteNumberOrNull(value: unknown): value is number | null {
  return value === null || isFiniteNumber(value);
}
