/** A stand-in engine, which serves the engine model over its HTTP protocol in real time. */
import type { ServerResponse } from 'node:http';
import { hashString } from 'reedlug-coordination';
import {
  advanceEngine,
  createEngineModel,
  putCached,
  reportOf,
  stopRun,
  submitRun,
  takeCacheEvent,
  type EngineModel,
  type EngineModelOptions,
  type EngineOutput,
} from '../models/engineModel.js';
import {
  startJsonServer,
  type JsonAnswer,
  type JsonRequest,
  type RunningServer,
} from './jsonServer.js';

/** A running stand-in engine with its fault switches. */
export interface EngineServer {
  server: RunningServer;
  model: EngineModel;
  checksFence: boolean;
  /** Stops answering for a while. Requests stay open. */
  stall: (forMs: number) => void;
  /** Refuses new requests from now on. */
  drain: () => void;
  /** Closes every connection, as a crash does. */
  kill: () => Promise<void>;
  /** Attempt ids of the runs accepted since the start. */
  taken: string[];
}

interface CompletionBody {
  request_id: string;
  model: string;
  version: string;
  prompt: string;
  max_tokens: number;
  priority: number;
  resume_tokens: string[];
  cache_key: number;
  prompt_tokens: number;
  kv_ticket?: { ticket_id: string; source: string };
}

interface Ticket {
  cacheKey: number;
  contextTokens: number;
  offset: number;
}

interface RunningEngine {
  model: EngineModel;
  streams: Map<string, ServerResponse>;
  cacheKeys: Map<string, number>;
  tickets: Map<string, Ticket>;
  timer: NodeJS.Timeout | undefined;
  stalledUntilMs: number;
  taken: string[];
  checksFence: boolean;
  ordersSeen: Set<string>;
}

/** Starts an engine on a loopback port. */
export async function startEngineServer(params: {
  options: EngineModelOptions;
  port: number;
  checksFence: boolean;
  incarnation: number;
}): Promise<EngineServer> {
  const model = createEngineModel(params.options, params.incarnation);
  const running: RunningEngine = {
    model,
    streams: new Map(),
    cacheKeys: new Map(),
    tickets: new Map(),
    timer: undefined,
    stalledUntilMs: 0,
    taken: [],
    checksFence: params.checksFence,
    ordersSeen: new Set(),
  };
  const server = await startJsonServer(
    [
      { method: 'POST', path: '/v1/completions', handle: (request) => complete(running, request) },
      { method: 'GET', path: '/v1/load', handle: () => reportLoad(running) },
      { method: 'POST', path: '/v1/kv/export', handle: ({ body }) => exportKv(running, body) },
      {
        method: 'GET',
        path: '/v1/kv/:ticket',
        handle: ({ params: { ticket } }) => readTicket(running, ticket ?? ''),
      },
      { method: 'POST', path: '/v1/kv/move', handle: ({ body }) => moveKv(running, body) },
      {
        method: 'PUT',
        path: '/v1/kv/:key',
        handle: ({ params: { key }, body }) => putKv(running, key ?? '', body),
      },
      { method: 'POST', path: '/v1/orders', handle: ({ body }) => handleOrder(running, body) },
    ],
    params.port,
  );
  return {
    server,
    model,
    checksFence: params.checksFence,
    taken: running.taken,
    stall: (forMs) => {
      running.stalledUntilMs = performance.now() + forMs;
    },
    drain: () => {
      model.leaving = true;
    },
    kill: async () => {
      clearTimeout(running.timer);
      await server.kill();
    },
  };
}

async function complete(
  running: RunningEngine,
  { body, response }: JsonRequest,
): Promise<JsonAnswer | undefined> {
  const completion = body as CompletionBody;
  const { model } = running;
  const wrongModel =
    completion.model !== model.model ||
    (completion.version !== '' && completion.version !== model.version);
  if (wrongModel) return { status: 409, value: { refused: 'wrongModel' } };
  const importedTokens = await importTicket(completion);
  const attemptId = completion.request_id;
  const admission = submitRun(
    model,
    {
      attemptId,
      answerKey: String(hashString(completion.prompt)),
      affinityHash: completion.cache_key,
      promptTokens: completion.prompt_tokens,
      resumeOffset: completion.resume_tokens.length,
      totalTokens: completion.max_tokens,
      urgent: completion.priority === 0,
      importedTokens,
    },
    performance.now(),
  );
  if (admission !== 'taken') return { status: 409, value: { refused: admission } };
  running.taken.push(attemptId);
  running.streams.set(attemptId, response);
  running.cacheKeys.set(attemptId, completion.cache_key);
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  response.flushHeaders();
  response.on('close', () => {
    if (!running.streams.delete(attemptId)) return;
    stopRun(model, attemptId);
  });
  scheduleIteration(running);
  return undefined;
}

async function importTicket(completion: CompletionBody): Promise<number> {
  if (completion.kv_ticket === undefined) return 0;
  try {
    const { source, ticket_id } = completion.kv_ticket;
    const response = await fetch(`${source}/v1/kv/${ticket_id}`);
    return ((await response.json()) as { tokens?: number }).tokens ?? 0;
  } catch {
    return 0;
  }
}

function scheduleIteration(running: RunningEngine): void {
  clearTimeout(running.timer);
  const { nextAtMs } = running.model;
  if (nextAtMs === Number.POSITIVE_INFINITY) return;
  const nowMs = performance.now();
  const dueMs = Math.max(nextAtMs, running.stalledUntilMs);
  running.timer = setTimeout(() => runIterations(running), Math.max(0, dueMs - nowMs));
}

function runIterations(running: RunningEngine): void {
  if (performance.now() >= running.stalledUntilMs) {
    for (const output of advanceEngine(running.model, performance.now()))
      writeOutput(running, output);
  }
  scheduleIteration(running);
}

function writeOutput(running: RunningEngine, output: EngineOutput): void {
  const response = running.streams.get(output.attemptId);
  if (response === undefined) return;
  if (output.kind === 'tokens') {
    const { attemptId, offset, tokens } = output;
    const choices = [{ index: 0, text: tokens.join('') }];
    response.write(`data: ${JSON.stringify({ id: attemptId, choices, offset, tokens })}\n\n`);
    return;
  }
  const { totalTokens, cachedTokens } = output;
  const report = reportOf(running.model);
  const end = { end: true, total_tokens: totalTokens, cached_tokens: cachedTokens, report };
  running.streams.delete(output.attemptId);
  response.end(`data: ${JSON.stringify(end)}\n\ndata: [DONE]\n\n`);
}

function reportLoad(running: RunningEngine): JsonAnswer | undefined {
  if (performance.now() < running.stalledUntilMs) return undefined;
  const event = takeCacheEvent(running.model);
  const value = {
    ...reportOf(running.model),
    cache_sequence: event?.sequence ?? running.model.cacheSequence,
    cache_evicted: event?.evicted ?? [],
  };
  return { status: 200, value };
}

function exportKv(running: RunningEngine, body: unknown): JsonAnswer {
  const { request_id: attemptId } = body as { request_id: string };
  const stopped = stopRun(running.model, attemptId);
  if (stopped === undefined) return { status: 404, value: { error: 'no such run' } };
  const response = running.streams.get(attemptId);
  running.streams.delete(attemptId);
  response?.destroy();
  const cacheKey = running.cacheKeys.get(attemptId) ?? 0;
  const { offset, contextTokens } = stopped;
  running.tickets.set(attemptId, { cacheKey, contextTokens, offset });
  return { status: 200, value: { ticket_id: attemptId, offset } };
}

function readTicket(running: RunningEngine, ticketId: string): JsonAnswer {
  const ticket = running.tickets.get(ticketId);
  if (ticket === undefined) return { status: 404, value: {} };
  return { status: 200, value: { tokens: ticket.contextTokens } };
}

async function moveKv(running: RunningEngine, body: unknown): Promise<JsonAnswer> {
  const { cache_key: cacheKey, target } = body as { cache_key: number; target: string };
  const tokens = running.model.cache.get(cacheKey);
  if (tokens === undefined) return { status: 404, value: { error: 'not cached' } };
  const response = await fetch(`${target}/v1/kv/${cacheKey}`, {
    method: 'PUT',
    body: JSON.stringify({ tokens }),
  });
  return { status: response.status, value: {} };
}

function putKv(running: RunningEngine, key: string, body: unknown): JsonAnswer {
  const { tokens } = body as { tokens: number };
  putCached(running.model, Number(key), tokens);
  return { status: 200, value: {} };
}

interface OrderBody {
  order_id: string;
  fence: number;
  model: string;
  version: string;
  role: 'serve' | 'drain';
}

function handleOrder(running: RunningEngine, body: unknown): JsonAnswer {
  const order = body as OrderBody;
  const { model } = running;
  if (running.checksFence && order.fence < model.highestFence) {
    return { status: 409, value: { error: `fence ${order.fence} is below ${model.highestFence}` } };
  }
  model.highestFence = Math.max(model.highestFence, order.fence);
  model.model = order.model;
  model.version = order.version;
  model.role = order.role;
  return { status: 200, value: {} };
}
