/** Routes to plain services. Method, query, body and status are forwarded unchanged. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { hashString } from 'reedlug-coordination';
import { RequestClass, ServerKind, type RequestSpec } from 'reedlug-decisions';
import { endToEndHeaders } from '../backends/serviceClient.js';
import type { RouteSettings } from '../settings/settingsTypes.js';
import { readCallerRequest } from './callerRequest.js';
import { createServiceExchange } from './exchanges.js';
import { hashKey } from './keys.js';
import type { RequestHeaders } from './requestHeaders.js';
import { refuseRequest } from './refuseRequest.js';
import type { RouteContext, Router } from './routeContext.js';

/** Methods that are safe to repeat unless a route in the settings says otherwise. */
const REPEATABLE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);
const SERVICES_PREFIX = '/v1/services/';

/** Adds the routes to plain services. */
export function addServiceRoutes(router: Router, context: RouteContext): void {
  const handler = (request: IncomingMessage, response: ServerResponse): void =>
    void serveServiceRequest(context, request, response);
  const methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;
  router.on([...methods], '/v1/services/:service', handler);
  router.on([...methods], '/v1/services/:service/*', handler);
}

async function serveServiceRequest(
  context: RouteContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const caller = await readCallerRequest(context, request, response);
  if (caller === undefined) return;
  const { workspaceId, body, headers } = caller;
  if (headers.kind === 'invalid') {
    refuseRequest(request, response, 'badRequest', headers.faults.join('; '));
    return;
  }
  const { service, path } = splitTarget(request.url ?? '');
  if (!knownServices(context).has(service)) {
    const known = [...knownServices(context)].join(', ');
    refuseRequest(
      request,
      response,
      'notFound',
      `service ${service} is not known; known: ${known}`,
    );
    return;
  }
  const method = request.method ?? 'GET';
  const call = { service, method, path, body };
  const spec = createRequestSpec(context, workspaceId, call, headers.headers);
  response.on('close', () => {
    if (!response.writableEnded) context.daemon.callerGone(spec.requestId);
  });
  context.daemon.submitRequest(
    spec,
    {
      kind: 'call',
      method,
      path,
      headers: endToEndHeaders(request.headers),
      body: body.length === 0 ? undefined : body,
    },
    createServiceExchange(response, spec.requestId),
  );
}

interface ServiceRequest {
  service: string;
  method: string;
  path: string;
  body: Buffer;
}

/** Splits a request target into the service's name and the path and query for the service. */
function splitTarget(url: string): { service: string; path: string } {
  const target = url.slice(SERVICES_PREFIX.length);
  const end = target.search(/[/?]/);
  if (end < 0) return { service: target, path: '/' };
  const pathAndQuery = target.slice(end);
  return {
    service: target.slice(0, end),
    path: pathAndQuery.startsWith('/') ? pathAndQuery : `/${pathAndQuery}`,
  };
}

function knownServices(context: RouteContext): Set<string> {
  const services = new Set(context.settings.services.map(({ service }) => service));
  for (const { spec } of context.daemon.state.servers.values()) {
    if (spec.kind === ServerKind.service) services.add(spec.pool);
  }
  return services;
}

function createRequestSpec(
  context: RouteContext,
  workspaceId: string,
  call: ServiceRequest,
  headers: RequestHeaders,
): RequestSpec {
  const { settings } = context;
  const route = routeOf(settings.routes, call);
  const workspace = settings.workspaces.find(({ id }) => id === workspaceId);
  const requestClass =
    headers.requestClass ?? route?.requestClass ?? workspace?.requestClass ?? RequestClass.urgent;
  const deadlineMs =
    headers.deadlineMs ?? route?.deadlineMs ?? settings.callers.urgentDeadlineDefaultMs;
  const hasKey = headers.idempotencyKey !== undefined;
  const text = `${call.method} ${call.service} ${call.path} ${call.body.toString('latin1')}`;
  return {
    requestId: context.newId(),
    workspaceId,
    requestClass,
    kind: ServerKind.service,
    pool: call.service,
    version: '',
    repeatable: isRepeatable(call, route, headers),
    idempotencyKey: headers.idempotencyKey,
    digest: hasKey ? hashKey(text) : '',
    deadlineAtMs: performance.now() + deadlineMs,
    affinityHash: hashString(workspaceId),
    promptTokens: 0,
    maxTokens: 0,
  };
}

/**
 * Returns true if the request may be sent more than once. A header can declare a request to a
 * repeatable route not repeatable. Only the settings can declare a route repeatable, so that a
 * wrong header cannot cause a notice to be sent twice.
 */
function isRepeatable(
  call: ServiceRequest,
  route: RouteSettings | undefined,
  headers: RequestHeaders,
): boolean {
  const isRouteRepeatable = route?.repeatable ?? REPEATABLE_METHODS.has(call.method);
  return isRouteRepeatable && headers.repeatable !== false;
}

function routeOf(
  routes: readonly RouteSettings[],
  call: ServiceRequest,
): RouteSettings | undefined {
  return routes.find((route) => route.service === call.service && route.method === call.method);
}
