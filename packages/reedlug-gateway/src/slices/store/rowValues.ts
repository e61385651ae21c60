/** Checks values of rows that boxes exchange or store in the table, which may come from other versions of the gateway. */

/** Returns whether a value is a finite number. */
export function isFiniteNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

/** Returns whether a value is a finite number, or null for an unknown one. */
export function isFiniteNumberOrNull(value: unknown): value is number | null {
  return value === null || isFiniteNumber(value);
}

/** Returns whether a value is an object, and no array, whose values all pass a check. */
export function isRecordOf<T>(
  value: unknown,
  isValid: (item: unknown) => item is T,
): value is Readonly<Record<string, T>> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return false;
  return Object.values(value).every(isValid);
}

/** Returns whether a value is an array whose items all pass a check. */
export function isArrayOf<T>(
  value: unknown,
  isValid: (item: unknown) => item is T,
): value is readonly T[] {
  return Array.isArray(value) && value.every(isValid);
}

/** Returns whether a value is a text. */
export function isText(value: unknown): value is string {
  return typeof value === 'string';
}
