/** Calls to engines: streams, cancel, KV cache, load and orders. */
import type { Dispatcher } from 'undici';
import {
  RefusalReason,
  type CommandResult,
  type EventBody,
  type ServerSpec,
} from 'reedlug-decisions';
import type {
  EngineChunk,
  EngineCompletionRequest,
  EngineLoadAnswer,
  EngineOrderRequest,
  EngineRefusal,
  KvExportAnswer,
} from './engineProtocol.js';
import { failedToConnect } from './httpErrors.js';
import type { ServerPools } from './serverPools.js';
import { createSseParser } from './sseParser.js';

/** Time-out of calls to an engine other than streams, in ms. */
const CALL_TIMEOUT_MS = 2000;
const STATUS_OK = 200;
const STATUS_REFUSED = 409;

const JSON_HEADERS = { 'content-type': 'application/json' };

/** Passes an event to the reducer. */
export type Emit = (event: EventBody) => void;

/** An open stream that can be cancelled. */
export interface EngineStream {
  abort: () => void;
}

/** Opens a stream at an engine and emits an event for each chunk and for the end of the stream. */
export function openEngineStream(params: {
  pools: ServerPools;
  spec: ServerSpec;
  body: EngineCompletionRequest;
  emit: Emit;
  onClosed: () => void;
}): EngineStream {
  const { pools, spec, body, emit, onClosed } = params;
  const handler = createStreamHandler(body.request_id, emit, onClosed);
  pools.poolOf(spec).dispatch(
    {
      path: '/v1/completions',
      method: 'POST',
      headers: JSON_HEADERS,
      body: JSON.stringify(body),
    },
    handler,
  );
  return { abort: handler.abort };
}

interface StreamHandler extends Dispatcher.DispatchHandler {
  abort: () => void;
}

/** Turns one response into events. Emits exactly one closing event unless the stream is aborted. */
function createStreamHandler(attemptId: string, emit: Emit, onClosed: () => void): StreamHandler {
  const parser = createSseParser();
  const decoder = new TextDecoder();
  let controller: Dispatcher.DispatchController | undefined;
  let status = 0;
  let refusal = '';
  let closed = false;
  const closeOnce = (event: EventBody | undefined): void => {
    if (closed) return;
    closed = true;
    onClosed();
    if (event !== undefined) emit(event);
  };
  const onData = (data: string): void => {
    const event = eventFromChunk(attemptId, data);
    if (event === undefined || closed) return;
    if (event.type === 'attemptEnded') closeOnce(event);
    else emit(event);
  };
  return {
    onRequestStart(startedController) {
      controller = startedController;
      if (closed) startedController.abort(new Error('cancelled'));
    },
    onResponseStart(_controller, statusCode) {
      status = statusCode;
    },
    onResponseData(_controller, chunk) {
      if (status === STATUS_OK) parser.push(decoder.decode(chunk, { stream: true }), onData);
      else refusal += decoder.decode(chunk, { stream: true });
    },
    onResponseEnd() {
      closeOnce(responseEndEvent(attemptId, status, refusal));
    },
    onResponseError(_controller, error) {
      closeOnce(responseErrorEvent(attemptId, error));
    },
    abort() {
      closeOnce(undefined);
      controller?.abort(new Error('cancelled'));
    },
  };
}

function eventFromChunk(attemptId: string, data: string): EventBody | undefined {
  const chunk = parseChunk(data);
  if (chunk === undefined) return undefined;
  if (chunk.end === true) {
    return {
      type: 'attemptEnded',
      attemptId,
      totalTokens: chunk.total_tokens ?? 0,
      cachedTokens: chunk.cached_tokens ?? 0,
      report: chunk.report,
    };
  }
  if (chunk.offset === undefined || chunk.tokens === undefined) return undefined;
  return { type: 'attemptProgress', attemptId, offset: chunk.offset, tokens: chunk.tokens };
}

function parseChunk(data: string): EngineChunk | undefined {
  try {
    return JSON.parse(data) as EngineChunk;
  } catch {
    return undefined;
  }
}

/**
 * Returns the event for a response that ended without an end marker. Status 409 means that the
 * engine refused the request before running it; any other status counts as a lost attempt.
 */
function responseEndEvent(attemptId: string, status: number, refusal: string): EventBody {
  if (status !== STATUS_REFUSED) return { type: 'attemptLost', attemptId, reached: true };
  const reason = (parseChunk(refusal) as EngineRefusal | undefined)?.refused;
  return { type: 'attemptRefused', attemptId, reason: reason ?? RefusalReason.full };
}

function responseErrorEvent(attemptId: string, error: unknown): EventBody {
  if (failedToConnect(error)) {
    return { type: 'attemptRefused', attemptId, reason: RefusalReason.notConnected };
  }
  return { type: 'attemptLost', attemptId, reached: true };
}

async function callEngine<T>(
  pools: ServerPools,
  spec: ServerSpec,
  request: { method: 'GET' | 'POST'; path: string; body?: unknown },
): Promise<{ status: number; body: T }> {
  const response = await pools.poolOf(spec).request({
    method: request.method,
    path: request.path,
    headers: JSON_HEADERS,
    body: request.body === undefined ? null : JSON.stringify(request.body),
    headersTimeout: CALL_TIMEOUT_MS,
    bodyTimeout: CALL_TIMEOUT_MS,
  });
  return { status: response.statusCode, body: (await response.body.json()) as T };
}

/** Gets from an engine its load and the cache evictions since the previous answer. */
export async function probeEngine(pools: ServerPools, spec: ServerSpec, emit: Emit): Promise<void> {
  const serverId = spec.id;
  try {
    const { body } = await callEngine<EngineLoadAnswer>(pools, spec, {
      method: 'GET',
      path: '/v1/load',
    });
    const { cache_sequence: sequence, cache_evicted: evicted, ...report } = body;
    emit({ type: 'serverReported', serverId, report });
    if (sequence > 0) emit({ type: 'cacheChanged', serverId, sequence, evicted });
  } catch {
    emit({ type: 'serverReported', serverId, report: undefined });
  }
}

/** Tells an engine to stop a run and keep its KV cache for export under a ticket. */
export async function exportKv(
  pools: ServerPools,
  spec: ServerSpec,
  attemptId: string,
  emit: Emit,
): Promise<void> {
  try {
    const { status, body } = await callEngine<KvExportAnswer>(pools, spec, {
      method: 'POST',
      path: '/v1/kv/export',
      body: { request_id: attemptId },
    });
    if (status !== STATUS_OK) {
      emit({ type: 'kvExported', attemptId, answer: { kind: 'refused' } });
      return;
    }
    const ticket = { ticketId: body.ticket_id, sourceServerId: spec.id, offset: body.offset };
    emit({ type: 'kvExported', attemptId, answer: { kind: 'done', ticket } });
  } catch {
    emit({ type: 'kvExported', attemptId, answer: { kind: 'unknown' } });
  }
}

/** Tells an engine to send the KV cache of an idle prefix to another engine. */
export async function moveCache(
  pools: ServerPools,
  params: { source: ServerSpec; target: ServerSpec; affinityHash: number; tokens: number },
  emit: Emit,
): Promise<void> {
  const { source, target, affinityHash, tokens } = params;
  try {
    const { status } = await callEngine(pools, source, {
      method: 'POST',
      path: '/v1/kv/move',
      body: { cache_key: affinityHash, target: target.address },
    });
    if (status === STATUS_OK)
      emit({ type: 'cacheMoved', affinityHash, serverId: target.id, tokens });
  } catch {
    // The move is an optimisation: without it, the next request recomputes the prefix.
  }
}

/** Sends an order to an engine. */
export async function sendOrder(
  pools: ServerPools,
  spec: ServerSpec,
  order: EngineOrderRequest,
): Promise<CommandResult> {
  try {
    const { status, body } = await callEngine<{ error?: string }>(pools, spec, {
      method: 'POST',
      path: '/v1/orders',
      body: order,
    });
    if (status === STATUS_OK) return { kind: 'done' };
    return { kind: 'refused', reason: body.error ?? `status ${status}` };
  } catch {
    return { kind: 'unknown' };
  }
}
