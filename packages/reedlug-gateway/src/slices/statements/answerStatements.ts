/** Applies the server statements in the headers of answers. */
import { log, type GatewayState, type Step } from '../../state.js';
import type { Attempt, RequestRecord } from '../../types/request.js';
import type {
  AnswerStatements,
  IncarnationStatements,
  LimitStatement,
} from '../../types/serverStatement.js';
import { mergeBrittleService } from './brittleServices.js';
import { mergeDraining } from './draining.js';
import { statementsFor } from './incarnationStatements.js';
import { mergeLimit } from './limits.js';
import { mergeRefusal } from './refusals.js';
import { mergeOwnPause } from './pauses.js';

/** Maximum number of characters of a malformed limit that are logged. */
const MAX_LOGGED_CHARACTERS = 40;

/** Records the statements that an answer carries about its server. */
export function applyAnswerStatements(
  state: GatewayState,
  step: Step,
  params: { record: RequestRecord; attempt: Attempt; answerStatements: AnswerStatements },
): void {
  const { record, attempt, answerStatements } = params;
  const source = record.facts.requestId;
  applyLimit(state, step, { attempt, limit: answerStatements.limit, source });
  const { sentAtMs } = attempt;
  const perSecond = answerStatements.rejectionsPerSecond;
  const stated = { perSecond, sentAtMs, receivedAtMs: step.nowMs };
  mergeBrittleService(state, step, { service: record.service, stated, source });
  if (answerStatements.pauseMs !== undefined) {
    const statements = statementsFor(state, step, attempt);
    if (statements !== undefined)
      mergeOwnPause(step, { statements, pauseMs: answerStatements.pauseMs, source });
  }
  if (answerStatements.isDraining)
    mergeDraining(state, step, { life: attempt, source, isAnnounced: false });
}

/**
 * Records that a server refused a request, unless it asked this box for a pause, which already keeps it
 * from being chosen. Without the record it would be chosen again, since a server that refuses has few
 * open requests and looks cheapest.
 */
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

/**
 * Returns the statements to merge a limit into; undefined if the answer names no limit and its server has
 * no statements, so that most answers create no record.
 */
function statementsForLimit(
  state: GatewayState,
  step: Step,
  attempt: Attempt,
  perSecond: number | undefined,
): IncarnationStatements | undefined {
  if (perSecond === undefined && !state.statements.has(attempt.serverId)) return undefined;
  return statementsFor(state, step, attempt);
}
