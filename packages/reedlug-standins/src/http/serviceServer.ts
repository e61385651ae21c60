/** A stand-in for a service, which stores records and counts the runs of each change. */
import {
  startJsonServer,
  type JsonAnswer,
  type JsonRequest,
  type RunningServer,
} from './jsonServer.js';

/** A running stand-in service. */
export interface ServiceServer {
  server: RunningServer;
  /**
   * Number of runs of each non-repeatable request (POST, PUT, PATCH or DELETE), by the `ref` field
   * of its body, or by its URL if it has none.
   */
  runs: Map<string, number>;
  stall: (forMs: number) => void;
  drain: () => void;
}

interface RunningService {
  runs: Map<string, number>;
  records: Map<string, unknown>;
  stalledUntilMs: number;
  leaving: boolean;
  incarnation: number;
  answerMs: number;
}

/** Starts a stand-in service on a loopback port. */
export async function startServiceServer(params: {
  port: number;
  incarnation: number;
  answerMs: number;
}): Promise<ServiceServer> {
  const service: RunningService = {
    runs: new Map(),
    records: new Map(),
    stalledUntilMs: 0,
    leaving: false,
    incarnation: params.incarnation,
    answerMs: params.answerMs,
  };
  const methods = ['POST', 'PUT', 'PATCH', 'DELETE'] as const;
  const server = await startJsonServer(
    [
      { method: 'GET', path: '/healthz', handle: (request) => answerHealth(service, request) },
      { method: 'GET', path: '/*', handle: (request) => lookUp(service, request) },
      { method: 'HEAD', path: '/*', handle: (request) => lookUp(service, request) },
      ...methods.map((method) => ({
        method,
        path: '/*',
        handle: (request: JsonRequest) => applyChange(service, request),
      })),
    ],
    params.port,
  );
  return {
    server,
    runs: service.runs,
    stall: (forMs) => {
      service.stalledUntilMs = performance.now() + forMs;
    },
    drain: () => {
      service.leaving = true;
    },
  };
}

function answerHealth(service: RunningService, { response }: JsonRequest): JsonAnswer | undefined {
  if (performance.now() < service.stalledUntilMs) return undefined;
  response.setHeader('x-incarnation', String(service.incarnation));
  response.setHeader('x-leaving', service.leaving ? '1' : '0');
  return { status: 200, value: {} };
}

async function delayAnswer(service: RunningService): Promise<void> {
  const stallMs = Math.max(0, service.stalledUntilMs - performance.now());
  const waitMs = stallMs + service.answerMs;
  if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs));
}

async function lookUp(service: RunningService, { request }: JsonRequest): Promise<JsonAnswer> {
  await delayAnswer(service);
  const path = request.url ?? '/';
  const record = service.records.get(path) ?? { status: 'registered' };
  return { status: 200, value: { path, record } };
}

async function applyChange(
  service: RunningService,
  { request, body }: JsonRequest,
): Promise<JsonAnswer> {
  const ref = String((body as { ref?: unknown } | undefined)?.ref ?? request.url);
  const runs = (service.runs.get(ref) ?? 0) + 1;
  service.runs.set(ref, runs);
  service.records.set(request.url ?? '/', body);
  await delayAnswer(service);
  return { status: 201, value: { ref, runs } };
}
