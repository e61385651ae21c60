/** Routes for operators: status, histograms, plans. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { OperatorAnswer, Plan } from 'reedlug-decisions';
import { parseIntent } from '../plans/intentValidation.js';
import { isPlan } from '../plans/planShape.js';
import { readBody } from './body.js';
import { sendJson } from './exchanges.js';
import { boxStatus } from './boxStatus.js';
import { refuseRequest } from './refuseRequest.js';
import type { RouteContext, Router } from './routeContext.js';

/** A request of an authenticated operator with its parsed JSON body. */
interface AuthenticatedRequest {
  operatorId: string;
  body: unknown;
}

type OperatorHandler = (
  request: AuthenticatedRequest,
  params: { id: string },
) => Promise<HttpAnswer>;

interface HttpAnswer {
  status: number;
  value: unknown;
}

/** Adds the routes of the admin API. */
export function addAdminRoutes(router: Router, context: RouteContext): void {
  const { daemon } = context;
  const route = (method: 'GET' | 'POST', path: string, handler: OperatorHandler): void =>
    router.on(
      method,
      path,
      (request, response, params) =>
        void handleOperatorRequest(context, request, response, { id: params['id'] ?? '' }, handler),
    );
  route('GET', '/admin/status', async () => ({ status: 200, value: boxStatus(daemon) }));
  route('GET', '/admin/histograms', async () => ({ status: 200, value: daemon.histograms.rows() }));
  route('GET', '/admin/plans', async () => toHttpAnswer(await daemon.ask({ kind: 'listPlans' })));
  route('POST', '/admin/plans', async ({ operatorId, body }) => {
    const parsed = parseIntent(body);
    if (parsed.kind === 'invalid') return toHttpAnswer({ kind: 'invalid', faults: parsed.faults });
    const planId = randomUUID();
    return toHttpAnswer(
      await daemon.ask({ kind: 'plan', operatorId, intent: parsed.intent, planId }),
    );
  });
  route('POST', '/admin/plans/confirm', async ({ body }) => {
    if (!isPlan(body)) return toHttpAnswer({ kind: 'invalid', faults: ['the body is not a plan'] });
    return toHttpAnswer(await daemon.ask({ kind: 'confirm', plan: body as Plan }));
  });
  route('POST', '/admin/plans/:id/undo', async ({ operatorId }, { id }) => {
    const newPlanId = randomUUID();
    return toHttpAnswer(await daemon.ask({ kind: 'undo', operatorId, planId: id, newPlanId }));
  });
}

async function handleOperatorRequest(
  context: RouteContext,
  request: IncomingMessage,
  response: ServerResponse,
  params: { id: string },
  handler: OperatorHandler,
): Promise<void> {
  const operatorId = context.operatorKeys.ownerOf(request.headers.authorization);
  if (operatorId === undefined) {
    const message = 'send "Authorization: Bearer KEY" with a key of an operator';
    refuseRequest(request, response, 'unauthorized', message);
    return;
  }
  const read = await readBody(request, context.settings.callers.maxBodyBytes);
  if (read.kind !== 'body') {
    refuseRequest(request, response, 'bodyTooLarge', 'the body is too large');
    return;
  }
  const body = parseBody(read.body);
  if (body === undefined) {
    refuseRequest(request, response, 'badRequest', 'the body is not JSON');
    return;
  }
  const { status, value } = await handler({ operatorId, body }, params);
  sendJson(response, status, value);
}

function parseBody(body: Buffer): unknown {
  if (body.length === 0) return null;
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}

const STATUS_BY_ANSWER_KIND: { [K in OperatorAnswer['kind']]: number } = {
  planned: 200,
  invalid: 400,
  confirmed: 200,
  conflict: 409,
  unavailable: 503,
  unknown: 502,
  plans: 200,
};

function toHttpAnswer(answer: OperatorAnswer): HttpAnswer {
  return { status: STATUS_BY_ANSWER_KIND[answer.kind], value: answer };
}
