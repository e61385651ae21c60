/**
 * Claims: at most one run for a key, through conditional inserts in a table.
 *
 * A claim does not lapse by time while its outcome is open, so a paused holder
 * is harmless. A write whose answer was lost is settled by reading the row back
 * and looking for one's own operation id. Claims are written in groups because
 * the table is rate-limited; a group is all or nothing, so on a conflict the
 * rows in the way are taken out and the rest is written again.
 */
import type { Outcome } from './outcome.js';
import type { TableAnswer, TableOp, TableRow } from './tableTypes.js';

/** The value of a claim row. */
export interface ClaimValue {
  /** Digest of the request, to refuse another request under the same key. */
  digest: string;
  /** The process that holds the claim, with its incarnation. */
  holderId: string;
  incarnation: number;
  /** Names the one write that made the row. */
  operationId: string;
  requestId: string;
  /** Undefined while the outcome is open. */
  outcome: Outcome | undefined;
  /** HTTP status of the answer, where there was one. */
  status: number | undefined;
}

/** A claim that is waiting for the table. */
export interface PendingClaim {
  key: string;
  /** 0 for a new row; the version of a row whose outcome is `notRun`, to take it over. */
  expectVersion: number;
  value: ClaimValue;
}

/** What the table said about one claim. */
export type ClaimVerdict =
  | { kind: 'held'; key: string; requestId: string }
  | { kind: 'taken'; key: string; requestId: string; by: ClaimValue; version: number }
  | { kind: 'digestDiffers'; key: string; requestId: string }
  | { kind: 'unavailable'; key: string; requestId: string };

/** A write or re-read under way. */
export interface ClaimGroup {
  claims: PendingClaim[];
  /** True while the group is being read back after a lost answer. */
  readingBack: boolean;
  attempts: number;
}

/** What to do after an answer: verdicts now, and possibly one more table operation. */
export interface ClaimStep {
  verdicts: ClaimVerdict[];
  next: { group: ClaimGroup; op: TableOp } | undefined;
}

/** Attempts (writes and re-reads) for one group before its open claims are called unavailable. */
export const CLAIM_MAX_ATTEMPTS = 6;

/** The table row of a claim; workspace and key are encoded so that no two pairs share a row. */
export function claimRowKey(workspaceId: string, idempotencyKey: string): string {
  return `claim/${encodeURIComponent(workspaceId)}/${encodeURIComponent(idempotencyKey)}`;
}

/** The first write of a group. */
export function startClaimGroup(claims: PendingClaim[]): { group: ClaimGroup; op: TableOp } {
  const group = { claims, readingBack: false, attempts: 1 };
  return { group, op: writeOp(claims) };
}

/** Takes the table's answer for a group and says what is settled and what to ask next. */
export function stepClaimGroup(group: ClaimGroup, answer: TableAnswer): ClaimStep {
  if (group.readingBack) return afterReadBack(group, answer);
  switch (answer.kind) {
    case 'done':
      return { verdicts: group.claims.map(heldVerdict), next: undefined };
    case 'unknown':
      return retryClaims(group, group.claims, true, []);
    case 'refused':
      return afterRefusal(group, answer.reason, answer.rows);
  }
}

function afterRefusal(
  group: ClaimGroup,
  reason: 'conflict' | 'throttled',
  rows: readonly TableRow[],
): ClaimStep {
  if (reason === 'throttled') {
    return { verdicts: group.claims.map(unavailableVerdict), next: undefined };
  }
  const { verdicts, open } = evaluateClaims(group.claims, rows);
  if (open.length === 0) return { verdicts, next: undefined };
  return retryClaims(group, open, false, verdicts);
}

function afterReadBack(group: ClaimGroup, answer: TableAnswer): ClaimStep {
  if (answer.kind !== 'done') return retryClaims(group, group.claims, true, []);
  const { verdicts, open } = evaluateClaims(group.claims, answer.rows);
  if (open.length === 0) return { verdicts, next: undefined };
  return retryClaims(group, open, false, verdicts);
}

function retryClaims(
  group: ClaimGroup,
  claims: PendingClaim[],
  readingBack: boolean,
  verdicts: ClaimVerdict[],
): ClaimStep {
  if (group.attempts >= CLAIM_MAX_ATTEMPTS) {
    return { verdicts: [...verdicts, ...claims.map(unavailableVerdict)], next: undefined };
  }
  const next = { claims, readingBack, attempts: group.attempts + 1 };
  const op = readingBack ? readOp(claims) : writeOp(claims);
  return { verdicts, next: { group: next, op } };
}

function evaluateClaims(
  claims: readonly PendingClaim[],
  rows: readonly TableRow[],
): { verdicts: ClaimVerdict[]; open: PendingClaim[] } {
  const rowByKey = new Map(rows.map((row) => [row.key, row]));
  const verdicts: ClaimVerdict[] = [];
  const open: PendingClaim[] = [];
  for (const claim of claims) {
    const existing = rowByKey.get(claim.key);
    const isUnchanged = (existing?.version ?? 0) === claim.expectVersion;
    if (existing === undefined || isUnchanged) open.push(claim);
    else verdicts.push(verdictForRow(claim, existing));
  }
  return { verdicts, open };
}

function verdictForRow(claim: PendingClaim, row: TableRow): ClaimVerdict {
  const existing = row.value as ClaimValue;
  if (existing.operationId === claim.value.operationId) return heldVerdict(claim);
  const { key } = claim;
  const { requestId } = claim.value;
  if (existing.digest !== claim.value.digest) return { kind: 'digestDiffers', key, requestId };
  return { kind: 'taken', key, requestId, by: existing, version: row.version };
}

function heldVerdict(claim: PendingClaim): ClaimVerdict {
  return { kind: 'held', key: claim.key, requestId: claim.value.requestId };
}

function unavailableVerdict(claim: PendingClaim): ClaimVerdict {
  return { kind: 'unavailable', key: claim.key, requestId: claim.value.requestId };
}

function writeOp(claims: readonly PendingClaim[]): TableOp {
  const writes = claims.map((claim) => ({
    key: claim.key,
    expectVersion: claim.expectVersion,
    value: claim.value,
  }));
  return { kind: 'transact', writes };
}

function readOp(claims: readonly PendingClaim[]): TableOp {
  return { kind: 'read', keys: claims.map((claim) => claim.key) };
}
