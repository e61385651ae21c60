/**
 * Streams that have not begun, but whose request has been sent. The row of their box names them at the version of
 * their server, as they may begin and be lost with all boxes before the next write.
 */
import type { GatewayState } from '../../state.js';
import type { Attempt, RequestRecord } from '../../types/request.js';
import type { StreamStart } from '../../types/streamVersion.js';
import { hasSeveralVersions, softwareVersionOf } from './servedVersions.js';
import { keyOfStream, untilMsOfStream } from './streamStarts.js';

/** Requires the row to be written once a request for a new stream has been sent, if several versions serve. */
export function recordIntendedStart(state: GatewayState, record: RequestRecord): void {
  if (!record.route.resumable || record.beganAtVersion !== undefined) return;
  if (!hasSeveralVersions(state, record.service)) return;
  state.streamVersions.ownRow.isOutdated = true;
}

/** Returns the streams that have not begun, at the versions of the servers that are known to run them. */
export function intendedStarts(state: GatewayState, nowMs: number): StreamStart[] {
  const source = state.settings.box.id;
  const starts: StreamStart[] = [];
  for (const record of state.requests.values()) {
    const { route, service, beganAtVersion } = record;
    if (!route.resumable || beganAtVersion !== undefined) continue;
    const attempt = record.attempts.findLast(({ open, isAtKnownLife }) => open && isAtKnownLife);
    const key = keyOfStream(record);
    if (attempt === undefined || key === undefined) continue;
    if (!hasSeveralVersions(state, service)) continue;
    const version = softwareVersionOf(attempt);
    const untilMs = untilMsOfStream(state, record);
    starts.push({ key, service, version, untilMs, isOwn: true, source, recordedAtMs: nowMs });
  }
  return starts;
}

/** Returns the key of a stream that is about to begin if the row may name it at another version than that of its server. */
export function keyToCorrect(
  state: GatewayState,
  record: RequestRecord,
  attempt: Attempt,
): string | undefined {
  const version = softwareVersionOf(attempt);
  const isSentElsewhere = record.attempts.some((other) => softwareVersionOf(other) !== version);
  if (!isSentElsewhere || !hasSeveralVersions(state, record.service)) return undefined;
  const key = keyOfStream(record);
  return key === undefined || isNamedInRow(state, key, version) ? undefined : key;
}

/** Whether the row, as the table holds it, names a stream at a version. */
export function isNamedInRow(
  { streamVersions: { ownRow } }: GatewayState,
  key: string,
  version: string,
): boolean {
  return ownRow.heldVersions.get(key) === version;
}

/** Requires the row to be written if the last write did not name a stream that has begun at its version. */
export function recordBeginForRow(
  state: GatewayState,
  { key, service, version }: StreamStart,
): void {
  if (!hasSeveralVersions(state, service)) return;
  const { ownRow } = state.streamVersions;
  if (version === undefined || ownRow.sentVersions.get(key) !== version) ownRow.isOutdated = true;
}
