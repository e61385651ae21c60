/** Checks whether streams keep to one software version, and whether those that are taken up go on. */
import type { VirtualBox } from '../boxes/virtualBox.js';
import type { CallerRequest } from '../callers/callerAttempt.js';
import { readyServersOf } from '../faults/softwareVersions.js';
import { isSynchronized, nowMs, type World } from '../world.js';
import type { BrokenGuarantee } from './sceneRecord.js';
import type { AttemptCounts } from './streamRecord.js';

/** Number of streams with events of two software versions that the users allow. */
const MAX_MIXED_STREAMS = 2;
/** Number of attempts from which streams taken up are compared with new ones, and their least relative share. */
const MIN_TAKEN_UP = 12;
const MIN_RELATIVE_SHARE = 0.5;
/** Number of servers of a version from which its streams have to go on. */
const MIN_SERVERS = 2;

/** Records that an attempt at a stream reached a box; it is counted if it has to bring events. */
export function recordStreamAttempt(world: World, request: CallerRequest, box: VirtualBox): void {
  request.isAttemptCounted = false;
  const { spec } = request;
  if (spec.kind !== 'stream' || !spec.resumable || !isSynchronized(world, box)) return;
  // The users ask it of boxes in touch, which takes a store that has been sound for a while.
  if (nowMs(world) < world.storeUnstableUntilMs) return;
  const { began } = request;
  if (began !== undefined && readyServersOf(world, spec.service, began.version) < MIN_SERVERS) {
    return;
  }
  countsOf(world, request).attempts += 1;
  request.isAttemptCounted = true;
}

/**
 * Records that an attempt ended without an event. It is not counted if a limit refused it, as what exceeds
 * a limit is not owed, or if the servers of its version ended meanwhile.
 */
export function recordStreamAttemptLost(
  world: World,
  request: CallerRequest,
  isOverLimit: boolean,
): void {
  const { began, spec, isAttemptCounted } = request;
  request.isAttemptCounted = false;
  if (!isAttemptCounted) return;
  const hasServers =
    began === undefined || readyServersOf(world, spec.service, began.version) >= MIN_SERVERS;
  if (isOverLimit || !hasServers) countsOf(world, request).attempts -= 1;
}

/** Records an event of a stream from a server of the given version. */
export function recordStreamEvent(world: World, request: CallerRequest, version: string): void {
  if (request.isAttemptCounted) countsOf(world, request).begun += 1;
  request.isAttemptCounted = false;
  request.began ??= { requestId: request.facts.requestId, version };
  if (request.began.version !== version) world.record.streams.mixed.add(request);
}

function countsOf({ record }: World, { began }: CallerRequest): AttemptCounts {
  return began === undefined ? record.streams.fresh : record.streams.takenUp;
}

/** Returns the guarantees of streams that were broken. */
export function brokenStreamGuarantees({ record }: World): BrokenGuarantee[] {
  const { mixed, fresh, takenUp } = record.streams;
  const broken = [];
  if (mixed.size > MAX_MIXED_STREAMS) {
    const ids = [...mixed].slice(0, 3).map(({ facts }) => facts.requestId);
    broken.push({ promise: 'oneSoftwareVersion', detail: `${mixed.size}: ${ids.join(' ')}` });
  }
  const shareOf = ({ attempts, begun }: AttemptCounts): number => begun / Math.max(1, attempts);
  const isCompared = takenUp.attempts >= MIN_TAKEN_UP;
  if (isCompared && shareOf(takenUp) < MIN_RELATIVE_SHARE * shareOf(fresh)) {
    const detail = `${takenUp.begun} of ${takenUp.attempts}, new ones ${fresh.begun} of ${fresh.attempts}`;
    broken.push({ promise: 'takenUpStreamsGoOn', detail });
  }
  return broken;
}
