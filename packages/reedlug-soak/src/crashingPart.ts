/** Checks that a part of prompts that crashes servers is kept out, and that other streams are served beside it. */
import type { GuaranteeBounds, Violation } from './guaranteeBounds.js';
import type { StreamTry } from './calledStream.js';
import { overlaps, type PartStream, type SoakRecord } from './soakRecord.js';

/** Number of crashes after which the users allow a number of further sends. */
const CRASHES_BEFORE_BOUND = 5;
const MAX_FURTHER_SENDS = 3;
/** Number of streams from which the users compare how often they begin, and their least relative share. */
const MIN_COMPARED = 20;
const MIN_RELATIVE_SHARE = 0.5;

/** Streams, and how many of them brought events at the first attempt. */
export interface FirstAttempts {
  begun: number;
  total: number;
}

/** Returns the time from which the bound on further sends applies; infinite with fewer crashes. */
function boundAtMs(
  { partCrashesAtMs }: SoakRecord,
  bounds: Pick<GuaranteeBounds, 'recoveryMs'>,
): number {
  return (
    (partCrashesAtMs[CRASHES_BEFORE_BOUND - 1] ?? Number.POSITIVE_INFINITY) + bounds.recoveryMs
  );
}

/** Counts how often servers received the part after the bound applies, from boxes that no fault affects. */
export function furtherPartSends(
  record: SoakRecord,
  bounds: Pick<GuaranteeBounds, 'recoveryMs'>,
): number {
  const fromMs = boundAtMs(record, bounds);
  const tries = record.partStreams
    .filter(({ isCrashing }) => isCrashing)
    .flatMap(({ stream }) => stream.tries);
  const boxById = new Map(tries.map(({ requestId, box }) => [requestId, box]));
  return record.runs.filter(({ requestId, atMs }) => {
    const box = boxById.get(requestId);
    if (box === undefined || atMs <= fromMs) return false;
    return !overlaps(record.troubles.get(box) ?? [], atMs - bounds.recoveryMs, atMs);
  }).length;
}

/** Counts the sound streams, sent in a span of time, that began at their first attempt. */
export function soundFirstAttempts(
  { partStreams }: SoakRecord,
  fromMs: number,
  toMs: number,
): FirstAttempts {
  const counted = partStreams.filter(({ isCrashing, stream }) => {
    const sentAtMs = stream.tries[0]?.sentAtMs ?? Number.NaN;
    return !isCrashing && sentAtMs >= fromMs && sentAtMs < toMs;
  });
  const begun = counted.filter(({ stream }) => (stream.tries[0]?.events.length ?? 0) > 0).length;
  return { begun, total: counted.length };
}

/** Returns the time from which boxes know the part: after the fifth crash, or the last one. */
export function partKnownAtMs(
  { partCrashesAtMs }: SoakRecord,
  bounds: Pick<GuaranteeBounds, 'recoveryMs'>,
): number {
  const decidedAtMs = partCrashesAtMs[CRASHES_BEFORE_BOUND - 1] ?? partCrashesAtMs.at(-1);
  return (decidedAtMs ?? Number.POSITIVE_INFINITY) + 2 * bounds.recoveryMs;
}

/** Checks the guarantees around such a part over a run. */
export function checkCrashingPart(record: SoakRecord, bounds: GuaranteeBounds): Violation[] {
  const violations: Violation[] = [];
  const furtherSends = furtherPartSends(record, bounds);
  if (furtherSends > MAX_FURTHER_SENDS) {
    const detail = `${furtherSends} sends after the fifth crash, ${record.partCrashesAtMs.length} crashes`;
    violations.push({ promise: 'a part that crashes servers is kept out', detail });
  }
  const keptOut = record.partStreams.filter(isSoundKeptOut).length;
  if (keptOut > 0) {
    violations.push({
      promise: 'no other is kept out',
      detail: `${keptOut} streams without the part`,
    });
  }
  const isOther = record.serverTroubles.length > record.partCrashesAtMs.length;
  const after = soundFirstAttempts(record, partKnownAtMs(record, bounds), Number.POSITIVE_INFINITY);
  if (isOther || after.total < MIN_COMPARED) return violations;
  if (after.begun >= after.total * MIN_RELATIVE_SHARE) return violations;
  const detail = `${after.begun} of ${after.total} begin at the first attempt`;
  return [
    ...violations,
    { promise: 'others are served beside a part that crashes servers', detail },
  ];
}

function isSoundKeptOut({ isCrashing, stream }: PartStream): boolean {
  // After a loss the same reason stands in a 502, as the box does not send such a request again.
  const isKeptOut = ({ status, failure }: StreamTry): boolean =>
    status === 500 && failure.includes('crashesServers');
  return !isCrashing && stream.tries.some(isKeptOut);
}
