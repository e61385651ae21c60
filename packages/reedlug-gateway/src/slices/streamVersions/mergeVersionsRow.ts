/** What the versions row should list, by the row as known and what this box has seen. */
import type { GatewayState } from '../../state.js';
import type { VersionEnds } from '../../types/streamVersion.js';
import { registryKnownAtMs } from '../store/feedAges.js';
import { isPossible, isRowOfPresentEra, storeTimeOf } from './listedVersions.js';
import { possibleVersions, presentVersions } from './servedVersions.js';

/** Time without news of the registry after which a version that it lacks may serve, in ms: longer than a long poll. */
const REGISTRY_TRUSTED_MS = 2500;
/** Time from the first write after a restore within which the registry may lack servers, in ms. */
const RESTORE_SETTLE_MS = 5000;

/**
 * Whether the row has been written in the present era for so long that a version which it lacks has not served before: after
 * a restore, the registry may lack servers as well.
 */
function isRowSettled(state: GatewayState, storeNowMs: number): boolean {
  const { eraSinceMs } = state.streamVersions.versionsRow;
  if (!isRowOfPresentEra(state)) return false;
  return eraSinceMs === undefined || storeNowMs - eraSinceMs > RESTORE_SETTLE_MS;
}

/**
 * Returns the services as the row should list them: the versions that serve, and those that ended while streams of them
 * may be taken up. The last version of a service counts as serving.
 */
export function mergeServices(
  state: GatewayState,
  nowMs: number,
): Readonly<Record<string, VersionEnds>> {
  const { services: recorded } = state.streamVersions.versionsRow;
  const storeNowMs = storeTimeOf(state, nowMs);
  const present = presentVersions(state);
  const isRegistryCurrent = nowMs - registryKnownAtMs(state) <= REGISTRY_TRUSTED_MS;
  // Without the store's clock the time of an end would mean nothing to others.
  const mayEnd = isRegistryCurrent && state.storeEpochMs !== undefined;
  const names = new Set([...Object.keys(recorded), ...state.streamVersions.served.keys()]);
  const merged: Record<string, VersionEnds> = {};
  for (const service of names) {
    const ends: Record<string, number | null> = {};
    for (const version of possibleVersions(state, service)) ends[version] = storeNowMs;
    for (const [version, endedAtMs] of Object.entries(recorded[service] ?? {})) {
      ends[version] = endedAtMs ?? (mayEnd ? storeNowMs : null);
    }
    for (const version of present.get(service) ?? []) ends[version] = null;
    const current = Object.entries(ends).filter(([, endedAtMs]) =>
      isPossible(state, endedAtMs, storeNowMs),
    );
    const [only] = current;
    if (current.length === 1 && only !== undefined) merged[service] = { [only[0]]: null };
    else if (current.length > 1) merged[service] = Object.fromEntries(current);
  }
  return merged;
}

/**
 * Returns the times of listing. A version that is added to a row of the present era is listed from now on; of others it is
 * not known since when streams may have begun there.
 */
export function mergeListingTimes(
  state: GatewayState,
  services: Readonly<Record<string, VersionEnds>>,
  nowMs: number,
): Readonly<Record<string, Readonly<Record<string, number>>>> {
  const { versionsRow, begunUnlisted } = state.streamVersions;
  const storeNowMs = storeTimeOf(state, nowMs);
  const merged: Record<string, Record<string, number>> = {};
  for (const [service, ends] of Object.entries(services)) {
    const recorded = versionsRow.services[service] ?? {};
    const times: Record<string, number> = {};
    for (const version of Object.keys(ends)) {
      const isAdded = !Object.hasOwn(recorded, version) && isRowSettled(state, storeNowMs);
      const mayHaveBegun = begunUnlisted.get(service)?.has(version) === true;
      const listedAtMs = versionsRow.listedAtMs[service]?.[version];
      if (isAdded && !mayHaveBegun) times[version] = storeNowMs;
      else if (listedAtMs !== undefined) times[version] = listedAtMs;
    }
    merged[service] = times;
  }
  return merged;
}

/** Whether both have the same versions, and the same of them have ended. */
export function isSameServices(
  a: Readonly<Record<string, VersionEnds>>,
  b: Readonly<Record<string, VersionEnds>>,
): boolean {
  const textOf = (services: Readonly<Record<string, VersionEnds>>): string =>
    Object.entries(services)
      .flatMap(([service, ends]) =>
        Object.entries(ends).map(([version, at]) => `${service} ${version} ${at === null}`),
      )
      .sort()
      .join('\n');
  return textOf(a) === textOf(b);
}
