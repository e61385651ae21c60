/** Values of rows that boxes tell each other or keep in the table: they come from other versions too. */

/** Whether a value is a number that can be counted with. */
export function isFiniteNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

/** The same, or null for what is not told. */
export function isFiniteNumberOrNull(value: unknown): value is number | null {
  return value === null || isFiniteNumber(value);
}
