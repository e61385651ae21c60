/**
 * Attempt ledger: assembles one answer from the tokens of several attempts.
 *
 * Each token has an offset in the whole answer. Tokens of an older attempt and
 * duplicates are dropped. A batch that begins after a gap is not accepted, and
 * the gap is reported.
 */

/** State of one answer. */
export interface AttemptLedger {
  /** The attempt whose tokens are accepted; undefined before the first one. */
  currentAttemptId: string | undefined;
  /** The gapless answer so far; the index is the token's offset. */
  tokens: string[];
  /** Whether an end marker of the current attempt has matched the number of tokens. */
  whole: boolean;
}

/** The result for a batch of tokens or an end marker. */
export type LedgerResult =
  | { kind: 'accepted'; offset: number; tokens: readonly string[] }
  | { kind: 'dropped'; reason: 'olderAttempt' | 'duplicate' | 'alreadyWhole' }
  | { kind: 'gap'; expectedOffset: number };

/** Returns an empty ledger. */
export function createAttemptLedger(): AttemptLedger {
  return { currentAttemptId: undefined, tokens: [], whole: false };
}

/** Makes `attemptId` the only attempt whose tokens are accepted; returns the offset to resume from. */
export function startAttempt(ledger: AttemptLedger, attemptId: string): number {
  ledger.currentAttemptId = attemptId;
  return ledger.tokens.length;
}

/** Accepts tokens of an attempt at an offset. The ledger changes only if they are accepted. */
export function acceptTokens(
  ledger: AttemptLedger,
  batch: { attemptId: string; offset: number; tokens: readonly string[] },
): LedgerResult {
  if (ledger.whole) return { kind: 'dropped', reason: 'alreadyWhole' };
  if (batch.attemptId !== ledger.currentAttemptId) {
    return { kind: 'dropped', reason: 'olderAttempt' };
  }
  const held = ledger.tokens.length;
  if (batch.offset > held) return { kind: 'gap', expectedOffset: held };
  const newTokens = batch.tokens.slice(held - batch.offset);
  if (newTokens.length === 0) return { kind: 'dropped', reason: 'duplicate' };
  for (const token of newTokens) ledger.tokens.push(token);
  return { kind: 'accepted', offset: held, tokens: newTokens };
}

/**
 * Accepts an end marker, which makes the answer whole. It must be of the current attempt, and its
 * total must match the number of tokens received.
 */
export function acceptEnd(
  ledger: AttemptLedger,
  end: { attemptId: string; totalTokens: number },
): LedgerResult {
  if (ledger.whole) return { kind: 'dropped', reason: 'alreadyWhole' };
  if (end.attemptId !== ledger.currentAttemptId) return { kind: 'dropped', reason: 'olderAttempt' };
  const held = ledger.tokens.length;
  if (end.totalTokens !== held) return { kind: 'gap', expectedOffset: held };
  ledger.whole = true;
  return { kind: 'accepted', offset: held, tokens: [] };
}
