/**
 * Software versions of each service that this box has seen in the registry for as long as a stream may
 * be taken up: a stream can have begun at any of them.
 */
import { log, type GatewayState, type Step } from '../../state.js';
import { RouteKind } from '../../types/configuration.js';
import type { ServerEntry } from '../../types/server.js';
import { MIN_STREAM_RETENTION_MS, type ServedVersion } from '../../types/streamVersion.js';

/** Interval between checks of the registry's versions, in ms. */
const CHECK_INTERVAL_MS = 500;
/** Number of route timeouts within which a stream is over: one for the stream, one for its caller's further attempts. */
const TIMEOUTS_TO_END = 2;

/** Returns the software version of a server; a server that states none has the empty one. */
export function softwareVersionOf({ version = '' }: { version?: string | undefined }): string {
  return version;
}

/** Returns the time after which no caller takes up a stream any more, in ms from its begin. */
export function streamRetentionMs({ streamVersions }: GatewayState): number {
  return streamVersions.retentionMs;
}

/**
 * Updates that time by a new configuration; it is kept, as there may be thousands of routes. A shorter one holds once
 * the streams that began before are over.
 */
export function updateStreamRetention(state: GatewayState, nowMs: number): void {
  const { streamVersions } = state;
  const ofRoutes = retentionOfRoutes(state);
  if (ofRoutes === streamVersions.nextRetention?.retentionMs) return;
  const isLonger = ofRoutes >= streamVersions.retentionMs;
  if (isLonger) streamVersions.retentionMs = ofRoutes;
  const fromMs = nowMs + streamVersions.retentionMs;
  streamVersions.nextRetention = isLonger ? undefined : { retentionMs: ofRoutes, fromMs };
}

function applyNextRetention({ streamVersions }: GatewayState, nowMs: number): void {
  const { nextRetention } = streamVersions;
  if (nextRetention === undefined || nowMs < nextRetention.fromMs) return;
  streamVersions.retentionMs = nextRetention.retentionMs;
  streamVersions.nextRetention = undefined;
}

function retentionOfRoutes({ active }: GatewayState): number {
  let longestMs = 0;
  for (const { kind, timeoutMs } of active?.configuration.routes ?? []) {
    if (kind === RouteKind.stream) longestMs = Math.max(longestMs, timeoutMs);
  }
  return Math.max(MIN_STREAM_RETENTION_MS, TIMEOUTS_TO_END * longestMs);
}

/** Records that the registry lists a server. */
export function recordServedVersion(state: GatewayState, step: Step, entry: ServerEntry): void {
  const { served } = state.streamVersions;
  const ofService = served.get(entry.service) ?? new Map<string, ServedVersion>();
  served.set(entry.service, ofService);
  const version = softwareVersionOf(entry);
  const isNew = ofService.get(version)?.isPresent !== true;
  ofService.set(version, { seenAtMs: step.nowMs, isPresent: true });
  if (!isNew) return;
  state.streamVersions.versionsRow.outdatedSinceMs ??= step.nowMs;
  if (ofService.size < 2) return;
  const versions = [...ofService.keys()].join(' ');
  log(step, 'softwareVersionAdded', { service: entry.service, version, versions });
  recordVersionChange(state);
}

/** Records a version that other boxes have seen, if this box has not. */
export function recordVersionOfOthers(
  { streamVersions: { served } }: GatewayState,
  { service, version, seenAtMs }: { service: string; version: string; seenAtMs: number },
): void {
  const ofService = served.get(service) ?? new Map<string, ServedVersion>();
  served.set(service, ofService);
  const known = ofService.get(version);
  if (known === undefined) ofService.set(version, { seenAtMs, isPresent: false });
  else known.seenAtMs = Math.max(known.seenAtMs, seenAtMs);
}

/** Requires the rows of streams to be read and written again. */
function recordVersionChange({ streamVersions }: GatewayState): void {
  streamVersions.ownRow.isOutdated = true;
  streamVersions.read.isWanted = true;
}

/** Returns the versions of a service at which a stream may have begun, as far as this box has seen. */
export function possibleVersions(state: GatewayState, service: string): ReadonlySet<string> {
  return new Set(state.streamVersions.served.get(service)?.keys());
}

/** Whether streams of a service may have begun at different versions. */
export function hasSeveralVersions({ streamVersions }: GatewayState, service: string): boolean {
  return (streamVersions.served.get(service)?.size ?? 0) > 1;
}

/** Whether that holds for any service. */
export function hasAnySeveralVersions({ streamVersions }: GatewayState): boolean {
  for (const ofService of streamVersions.served.values()) if (ofService.size > 1) return true;
  return false;
}

/** Updates when each version was last in the registry, and drops those that ended long ago. */
export function servedVersionsTick(state: GatewayState, step: Step): void {
  const { streamVersions } = state;
  if (step.nowMs - streamVersions.checkedAtMs < CHECK_INTERVAL_MS) return;
  streamVersions.checkedAtMs = step.nowMs;
  applyNextRetention(state, step.nowMs);
  const present = presentVersions(state);
  const retentionMs = streamRetentionMs(state);
  for (const [service, ofService] of streamVersions.served) {
    for (const [version, known] of ofService) {
      const wasPresent = known.isPresent;
      known.isPresent = present.get(service)?.has(version) === true;
      if (known.isPresent) known.seenAtMs = step.nowMs;
      if (known.isPresent !== wasPresent) streamVersions.versionsRow.outdatedSinceMs ??= step.nowMs;
      if (step.nowMs - known.seenAtMs <= retentionMs) continue;
      ofService.delete(version);
      streamVersions.begunUnlisted.get(service)?.delete(version);
      streamVersions.forgotten.get(service)?.delete(version);
      streamVersions.versionsRow.outdatedSinceMs ??= step.nowMs;
      log(step, 'softwareVersionGone', { service, version });
    }
  }
}

/** Returns the versions of each service in the registry. */
export function presentVersions(state: GatewayState): Map<string, Set<string>> {
  const present = new Map<string, Set<string>>();
  for (const { entry } of state.servers.values()) {
    const versions = present.get(entry.service) ?? new Set();
    present.set(entry.service, versions.add(softwareVersionOf(entry)));
  }
  return present;
}
