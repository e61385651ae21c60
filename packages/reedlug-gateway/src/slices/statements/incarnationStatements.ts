/**
 * The table of server statements, by incarnation of the server.
 *
 * It is kept separate from the registry: an entry that lapses, arrives late or is read again
 * undoes no statement, and a new incarnation starts without any.
 */
import type { GatewayState, Step } from '../../state.js';
import { isLaterIncarnation, type ServerIncarnation } from '../../types/server.js';
import type { IncarnationStatements, ServerDraining } from '../../types/serverStatement.js';
import type { ServerView } from '../../types/views.js';
import { isLimitExpired } from './limits.js';

/** Time for which statements are kept while their incarnation is not in the registry, in ms; well over the longest delay of an entry. */
const UNLISTED_RETENTION_MS = 600_000;

/** Time for which a refusal is kept, in ms; longer than gossip about it can be under way. */
const REFUSAL_RETENTION_MS = 3000;

/** Returns the statements of an incarnation to add one to, creating them if needed; undefined if the incarnation is over. */
export function statementsFor(
  state: GatewayState,
  step: Step,
  incarnation: ServerIncarnation,
): IncarnationStatements | undefined {
  const { serverId, bornAtMs } = incarnation;
  const known = state.statements.get(serverId);
  const view = state.servers.get(serverId);
  const latestMs = view?.entry.bornAtMs ?? state.goneServers.get(serverId)?.bornAtMs;
  if (isLaterIncarnation(latestMs, bornAtMs) || isLaterIncarnation(known?.bornAtMs, bornAtMs))
    return undefined;
  if (known !== undefined && !isLaterIncarnation(bornAtMs, known.bornAtMs ?? latestMs)) {
    known.bornAtMs ??= bornAtMs;
    return known;
  }
  const created: IncarnationStatements = {
    ...incarnation,
    limit: undefined,
    rest: undefined,
    refusal: undefined,
    leaving: undefined,
    listedAtMs: step.nowMs,
  };
  state.statements.set(serverId, created);
  if (view !== undefined && !isLaterIncarnation(bornAtMs, view.entry.bornAtMs))
    view.statements = created;
  return created;
}

/** Returns the statements of an incarnation that the registry lists now, and deletes those of an earlier one. */
export function findStatements(
  state: GatewayState,
  { serverId, bornAtMs }: ServerIncarnation,
): IncarnationStatements | undefined {
  const known = state.statements.get(serverId);
  if (known === undefined || isLaterIncarnation(known.bornAtMs, bornAtMs)) return undefined;
  if (isLaterIncarnation(bornAtMs, known.bornAtMs)) {
    state.statements.delete(serverId);
    return undefined;
  }
  known.bornAtMs ??= bornAtMs;
  return known;
}

/** Returns the servers of a service that have statements in force and are not draining. */
export function serversWithStatements(state: GatewayState, service: string): ServerView[] {
  return [...state.statements.values()].flatMap((statements) => {
    const view = viewOf(state, statements);
    return view?.entry.service === service && !view.leaving ? [view] : [];
  });
}

/** Returns the draining statements of the servers of a service that are still listed. */
export function drainingStatementsOf(state: GatewayState, service: string): ServerDraining[] {
  return [...state.statements.values()].flatMap((statements) => {
    const isOfService = viewOf(state, statements)?.entry.service === service;
    return isOfService && statements.leaving !== undefined ? [statements.leaving] : [];
  });
}

/** Deletes statements that are no longer in force, or whose incarnation has been unlisted for too long. */
export function pruneStatements(state: GatewayState, { nowMs }: Step): void {
  for (const statements of state.statements.values()) {
    const view = viewOf(state, statements);
    if (view !== undefined) statements.listedAtMs = nowMs;
    const isExpired = nowMs - statements.listedAtMs >= UNLISTED_RETENTION_MS;
    if (!isExpired && hasActiveStatement(statements, nowMs)) continue;
    state.statements.delete(statements.serverId);
    if (view !== undefined) view.statements = undefined;
  }
}

function hasActiveStatement(statements: IncarnationStatements, nowMs: number): boolean {
  const { limit, rest, refusal, leaving } = statements;
  if (leaving !== undefined) return true;
  if (refusal !== undefined && nowMs - refusal.atMs < REFUSAL_RETENTION_MS) return true;
  if (rest !== undefined && rest.untilMs > nowMs) return true;
  return limit !== undefined && !isLimitExpired(limit, nowMs);
}

function viewOf(state: GatewayState, statements: IncarnationStatements): ServerView | undefined {
  const view = state.servers.get(statements.serverId);
  return view?.statements === statements ? view : undefined;
}
