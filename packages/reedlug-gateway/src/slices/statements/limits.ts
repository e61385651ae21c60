/** Merges the limits that servers name, from the answers to this box and from other boxes. */
import { isNewerLimit } from '../../policy/serverLimit.js';
import { log, type Step } from '../../state.js';
import type {
  IncarnationStatements,
  LimitObservation,
  ServerLimit,
} from '../../types/serverStatement.js';

/** Time for which the end of a limit is kept, in ms; longer than gossip about it can be under way. */
const ENDED_LIMIT_RETENTION_MS = 60_000;

/** Merges an observation of a server's limit. `source` names the request, or the box that sent it. */
export function mergeLimit(
  step: Step,
  {
    statements,
    observation,
    source,
  }: { statements: IncarnationStatements; observation: LimitObservation; source: string },
): void {
  const { limit } = statements;
  if (!isNewerLimit(observation, limit)) return;
  const before = limit?.perSecond;
  const known = limit ?? createLimit(observation, step.nowMs);
  statements.limit = known;
  const { perSecond, sentAtMs, receivedAtMs } = observation;
  known.perSecond = perSecond;
  known.sentAtMs = sentAtMs;
  known.receivedAtMs = receivedAtMs;
  known.lastPerSecond = perSecond ?? known.lastPerSecond;
  if (before === perSecond) return;
  known.announcement = { changedAtMs: step.nowMs, announcedAtMs: undefined };
  log(step, perSecond === undefined ? 'serverLimitEnded' : 'serverLimitNamed', {
    server: statements.serverId,
    bornAtMs: statements.bornAtMs ?? 0,
    perSecond: perSecond ?? 0,
    before: before ?? 0,
    source,
    ageMs: Math.round(step.nowMs - receivedAtMs),
  });
}

/** Returns whether a limit ended so long ago that its record can be deleted. */
export function isLimitExpired({ perSecond, receivedAtMs }: ServerLimit, nowMs: number): boolean {
  return perSecond === undefined && nowMs - receivedAtMs >= ENDED_LIMIT_RETENTION_MS;
}

function createLimit(observation: LimitObservation, nowMs: number): ServerLimit {
  return {
    ...observation,
    lastPerSecond: observation.perSecond ?? 0,
    knownSinceMs: nowMs,
    announcement: { changedAtMs: nowMs, announcedAtMs: undefined },
    rank: undefined,
    sends: { atMs: [], sharingSinceMs: undefined, replacedAnotherBox: false },
  };
}
