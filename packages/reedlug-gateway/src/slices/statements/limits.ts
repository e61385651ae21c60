/** Limits of servers as this box merges them, from its own answers and from other boxes. */
import { isNewerLimit } from '../../policy/serverLimit.js';
import { log, type Step } from '../../state.js';
import type {
  IncarnationStatements,
  LimitObservation,
  ServerLimit,
} from '../../types/serverStatement.js';

/** Time for which an end of a limit is known, in ms: no news of it are on their way any more. */
const ENDED_LIMIT_RETENTION_MS = 60_000;

/** Merges what a server said of its limit; `source` names the request, or the box that told it. */
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

/** Whether a limit has ended so long ago that nothing of it matters any more. */
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
