/** Routes for models: chat completions, text completions and the list of models. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { hashString } from 'reedlug-coordination';
import { RequestClass, ServerKind, type RequestSpec } from 'reedlug-decisions';
import { hashKey } from './keys.js';
import { readCallerRequest, authenticateWorkspace } from './callerRequest.js';
import { createJsonExchange, createStreamExchange, sendJson } from './exchanges.js';
import { ModelForm, parseModelRequest, type ModelRequest } from './modelRequest.js';
import type { RequestHeaders } from './requestHeaders.js';
import { refuseRequest } from './refuseRequest.js';
import type { RouteContext, Router } from './routeContext.js';

/** Average number of characters in a token, to estimate the length of a prompt. */
const CHARACTERS_PER_TOKEN = 4;

/** Adds the routes for models. */
export function addModelRoutes(router: Router, context: RouteContext): void {
  const handle = (form: ModelForm) => (request: IncomingMessage, response: ServerResponse) =>
    void serveModelRequest(context, form, request, response);
  router.on('POST', '/v1/chat/completions', handle(ModelForm.chat));
  router.on('POST', '/v1/completions', handle(ModelForm.completion));
  router.on('GET', '/v1/models', (request, response) => listModels(context, request, response));
}

function listModels(
  context: RouteContext,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  if (authenticateWorkspace(context, request, response) === undefined) return;
  const data = servedModels(context).map((id) => ({ id, object: 'model', owned_by: 'reedlug' }));
  sendJson(response, 200, { object: 'list', data });
}

function servedModels(context: RouteContext): string[] {
  const models = new Set<string>();
  for (const { spec } of context.daemon.state.servers.values()) {
    if (spec.kind === ServerKind.engine) models.add(spec.pool);
  }
  return [...models].sort();
}

async function serveModelRequest(
  context: RouteContext,
  form: ModelForm,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const caller = await readCallerRequest(context, request, response);
  if (caller === undefined) return;
  const { workspaceId, body, headers } = caller;
  const parsed = parseModelRequest(form, body);
  const faults = [
    ...(headers.kind === 'invalid' ? headers.faults : []),
    ...(parsed.kind === 'invalid' ? parsed.faults : []),
  ];
  if (headers.kind === 'invalid' || parsed.kind === 'invalid') {
    refuseRequest(request, response, 'badRequest', faults.join('; '));
    return;
  }
  const fault = findRequestFault(context, parsed.request);
  if (fault !== undefined) {
    refuseRequest(request, response, fault.type, fault.message);
    return;
  }
  const spec = createRequestSpec(context, workspaceId, parsed.request, headers.headers, body);
  submitModelRequest(context, spec, parsed.request, response);
}

function findRequestFault(
  context: RouteContext,
  request: ModelRequest,
): { type: 'notFound' | 'badRequest'; message: string } | undefined {
  const models = servedModels(context);
  if (!models.includes(request.model)) {
    const message = `model ${request.model} is not served; served: ${models.join(', ')}`;
    return { type: 'notFound', message };
  }
  const { maxTokensLimit } = context.settings.callers;
  if ((request.maxTokens ?? 0) <= maxTokensLimit) return undefined;
  return { type: 'badRequest', message: `max_tokens must not exceed ${maxTokensLimit}` };
}

function createRequestSpec(
  context: RouteContext,
  workspaceId: string,
  request: ModelRequest,
  headers: RequestHeaders,
  body: Buffer,
): RequestSpec {
  const { callers, workspaces } = context.settings;
  const workspaceClass = workspaces.find(({ id }) => id === workspaceId)?.requestClass;
  const requestClass = headers.requestClass ?? workspaceClass ?? RequestClass.patient;
  const defaultDeadlineMs =
    requestClass === RequestClass.urgent
      ? callers.urgentDeadlineDefaultMs
      : callers.deadlineDefaultMs;
  const conversation = headers.conversationId ?? request.opening;
  const hasKey = headers.idempotencyKey !== undefined;
  return {
    requestId: context.newId(),
    workspaceId,
    requestClass,
    kind: ServerKind.engine,
    pool: request.model,
    version: headers.modelVersion ?? '',
    repeatable: headers.repeatable ?? true,
    idempotencyKey: headers.idempotencyKey,
    digest: hasKey ? hashKey(`${request.form} ${body.toString('latin1')}`) : '',
    deadlineAtMs: performance.now() + (headers.deadlineMs ?? defaultDeadlineMs),
    affinityHash: hashString(`${workspaceId}|${request.model}|${conversation}`),
    promptTokens: Math.ceil(request.prompt.length / CHARACTERS_PER_TOKEN),
    maxTokens: request.maxTokens ?? callers.maxTokensDefault,
  };
}

function submitModelRequest(
  context: RouteContext,
  spec: RequestSpec,
  request: ModelRequest,
  response: ServerResponse,
): void {
  const { requestId } = spec;
  const params = {
    response,
    requestId,
    model: request.model,
    form: request.form,
    createdAtSeconds: Math.floor(Date.now() / 1000),
  };
  const exchange = request.stream ? createStreamExchange(params) : createJsonExchange(params);
  response.on('close', () => {
    if (!response.writableEnded) context.daemon.callerGone(requestId);
  });
  context.daemon.submitRequest(spec, { kind: 'prompt', prompt: request.prompt }, exchange);
}
