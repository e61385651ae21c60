/** Takes what the heads of answers say of their servers. */
import { log, type GatewayState, type Step } from '../../state.js';
import type { Attempt, RequestRecord } from '../../types/request.js';
import type {
  AnswerStatements,
  IncarnationStatements,
  LimitStatement,
} from '../../types/serverStatement.js';
import { mergeDraining } from './draining.js';
import { statementsFor } from './incarnationStatements.js';
import { mergeLimit } from './limits.js';
import { mergeRefusal } from './refusals.js';
import { mergeOwnPause } from './pauses.js';

/** Characters of an odd value that are logged. */
const MAX_LOGGED_CHARACTERS = 40;

/** Takes what an answer says of its server. */
export function applyAnswerStatements(
  state: GatewayState,
  step: Step,
  params: { record: RequestRecord; attempt: Attempt; answerStatements: AnswerStatements },
): void {
  const { record, attempt, answerStatements } = params;
  const source = record.facts.requestId;
  applyLimit(state, step, { attempt, limit: answerStatements.limit, source });
  if (answerStatements.pauseMs !== undefined) {
    const statements = statementsFor(state, step, attempt);
    if (statements !== undefined)
      mergeOwnPause(step, { statements, pauseMs: answerStatements.pauseMs, source });
  }
  if (answerStatements.isDraining)
    mergeDraining(state, step, { life: attempt, source, isListed: false });
}

/** A server that refuses has little open and would be the cheapest choice again; one that asked for rest is not chosen. */
export function applyRefusal(state: GatewayState, step: Step, attempt: Attempt): void {
  const statements = statementsFor(state, step, attempt);
  if (statements === undefined) return;
  if (statements.rest !== undefined && statements.rest.ownUntilMs > step.nowMs) return;
  mergeRefusal(state, step, { statements, ageMs: 0 });
}

function applyLimit(
  state: GatewayState,
  step: Step,
  params: { attempt: Attempt; limit: LimitStatement; source: string },
): void {
  const { attempt, limit, source } = params;
  const { serverId, sentAtMs } = attempt;
  switch (limit.kind) {
    case 'odd': {
      const value = limit.value.slice(0, MAX_LOGGED_CHARACTERS);
      return log(step, 'serverLimitOdd', { request: source, server: serverId, value });
    }
    case 'none':
    case 'limit': {
      const perSecond = limit.kind === 'limit' ? limit.perSecond : undefined;
      const statements = statementsForLimit(state, step, attempt, perSecond);
      if (statements === undefined) return;
      const observation = { perSecond, sentAtMs, receivedAtMs: step.nowMs };
      return mergeLimit(step, { statements, observation, source });
    }
  }
}

/** Most answers name no limit, of servers that never did: nothing is kept for them. */
function statementsForLimit(
  state: GatewayState,
  step: Step,
  attempt: Attempt,
  perSecond: number | undefined,
): IncarnationStatements | undefined {
  if (perSecond === undefined && !state.statements.has(attempt.serverId)) return undefined;
  return statementsFor(state, step, attempt);
}
