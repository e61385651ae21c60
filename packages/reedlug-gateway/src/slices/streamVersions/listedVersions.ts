/** Versions that the versions row lists, as this box knows it. */
import type { GatewayState } from '../../state.js';
import { streamRetentionMs } from './servedVersions.js';

/** Era of a store that was never restored; one that states none is of an earlier era. */
export const FIRST_ERA = 1;

/** A version that the row lists. */
export interface ListedVersion {
  version: string;
  /** Store's time before which no stream can have begun there, in ms; undefined if that is not known. */
  listedAtMs: number | undefined;
}

/** Returns the store's time, in ms. */
export function storeTimeOf({ storeEpochMs = 0 }: GatewayState, nowMs: number): number {
  return Math.round(nowMs - storeEpochMs);
}

/** Whether the row as this box knows it was written in the store's present era: one of a backup may lack versions. */
export function isRowOfPresentEra(state: GatewayState): boolean {
  const { version, era } = state.streamVersions.versionsRow;
  return version !== 0 && era === presentEra(state);
}

/** Whether the row lists all versions at which a stream may have begun that is not over. */
export function isRowComplete(state: GatewayState, nowMs: number): boolean {
  if (!isRowOfPresentEra(state)) return false;
  const { completeSinceMs } = state.streamVersions.versionsRow;
  if (completeSinceMs === undefined) return true;
  return storeTimeOf(state, nowMs) - completeSinceMs > streamRetentionMs(state);
}

/** Returns the store's era; a store that states none has not been restored. */
export function presentEra({ storeEra = 0 }: GatewayState): number {
  return storeEra;
}

/** Whether the row lists a version of a service as one that serves. */
export function isListed(
  state: GatewayState,
  { service, version }: { service: string; version: string },
): boolean {
  const { services } = state.streamVersions.versionsRow;
  return isRowOfPresentEra(state) && services[service]?.[version] === null;
}

/** Returns the versions of a service that the row lists, without those of which no stream is left. */
export function listedVersions(
  state: GatewayState,
  service: string,
  nowMs: number,
): ListedVersion[] {
  const { services, listedAtMs } = state.streamVersions.versionsRow;
  const storeNowMs = storeTimeOf(state, nowMs);
  return Object.entries(services[service] ?? {})
    .filter(([, endedAtMs]) => isPossible(state, endedAtMs, storeNowMs))
    .map(([version]) => ({ version, listedAtMs: listedAtMs[service]?.[version] }));
}

/** Whether streams of a version that ended then, or has not ended, may be taken up. */
export function isPossible(
  state: GatewayState,
  endedAtMs: number | null,
  storeNowMs: number,
): boolean {
  return endedAtMs === null || storeNowMs - endedAtMs <= streamRetentionMs(state);
}
