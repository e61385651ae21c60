/**
 * Attempt ledger: one answer assembled from the tokens of several attempts.
 *
 * Every token has an offset in the whole answer. Tokens of an older attempt and
 * tokens already held are dropped; a gap is reported and nothing is taken.
 */
export interface AttemptLedger {
  /** The attempt whose tokens are accepted; undefined before the first one. */
  currentAttemptId: string | undefined;
  /** The gapless answer so far; the index is the token's offset. */
  tokens: string[];
  /** True once the end marker of the current attempt matched the tokens held. */
  whole: boolean;
}

/** What became of a batch of tokens. */
export type LedgerResult =
  | { kind: 'accepted'; offset: number; tokens: readonly string[] }
  | { kind: 'dropped'; reason: 'olderAttempt' | 'duplicate' | 'alreadyWhole' }
  | { kind: 'gap'; expectedOffset: number };

/** Returns an empty ledger. */
export function createAttemptLedger(): AttemptLedger {
  return { currentAttemptId: undefined, tokens: [], whole: false };
}

/** Makes `attemptId` the only attempt whose tokens are taken; returns the offset to resume from. */
export function startAttempt(ledger: AttemptLedger, attemptId: string): number {
  ledger.currentAttemptId = attemptId;
  return ledger.tokens.length;
}

/** Takes tokens of an attempt at an offset; mutates the ledger only when they are accepted. */
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

/** Takes an end marker. Only a marker of the current attempt over all tokens makes the answer whole. */
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
