/** A stand-in for a plain service, which stores records and counts the runs of each request. */
import {
  startJsonServer,
  type JsonAnswer,
  type JsonRequest,
  type RunningServer,
} from './jsonServer.js';

/** A running stand-in service. */
export interface ServiceServer {
  server: RunningServer;
  /** Number of runs of each non-repeatable request, by its `ref` field. */
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

/** Starts a service on a loopback port. */
export async function startServiceServer(params: {
  port: number;
  incarnation: number;
  answerMs: number;
}): Promise<ServiceServer> {
  const running: RunningService = {
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
      { method: 'GET', path: '/healthz', handle: (request) => health(running, request) },
      { method: 'GET', path: '/*', handle: (request) => lookUp(running, request) },
      { method: 'HEAD', path: '/*', handle: (request) => lookUp(running, request) },
      ...methods.map((method) => ({
        method,
        path: '/*',
        handle: (request: JsonRequest) => change(running, request),
      })),
    ],
    params.port,
  );
  return {
    server,
    runs: running.runs,
    stall: (forMs) => {
      running.stalledUntilMs = performance.now() + forMs;
    },
    drain: () => {
      running.leaving = true;
    },
  };
}

function health(running: RunningService, { response }: JsonRequest): JsonAnswer | undefined {
  if (performance.now() < running.stalledUntilMs) return undefined;
  response.setHeader('x-incarnation', String(running.incarnation));
  response.setHeader('x-leaving', running.leaving ? '1' : '0');
  return { status: 200, value: {} };
}

async function delayAnswer(running: RunningService): Promise<void> {
  const stallMs = Math.max(0, running.stalledUntilMs - performance.now());
  const waitMs = stallMs + running.answerMs;
  if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs));
}

async function lookUp(running: RunningService, { request }: JsonRequest): Promise<JsonAnswer> {
  await delayAnswer(running);
  const path = request.url ?? '/';
  const record = running.records.get(path) ?? { status: 'registered' };
  return { status: 200, value: { path, record } };
}

async function change(
  running: RunningService,
  { request, body }: JsonRequest,
): Promise<JsonAnswer> {
  const ref = String((body as { ref?: unknown } | undefined)?.ref ?? request.url);
  const runs = (running.runs.get(ref) ?? 0) + 1;
  running.runs.set(ref, runs);
  running.records.set(request.url ?? '/', body);
  await delayAnswer(running);
  return { status: 201, value: { ref, runs } };
}
