/** Streams that may be taken up, with the software version of the server that produced the first event. */
import { log, type GatewayState, type Step } from '../../state.js';
import type { RequestRecord } from '../../types/request.js';
import type { StreamStart, StreamStartRow } from '../../types/streamVersion.js';
import { isFiniteNumber } from '../store/rowValues.js';
import { streamRetentionMs } from './servedVersions.js';

/** Maximum number of streams kept; of more, the ones recorded first are dropped, and refused if they are taken up. */
const MAX_STARTS = 50_000;
/** Maximum length of a key; callers choose the ids of their requests. */
const MAX_KEY_LENGTH = 200;

/** Returns the key of the stream that a request began; undefined if its id is too long to be kept. */
export function streamKey(workspace: string | undefined, requestId: string): string | undefined {
  const key = `${workspace ?? ''}/${requestId}`;
  return key.length <= MAX_KEY_LENGTH ? key : undefined;
}

/** Returns the key of the stream of which a request brings events; undefined if none is named. */
export function keyOfStream({ facts, workspace }: RequestRecord): string | undefined {
  const { requestId, lastEventId, resumedRequestId } = facts;
  // The id of this request is not what the caller will name for a stream that it has begun before.
  if (resumedRequestId === undefined && lastEventId !== undefined) return undefined;
  return streamKey(workspace, resumedRequestId ?? requestId);
}

/** Returns the time after which the caller of a stream has given up. */
export function untilMsOfStream(
  state: GatewayState,
  { route, facts, arrivedAtMs }: RequestRecord,
): number {
  const allowedMs = Math.max(facts.deadlineMs ?? 0, route.timeoutMs);
  return arrivedAtMs + Math.min(streamRetentionMs(state), allowedMs);
}

/** Records that this box relays a stream from a server of the given version, if that is certain; returns its start. */
export function recordOwnStart(
  state: GatewayState,
  step: Step,
  record: RequestRecord,
  version: string | undefined,
): StreamStart | undefined {
  const key = keyOfStream(record);
  if (key === undefined) return undefined;
  const { service, units } = record;
  const untilMs = untilMsOfStream(state, record);
  const source = state.settings.box.id;
  const start = { key, service, version, untilMs, units, isOwn: true, source };
  return mergeStart(state, step, { ...start, recordedAtMs: step.nowMs });
}

/** Merges a start with what is known of the stream, and returns the result. */
export function mergeStart(state: GatewayState, step: Step, start: StreamStart): StreamStart {
  const { starts } = state.streamVersions;
  const known = starts.get(start.key);
  if (known === undefined) {
    starts.set(start.key, start);
    if (starts.size > MAX_STARTS) dropFirst(state, step.nowMs);
    return start;
  }
  known.untilMs = Math.max(known.untilMs, start.untilMs);
  known.isOwn ||= start.isOwn;
  const isSame = known.service === start.service && known.version === start.version;
  if (isSame || known.version === undefined) return known;
  known.version = undefined;
  log(step, 'streamStartAmbiguous', { stream: start.key, source: start.source });
  return known;
}

function dropFirst(state: GatewayState, nowMs: number): void {
  const [first] = state.streamVersions.starts.values();
  if (first === undefined) return;
  forgetStart(state, first);
  state.streamVersions.droppedAtMs = nowMs;
}

/** Whether this box may have dropped the start of a stream that is not over, so that it can not say that it never knew the stream. */
export function mayHaveDroppedStart(state: GatewayState, nowMs: number): boolean {
  return nowMs - state.streamVersions.droppedAtMs <= streamRetentionMs(state);
}

/** Removes a start. Its version may have begun streams from now on that no box knows. */
function forgetStart({ streamVersions }: GatewayState, start: StreamStart): void {
  const { key, service, version } = start;
  streamVersions.starts.delete(key);
  if (version === undefined) return;
  const versions = streamVersions.forgotten.get(service) ?? new Set();
  streamVersions.forgotten.set(service, versions.add(version));
}

/** Whether this box has known starts at a version that it no longer knows. */
export function hasForgottenStarts(
  { streamVersions }: GatewayState,
  { service, version }: { service: string; version: string },
): boolean {
  return streamVersions.forgotten.get(service)?.has(version) === true;
}

/** Returns the start of a stream, if it is known. */
export function findStart(
  { streamVersions }: GatewayState,
  key: string | undefined,
): StreamStart | undefined {
  return key === undefined ? undefined : streamVersions.starts.get(key);
}

/** Removes the streams whose callers have given up. */
export function pruneStarts(state: GatewayState, nowMs: number): void {
  for (const start of state.streamVersions.starts.values()) {
    if (nowMs > start.untilMs) forgetStart(state, start);
  }
}

/** Encodes a start for messages and rows. */
export function startRowOf(
  { key, service, version, untilMs, units }: StreamStart,
  nowMs: number,
): StreamStartRow {
  return [key, service, version ?? null, Math.max(0, Math.round(untilMs - nowMs)), units];
}

/** Whether a value is a row of a start: messages and rows may come from other versions of the gateway. */
export function isStartRow(value: unknown): value is StreamStartRow {
  if (!Array.isArray(value) || value.length < 4) return false;
  const [key, service, version, leftMs] = value as unknown[];
  if (typeof key !== 'string' || key.length > MAX_KEY_LENGTH) return false;
  if (typeof service !== 'string' || !isFiniteNumber(leftMs)) return false;
  return version === null || typeof version === 'string';
}

/** Returns the units of a stream; 0 if its row does not state them. */
export function unitsOfRow([, , , , units]: StreamStartRow): number {
  return isFiniteNumber(units) && units > 0 ? units : 0;
}

/** Records a start from a message or a row; its time left counts from `asOfMs`. */
export function recordReceivedStart(
  state: GatewayState,
  step: Step,
  row: StreamStartRow,
  origin: { source: string; isOwn: boolean; asOfMs: number },
): void {
  const [key, service, version, leftMs] = row;
  const units = unitsOfRow(row);
  const { source, isOwn, asOfMs } = origin;
  const untilMs = asOfMs + Math.min(leftMs, streamRetentionMs(state));
  if (untilMs <= step.nowMs) return;
  const start = { key, service, version: version ?? undefined, untilMs, units, isOwn, source };
  mergeStart(state, step, { ...start, recordedAtMs: step.nowMs });
}
