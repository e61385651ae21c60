/** Checks values of the versions row, which another version of the gateway may have written. */
import type { VersionEnds } from '../../types/streamVersion.js';
import { isFiniteNumber, isFiniteNumberOrNull, isRecordOf } from '../store/rowValues.js';

/** Maximum number of services, and of their versions. */
const MAX_SERVICES = 500;
const MAX_VERSIONS = 32;
/** Longest version, in characters: that of any server's entry. One that the row could not hold would be written again and again. */
export const MAX_VERSION_LENGTH = 200;

/** Returns the services of the row without malformed values. */
export function validServices(services: unknown): Readonly<Record<string, VersionEnds>> {
  if (typeof services !== 'object' || services === null) return {};
  const known = Object.entries(services).slice(0, MAX_SERVICES);
  const valid = known.flatMap(([service, ends]) => {
    if (typeof ends !== 'object' || ends === null) return [];
    const isValid = ([version, at]: [string, unknown]): boolean =>
      version.length <= MAX_VERSION_LENGTH && isFiniteNumberOrNull(at);
    const entries = Object.entries(ends).filter(isValid).slice(0, MAX_VERSIONS);
    return [[service, Object.fromEntries(entries) as VersionEnds] as const];
  });
  return Object.fromEntries(valid);
}

/** Returns the times of the row without malformed values. */
export function validTimes(
  times: unknown,
): Readonly<Record<string, Readonly<Record<string, number>>>> {
  if (typeof times !== 'object' || times === null) return {};
  const isOfService = (value: unknown): value is Record<string, number> =>
    isRecordOf(value, isFiniteNumber);
  return Object.fromEntries(Object.entries(times).filter(([, value]) => isOfService(value)));
}
