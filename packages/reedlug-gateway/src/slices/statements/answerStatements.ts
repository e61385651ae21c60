/** Takes what the heads of answers say of their servers. */
import { log, type GatewayState, type Step } from '../../state.js';
import type { Attempt, RequestRecord } from '../../types/request.js';
import type {
  AnswerStatements,
  IncarnationStatements,
  LimitStatement,
} from '../../types/serverStatement.js';
import { mergeLeaving } from './leaving.js';
import { statementsFor } from './lifeStatements.js';
import { mergeLimit } from './limits.js';
import { mergeRefusal } from './refusals.js';
import { mergeOwnRest } from './rests.js';

/** Characters of an odd value that are logged. */
const MOST_LOGGED = 40;

/** Takes what an answer says of its server. */
export function takeAnswerStatements(
  state: GatewayState,
  step: Step,
  params: { record: RequestRecord; attempt: Attempt; said: AnswerStatements },
): void {
  const { record, attempt, said } = params;
  const source = record.facts.requestId;
  takeLimit(state, step, { attempt, limit: said.limit, source });
  if (said.pauseMs !== undefined) {
    const statements = statementsFor(state, step, attempt);
    if (statements !== undefined) mergeOwnRest(step, { statements, restMs: said.pauseMs, source });
  }
  if (said.isDraining) mergeLeaving(state, step, { life: attempt, source, isListed: false });
}

/** A server that refuses has little open and would be the cheapest choice again; one that asked for rest is not chosen. */
export function takeRefusal(state: GatewayState, step: Step, attempt: Attempt): void {
  const statements = statementsFor(state, step, attempt);
  if (statements === undefined) return;
  if (statements.rest !== undefined && statements.rest.ownUntilMs > step.nowMs) return;
  mergeRefusal(state, step, { statements, ageMs: 0 });
}

function takeLimit(
  state: GatewayState,
  step: Step,
  params: { attempt: Attempt; limit: LimitStatement; source: string },
): void {
  const { attempt, limit, source } = params;
  const { serverId, sentAtMs } = attempt;
  switch (limit.kind) {
    case 'odd': {
      const value = limit.value.slice(0, MOST_LOGGED);
      return log(step, 'serverLimitOdd', { request: source, server: serverId, value });
    }
    case 'none':
    case 'limit': {
      const perSecond = limit.kind === 'limit' ? limit.perSecond : undefined;
      const statements = limitedStatements(state, step, attempt, perSecond);
      if (statements === undefined) return;
      const fact = { perSecond, sentAtMs, receivedAtMs: step.nowMs };
      return mergeLimit(step, { statements, fact, source });
    }
  }
}

/** Most answers name no limit, of servers that never did: nothing is kept for them. */
function limitedStatements(
  state: GatewayState,
  step: Step,
  attempt: Attempt,
  perSecond: number | undefined,
): IncarnationStatements | undefined {
  if (perSecond === undefined && !state.statements.has(attempt.serverId)) return undefined;
  return statementsFor(state, step, attempt);
}
