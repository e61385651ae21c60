/**
 * Refusals that name no pause. They are sent to all boxes, as otherwise each box would have to be refused
 * itself before it avoids the server.
 */
import { recordFailure } from '../../policy/serverHealth.js';
import type { GatewayState, Step } from '../../state.js';
import type { IncarnationStatements } from '../../types/serverStatement.js';

/** Time within which several refusals of a server are merged into one, in ms. A full server refuses many requests at once. */
const REFUSAL_MERGE_MS = 500;

/** Merges a refusal that this box or another one received. It counts as a failure in the choice of servers. */
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
  if (view?.statements === statements) recordFailure(view, nowMs);
}
