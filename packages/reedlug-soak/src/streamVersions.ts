/** Checks that streams hold events of one software version, and that those that are taken up go on. */
import type { GuaranteeBounds, Violation } from './guaranteeBounds.js';
import { overlaps, type SoakRecord } from './soakRecord.js';
import type { CalledStream, StreamTry } from './calledStream.js';

/** Number of streams with events of two software versions that the users allow. */
export const MAX_MIXED_STREAMS = 2;
/** Number of streams taken up from which the users compare them with new ones, and their least relative share. */
const MIN_TAKEN_UP = 12;
const MIN_RELATIVE_SHARE = 0.5;
/** Number of servers of a version from which its streams have to go on. */
const MIN_SERVERS = 2;

/** Attempts, and how many of them brought events or the end of the stream. */
export interface StreamShare {
  begun: number;
  total: number;
}

/** Returns the streams whose events come from servers of several software versions. */
export function mixedStreams({ streams }: SoakRecord): CalledStream[] {
  return streams.filter((stream) => versionsOf(stream).size > 1);
}

function versionsOf({ tries }: CalledStream): Set<string> {
  return new Set(tries.flatMap(({ events }) => events.map(({ version }) => version)));
}

/** Counts the first attempts of streams that brought events, among those that the filter includes. */
export function newStreams(
  { streams }: SoakRecord,
  isCounted: (attempt: StreamTry) => boolean,
): StreamShare {
  return shareOf(streams.flatMap(({ tries }) => tries.slice(0, 1)).filter(isCounted));
}

/**
 * Counts the attempts to take up a stream that brought events. Left out are those while fewer than
 * two servers of the stream's version accept requests, and those that the filter excludes.
 */
export function takenUpStreams(
  record: SoakRecord,
  isCounted: (attempt: StreamTry) => boolean,
): StreamShare {
  const attempts = record.streams.flatMap(({ tries }) => {
    const first = tries.findIndex(({ events }) => events.length > 0);
    if (first < 0) return [];
    const version = tries[first]?.events[0]?.version ?? '';
    return tries.slice(first + 1).filter((attempt) => hasServers(record, version, attempt));
  });
  return shareOf(attempts.filter(isCounted));
}

function shareOf(attempts: readonly StreamTry[]): StreamShare {
  return {
    begun: attempts.filter(({ events, isWhole }) => isWhole || events.length > 0).length,
    total: attempts.length,
  };
}

/** Returns the share of attempts that brought events; 1 without attempts. */
export function begunShare({ begun, total }: StreamShare): number {
  return total === 0 ? 1 : begun / total;
}

function hasServers(record: SoakRecord, version: string, attempt: StreamTry): boolean {
  const changes = record.versionServers.filter((change) => change.version === version);
  const before = changes.filter(({ atMs }) => atMs <= attempt.sentAtMs).at(-1)?.servers ?? 0;
  const during = changes.filter(({ atMs }) => atMs > attempt.sentAtMs && atMs <= attempt.endedAtMs);
  return Math.min(before, ...during.map(({ servers }) => servers)) >= MIN_SERVERS;
}

/** Describes the streams of a run in a line of its report; counts the attempts that a box answered. */
export function describeStreams(record: SoakRecord): string {
  const gotResponse = ({ status }: StreamTry): boolean => status !== undefined;
  const taken = takenUpStreams(record, gotResponse);
  const fresh = newStreams(record, gotResponse);
  const mixed = mixedStreams(record).length;
  return `streams: new=${fresh.begun}/${fresh.total} takenUp=${taken.begun}/${taken.total} mixed=${mixed}`;
}

/** Checks both guarantees of streams over a run. */
export function checkStreamVersions(record: SoakRecord, bounds: GuaranteeBounds): Violation[] {
  const violations: Violation[] = [];
  const mixed = mixedStreams(record);
  if (mixed.length > MAX_MIXED_STREAMS) {
    const names = mixed.map(({ tries }) => tries[0]?.requestId).slice(0, 3);
    const detail = `${mixed.length} of ${record.streams.length} streams, ${names.join(', ')}`;
    violations.push({ promise: 'one software version a stream', detail });
  }
  // A caller whose key was revoked meanwhile is refused, whatever its stream.
  const isOwed = ({ key, box, sentAtMs, endedAtMs }: StreamTry): boolean =>
    !record.revokedAtMs.has(key) &&
    !overlaps(record.troubles.get(box) ?? [], sentAtMs - bounds.recoveryMs, endedAtMs);
  const taken = takenUpStreams(record, isOwed);
  const fresh = newStreams(record, isOwed);
  if (taken.total < MIN_TAKEN_UP) return violations;
  if (begunShare(taken) >= begunShare(fresh) * MIN_RELATIVE_SHARE) return violations;
  const detail = `${taken.begun} of ${taken.total} taken up, ${fresh.begun} of ${fresh.total} new ones`;
  return [...violations, { promise: 'streams that are taken up go on', detail }];
}
