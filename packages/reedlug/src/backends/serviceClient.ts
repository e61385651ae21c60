/** Calls to plain services. Method, query, body and status are forwarded unchanged. */
import { RefusalReason, type EventBody, type ServerSpec } from 'reedlug-decisions';
import type { Emit } from './engineClient.js';
import { failedToConnect } from './httpErrors.js';
import type { ServerPools } from './serverPools.js';

/** A caller's request to a service, without its hop-by-hop headers. */
export interface ServiceCall {
  method: string;
  /** Path and query for the service. */
  path: string;
  headers: Record<string, string>;
  body: Buffer | undefined;
}

/** The answer of a service. */
export interface ServiceAnswer {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
}

/** Headers that apply to a single connection or to this box and are not forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
  'authorization',
]);

/** Returns a copy of the headers without those that are not forwarded. */
export function endToEndHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const [key, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(key)) continue;
    forwarded[key] = Array.isArray(value) ? value.join(', ') : value;
  }
  return forwarded;
}

/** Calls a service. Passes the answer to `onAnswer` and the resulting event to `emit`. */
export function callService(params: {
  pools: ServerPools;
  spec: ServerSpec;
  attemptId: string;
  call: ServiceCall;
  timeoutMs: number;
  signal: AbortSignal;
  onAnswer: (answer: ServiceAnswer) => void;
  emit: Emit;
}): void {
  void requestService(params).then(params.emit);
}

async function requestService(params: Parameters<typeof callService>[0]): Promise<EventBody> {
  const { pools, spec, attemptId, call, timeoutMs, signal, onAnswer } = params;
  try {
    const response = await pools.poolOf(spec).request({
      method: call.method as 'GET',
      path: call.path,
      headers: call.headers,
      body: call.body ?? null,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      signal,
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    const headers = endToEndHeaders(response.headers);
    onAnswer({ status: response.statusCode, headers, body });
    return { type: 'serviceAnswered', attemptId, status: response.statusCode };
  } catch (error) {
    if (failedToConnect(error)) {
      return { type: 'attemptRefused', attemptId, reason: RefusalReason.notConnected };
    }
    return { type: 'attemptLost', attemptId, reached: true };
  }
}

/** Probes a plain service. Any answer, whatever its status, means that the service is up. */
export async function probeService(
  pools: ServerPools,
  spec: ServerSpec,
  emit: Emit,
): Promise<void> {
  const PROBE_TIMEOUT_MS = 1000;
  const serverId = spec.id;
  try {
    const response = await pools.poolOf(spec).request({
      method: 'GET',
      path: '/healthz',
      headersTimeout: PROBE_TIMEOUT_MS,
      bodyTimeout: PROBE_TIMEOUT_MS,
    });
    await response.body.dump();
    emit({ type: 'serverReported', serverId, report: reportFromHeaders(response.headers) });
  } catch {
    emit({ type: 'serverReported', serverId, report: undefined });
  }
}

/** Returns the report of a plain service. Two headers state its incarnation and if it is leaving. */
function reportFromHeaders(headers: Record<string, string | string[] | undefined>) {
  const incarnation = Number(headers['x-incarnation'] ?? 0);
  return {
    incarnation: Number.isFinite(incarnation) ? incarnation : 0,
    running: 0,
    waiting: 0,
    model: '',
    version: '',
    role: 'serve' as const,
    leaving: headers['x-leaving'] === '1',
    kvUsedShare: 0,
    kvHitShare: 1,
  };
}
