/**
 * Claims: at most one run of a request for an idempotency key, through conditional writes to a table.
 *
 * A claim does not expire while its outcome is open, so a holder that pauses
 * cannot cause a second run. When the table's answer to a write is lost, the row is
 * read back: the write succeeded if the row has the write's operation id. Claims are written
 * in groups because the table is rate-limited. A group is written atomically, so
 * after a conflict the claims in conflict are removed and the others are written
 * again.
 */
import type { Outcome } from './outcome.js';
import type { TableAnswer, TableOp, TableRow } from './tableTypes.js';

/** The value of a claim row. */
export interface ClaimValue {
  /** Digest of the request, by which a different request under the same key is refused. */
  digest: string;
  /** The process that holds the claim; `incarnation` identifies one start of that process. */
  holderId: string;
  incarnation: number;
  /** Unique id of the write that made the row. */
  operationId: string;
  requestId: string;
  /** Undefined while the outcome is open. */
  outcome: Outcome | undefined;
  /** HTTP status of the answer, if there was one. */
  status: number | undefined;
}

/** A claim that the table has not confirmed yet. */
export interface PendingClaim {
  key: string;
  /** 0 for a new row, or the version of the row to replace, whose outcome is `notRun`. */
  expectVersion: number;
  value: ClaimValue;
}

/**
 * The result of one claim: `held` by this request, `taken` by another operation with the same digest,
 * `digestDiffers` because the key belongs to a request with another digest, or `unavailable` because
 * the table did not settle it.
 */
export type ClaimVerdict =
  | { kind: 'held'; key: string; requestId: string }
  | { kind: 'taken'; key: string; requestId: string; by: ClaimValue; version: number }
  | { kind: 'digestDiffers'; key: string; requestId: string }
  | { kind: 'unavailable'; key: string; requestId: string };

/** Claims that are being written, or read back, in one table operation. */
export interface ClaimGroup {
  claims: PendingClaim[];
  /** Whether the group is being read back after a lost answer. */
  readingBack: boolean;
  attempts: number;
}

/** What follows from an answer: verdicts, and the next table operation if claims are still open. */
export interface ClaimStep {
  verdicts: ClaimVerdict[];
  next: { group: ClaimGroup; op: TableOp } | undefined;
}

/** Maximum number of writes and reads for one group before its open claims become unavailable. */
export const CLAIM_MAX_ATTEMPTS = 6;

/** Returns the row key of a claim. Workspace and key are encoded so that no two pairs share a row. */
export function claimRowKey(workspaceId: string, idempotencyKey: string): string {
  return `claim/${encodeURIComponent(workspaceId)}/${encodeURIComponent(idempotencyKey)}`;
}

/** Returns a new group and its first write. */
export function startClaimGroup(claims: PendingClaim[]): { group: ClaimGroup; op: TableOp } {
  const group = { claims, readingBack: false, attempts: 1 };
  return { group, op: writeOp(claims) };
}

/** Handles the table's answer for a group; returns the claims it settles and the next operation. */
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
  const { verdicts, open } = splitClaims(group.claims, rows);
  if (open.length === 0) return { verdicts, next: undefined };
  return retryClaims(group, open, false, verdicts);
}

function afterReadBack(group: ClaimGroup, answer: TableAnswer): ClaimStep {
  if (answer.kind !== 'done') return retryClaims(group, group.claims, true, []);
  const { verdicts, open } = splitClaims(group.claims, answer.rows);
  if (open.length === 0) return { verdicts, next: undefined };
  return retryClaims(group, open, false, verdicts);
}

/** Returns the next attempt for open claims, or marks them unavailable after the last one. */
function retryClaims(
  group: ClaimGroup,
  claims: PendingClaim[],
  readingBack: boolean,
  verdicts: ClaimVerdict[],
): ClaimStep {
  if (group.attempts >= CLAIM_MAX_ATTEMPTS) {
    return { verdicts: [...verdicts, ...claims.map(unavailableVerdict)], next: undefined };
  }
  const nextGroup = { claims, readingBack, attempts: group.attempts + 1 };
  const op = readingBack ? readOp(claims) : writeOp(claims);
  return { verdicts, next: { group: nextGroup, op } };
}

/** Splits claims into those that the current rows settle and those that are still open. */
function splitClaims(
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
  const rowValue = row.value as ClaimValue;
  if (rowValue.operationId === claim.value.operationId) return heldVerdict(claim);
  const { key } = claim;
  const { requestId } = claim.value;
  if (rowValue.digest !== claim.value.digest) return { kind: 'digestDiffers', key, requestId };
  return { kind: 'taken', key, requestId, by: rowValue, version: row.version };
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
