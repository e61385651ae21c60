/**
 * The table of what servers have said, by life.
 *
 * It is kept apart from the registry: an entry that lapses, comes late or is read anew
 * undoes no statement, and a next life begins without any.
 */
import type { GatewayState, Step } from '../../state.js';
import { isLaterIncarnation, type ServerIncarnation } from '../../types/server.js';
import type { IncarnationStatements, ServerDraining } from '../../types/serverStatement.js';
import type { ServerView } from '../../types/views.js';
import { isLimitExpired } from './limits.js';

/** Time for which statements of a life are kept that is not in the registry, in ms: well over the longest time for which entries come late. */
const UNLISTED_RETENTION_MS = 600_000;

/** Time for which a refusal is known, in ms: no news of it are on their way any more. */
const REFUSAL_RETENTION_MS = 3000;

/** The statements of a life, for one more; undefined for a life that is over. */
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

/** What is known of a life that the registry lists now; the statements of an earlier one are forgotten. */
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

/** Servers of a service that have said something of late and do not leave. */
export function serversWithStatements(state: GatewayState, service: string): ServerView[] {
  return [...state.statements.values()].flatMap((statements) => {
    const view = viewOf(state, statements);
    return view?.entry.service === service && !view.leaving ? [view] : [];
  });
}

/** What servers of a service have said that leave and are still listed. */
export function drainingStatementsOf(state: GatewayState, service: string): ServerDraining[] {
  return [...state.statements.values()].flatMap((statements) => {
    const isOfService = viewOf(state, statements)?.entry.service === service;
    return isOfService && statements.leaving !== undefined ? [statements.leaving] : [];
  });
}

/** Forgets what matters no more. */
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
