/**
 * Streams whose first event waits until the versions row lists the version of their server, and the row of their box
 * does not name them at another one.
 *
 * A version is listed some milliseconds after the first box sees it, so only the first streams wait. A box that can
 * not reach the store serves on without: other boxes are told of these streams one by one.
 */
import { log, type GatewayState, type Step } from '../../state.js';
import type { EventOf } from '../../types/event.js';
import type { ListingWait } from '../../types/streamVersion.js';
import { softwareVersionOf } from './servedVersions.js';
import { isNamedInRow, keyToCorrect } from './intendedStarts.js';
import { isListed } from './listedVersions.js';
import { mayAddFromMs, requireVersionsRow, writeVersionsRow } from './versionsRow.js';

/** Longest time for which a first event is held, in ms: a slow store answers in 250. */
const MAX_WAIT_MS = 300;
/**
 * Time after a wait that ended without the row for which no event of the same service waits, in ms. Others wait: the row may lack the
 * versions of one service alone.
 */
const PAUSE_AFTER_MISS_MS = 5000;

/** Returns whether the first event of an attempt has to wait for its version to be listed. */
export function mustAwaitListing(
  state: GatewayState,
  { exchangeId, attemptId }: { exchangeId: number; attemptId: number },
  nowMs: number,
): boolean {
  const record = state.requests.get(exchangeId);
  const attempt = record?.attempts.find((candidate) => candidate.attemptId === attemptId);
  if (record === undefined || attempt === undefined) return false;
  if (!record.route.resumable || record.beganAtVersion !== undefined) return false;
  if (!canWaitForRow(state, record.service, nowMs)) return false;
  const version = softwareVersionOf(attempt);
  if (!isListed(state, { service: record.service, version })) return true;
  return keyToCorrect(state, record, attempt) !== undefined;
}

function canWaitForRow(state: GatewayState, service: string, nowMs: number): boolean {
  const missedAtMs = state.streamVersions.versionsRow.missedAtMs.get(service);
  const isPaused = missedAtMs !== undefined && nowMs - missedAtMs < PAUSE_AFTER_MISS_MS;
  return state.storeReachable && !isPaused;
}

/** Holds the first event of an attempt and lists its version at once. */
export function onListingAwaited(
  state: GatewayState,
  step: Step,
  { exchangeId, attemptId }: EventOf<'listingAwaited'>,
): void {
  const record = state.requests.get(exchangeId);
  const attempt = record?.attempts.find((candidate) => candidate.attemptId === attemptId);
  if (record === undefined || attempt === undefined) return;
  const { service } = record;
  const version = softwareVersionOf(attempt);
  const untilMs = step.nowMs + MAX_WAIT_MS;
  const wait = { attemptId, service, version, untilMs };
  const key = keyToCorrect(state, record, attempt);
  state.streamVersions.awaitingListing.push({ ...wait, keyToCorrect: key });
  if (key !== undefined) state.streamVersions.ownRow.isOutdated = true;
  if (isListed(state, { service, version })) return;
  requireVersionsRow(state, step.nowMs);
  writeVersionsRow(state, step);
}

/** Lets the events go whose version is listed, or whose time is up. */
export function listingWaitsTick(state: GatewayState, step: Step): void {
  const { streamVersions } = state;
  if (streamVersions.awaitingListing.length === 0) return;
  const { nowMs } = step;
  const waiting: ListingWait[] = [];
  for (const wait of streamVersions.awaitingListing) {
    const { attemptId, service, version, keyToCorrect: key } = wait;
    const untilMs = Math.max(wait.untilMs, latestWriteMs(state));
    const isVersionListed = isListed(state, { service, version });
    const isOpen = !isVersionListed || (key !== undefined && !isNamedInRow(state, key, version));
    if (isOpen && nowMs < untilMs && canWaitForRow(state, service, nowMs)) {
      waiting.push(wait);
      continue;
    }
    if (!isVersionListed && nowMs >= untilMs) recordMiss(state, step, wait);
    step.effects.push({ type: 'listingEnded', attemptId });
  }
  streamVersions.awaitingListing = waiting;
}

/** Returns until when a write may be awaited that adds to a known row, which a box that has just started does later. */
function latestWriteMs(state: GatewayState): number {
  const isRowKnown = state.streamVersions.versionsRow.version !== 0;
  return isRowKnown ? mayAddFromMs(state) + MAX_WAIT_MS : Number.NEGATIVE_INFINITY;
}

function recordMiss(state: GatewayState, step: Step, { service, version }: ListingWait): void {
  state.streamVersions.versionsRow.missedAtMs.set(service, step.nowMs);
  log(step, 'versionNotListed', { service, version, era: state.storeEra ?? -1 });
}
