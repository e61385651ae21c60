/** Checks how callers of boxes that are partitioned from servers are served, compared with those of the other boxes. */
import { firstBoxes } from './fault.js';
import type { GuaranteeBounds, Violation } from './guaranteeBounds.js';
import {
  CallKind,
  overlaps,
  type Call,
  type PartitionSpan,
  type SoakRecord,
} from './soakRecord.js';

/**
 * Guarantee that the users require: partitioned boxes serve at least this share of what the others
 * serve, or fail at most `MIN_FAILURES` requests and one in fifty.
 */
const MIN_RELATIVE_SHARE = 2 / 3;
const MIN_FAILURES = 10;
const MIN_FAILURE_SHARE = 1 / 50;
/** Percentile of the times to an answer that is compared. */
const TIME_PERCENTILE = 0.95;

/** Calls of one group of boxes, and how many of them were served. */
export interface ServedCalls {
  served: number;
  total: number;
  /** 95th percentile of the times to an answer of calls without a stream, in ms; 0 without any. */
  p95Ms: number;
}

/** Calls during a partition, by whether their box was partitioned. */
export interface PartitionOutcome {
  partitioned: ServedCalls;
  others: ServedCalls;
}

/** Counts the calls that were sent in a part of a partition; times are from its start, in ms. */
export function servedDuring(
  record: SoakRecord,
  span: PartitionSpan,
  part: { fromMs: number; toMs: number },
): PartitionOutcome {
  const calls = record.calls.filter((call) => {
    const sinceMs = call.sentAtMs - span.fromMs;
    if (sinceMs < part.fromMs || sinceMs >= part.toMs) return false;
    return isOwed(record, call) && isAnyOtherUp(record, span, call);
  });
  const isPartitioned = ({ box }: Call): boolean => span.boxes.has(box);
  return {
    partitioned: countServed(calls.filter(isPartitioned)),
    others: countServed(calls.filter((call) => !isPartitioned(call))),
  };
}

/** Returns the share of the calls that were served; 1 without calls. */
export function servedShare({ served, total }: ServedCalls): number {
  return total === 0 ? 1 : served / total;
}

/** Whether, during a call, some box that is not partitioned is undisturbed, so that it could help. */
function isAnyOtherUp(record: SoakRecord, span: PartitionSpan, call: Call): boolean {
  const others = firstBoxes(record.boxes).filter((box) => !span.boxes.has(box));
  return others.some(
    (box) => !overlaps(record.troubles.get(box) ?? [], call.sentAtMs, call.endedAtMs),
  );
}

/** Whether a call has a valid key without a limit, and no fault affects its box. */
function isOwed(record: SoakRecord, { kind, key, box, sentAtMs, endedAtMs }: Call): boolean {
  if (kind === CallKind.probe || kind === CallKind.crashing) return false;
  if (key === record.limitedKey || record.revokedAtMs.has(key)) return false;
  return !overlaps(record.troubles.get(box) ?? [], sentAtMs, endedAtMs);
}

function countServed(calls: readonly Call[]): ServedCalls {
  const served = calls.filter(({ status, isWhole }) => status === 200 && isWhole);
  const timesMs = calls
    .filter(({ kind }) => kind !== CallKind.draft)
    .map(({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs)
    .sort((a, b) => a - b);
  const p95Ms = timesMs[Math.floor(timesMs.length * TIME_PERCENTILE)] ?? 0;
  return { served: served.length, total: calls.length, p95Ms };
}

/** Compares both groups of boxes in each partition, from the recovery time after its start. */
export function checkPartitionedBoxes(record: SoakRecord, bounds: GuaranteeBounds): Violation[] {
  return record.partitions.flatMap((span) => {
    const part = { fromMs: bounds.recoveryMs, toMs: span.toMs - span.fromMs };
    const { partitioned, others } = servedDuring(record, span, part);
    const failures = partitioned.total - partitioned.served;
    const allowed = MIN_FAILURES + (partitioned.total + others.total) * MIN_FAILURE_SHARE;
    // Without other boxes nobody reaches the servers.
    if (others.total === 0) return [];
    const isBelow = servedShare(partitioned) < servedShare(others) * MIN_RELATIVE_SHARE;
    if (!isBelow || failures <= allowed) return [];
    const detail = `${partitioned.served} of ${partitioned.total} served at ${span.boxes.size} partitioned boxes, ${others.served} of ${others.total} at the others`;
    return [{ promise: 'callers of partitioned boxes', detail }];
  });
}
