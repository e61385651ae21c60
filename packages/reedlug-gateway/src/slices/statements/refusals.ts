/** Refusals without a time, of which all boxes hear: else each of them learns alone that a server refuses. */
import { noteFailure } from '../../policy/serverHealth.js';
import type { GatewayState, Step } from '../../state.js';
import type { IncarnationStatements } from '../../types/serverStatement.js';

/** Time within which several refusals of a server are told as one, in ms: a server that is full refuses many at once. */
const REFUSAL_MERGE_MS = 500;

/** Merges a refusal that this box or another one had; it counts in the choice as a failure does. */
export function mergeRefusal(
  state: GatewayState,
  { nowMs }: Step,
  { statements, ageMs }: { statements: IncarnationStatements; ageMs: number },
): void {
  const atMs = nowMs - ageMs;
  const known = statements.refusal;
  if (known !== undefined && atMs < known.atMs + REFUSAL_MERGE_MS) return;
  statements.refusal = { atMs, announcement: { changedAtMs: nowMs, announcedAtMs: undefined } };
  const view = state.servers.get(statements.serverId);
  if (view?.statements === statements) noteFailure(view, nowMs);
}
