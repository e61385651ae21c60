/** Attempts at streams: the version at which a stream begins, relayed events, and holds. */
import type { EventOf } from '../../types/event.js';
import type { Attempt, RequestAttempt } from '../../types/request.js';
import { log, type GatewayState, type Step } from '../../state.js';
import { isPastCrashPoint, recordGoodRun } from '../crashes/crashSuspects.js';
import { hasSeveralVersions, softwareVersionOf } from '../streamVersions/servedVersions.js';
import { isCutOffFromRegistry } from '../streamVersions/serverLives.js';
import { recordBeginForRow } from '../streamVersions/intendedStarts.js';
import { announceStart } from '../streamVersions/startGossip.js';
import { recordOwnStart } from '../streamVersions/streamStarts.js';
import { findOpenAttempt, recordAttemptActivity } from './openAttempts.js';

/** Interval at which a long run counts as good again, in ms: it clears suspects of crashes meanwhile. */
const GOOD_RUN_INTERVAL_MS = 250;

/** Binds a stream to the version of its first event's server, and tells other boxes before the event is relayed. */
export function recordVersionOfStream(
  state: GatewayState,
  step: Step,
  { record, attempt }: RequestAttempt,
): void {
  if (record.relayed) return;
  if (record.beganAtVersion === undefined) {
    record.beganAtVersion = softwareVersionOf(attempt);
    const mayBeOther =
      hasSeveralVersions(state, record.service) || isCutOffFromRegistry(state, step.nowMs);
    record.isBeginUncertain = !attempt.isAtKnownLife && mayBeOther;
  }
  if (!record.route.resumable) return;
  const version = record.isBeginUncertain ? undefined : record.beganAtVersion;
  const start = recordOwnStart(state, step, record, version);
  if (start === undefined) return;
  announceStart(state, step, start);
  recordBeginForRow(state, start);
}

/** Logs the versions of two servers whose events are joined in one answer. */
export function logContinuation(step: Step, { record, attempt }: RequestAttempt): void {
  const isEarlier = (other: Attempt): boolean =>
    other !== attempt && other.firstOutputAtMs !== undefined;
  const before = record.relayed ? record.attempts.filter(isEarlier).at(-1) : undefined;
  if (before === undefined) return;
  log(step, 'streamContinued', {
    request: record.facts.requestId,
    server: attempt.serverId,
    version: attempt.version ?? '',
    earlierServer: before.serverId,
    earlierVersion: before.version ?? '',
    lastEvent: record.lastEventId ?? -1,
  });
}

/** Records the last event of a stream that the caller has received. */
export function onEventsRelayed(
  state: GatewayState,
  step: Step,
  event: EventOf<'eventsRelayed'>,
): void {
  const found = findOpenAttempt(state, event);
  if (found === undefined) return;
  recordAttemptActivity(state, step, found.attempt);
  recordRunPastCrashPoint(state, step, found);
  if (event.lastEventId !== undefined) found.record.lastEventId = event.lastEventId;
}

/** Records a good run once a run is past the crash point, and again at intervals. */
function recordRunPastCrashPoint(
  state: GatewayState,
  step: Step,
  { record, attempt }: RequestAttempt,
): void {
  if (attempt.goodRunAtMs !== undefined && state.crashSuspects.size === 0) return;
  const sinceMs = step.nowMs - (attempt.goodRunAtMs ?? Number.NEGATIVE_INFINITY);
  if (sinceMs < GOOD_RUN_INTERVAL_MS || !isPastCrashPoint(attempt, step.nowMs)) return;
  attempt.goodRunAtMs = step.nowMs;
  recordGoodRun(state, step, record);
}

/** The server of a stream is not read for now, or is read again. */
export function onAttemptHeld(
  state: GatewayState,
  step: Step,
  event: EventOf<'attemptHeld'>,
): void {
  const found = findOpenAttempt(state, event);
  if (found === undefined) return;
  found.attempt.isHeld = event.isHeld;
  recordAttemptActivity(state, step, found.attempt);
  const { requestId } = found.record.facts;
  log(step, 'streamHeld', { request: requestId, isHeld: event.isHeld });
}
