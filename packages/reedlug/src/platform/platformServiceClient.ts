/**
 * Calls to the platform, with a time-out, a rate limit and a circuit breaker. A call without an
 * answer gives `unknown`, not a failure, because the platform may have carried it out.
 */
import { Pool } from 'undici';
import {
  breakerAllows,
  recordBreakerResult,
  createBreaker,
  createTokenBucket,
  takeTokens,
} from 'reedlug-coordination';
import { failedToConnect } from '../backends/httpErrors.js';

/** Result of a call. `refused` means that the platform did not carry the call out. */
export type PlatformAnswer<T> =
  | { kind: 'done'; body: T }
  | { kind: 'refused'; status: number; body: T | undefined }
  | { kind: 'unknown' };

/** Options of one platform client. */
export interface PlatformServiceClientOptions {
  url: string;
  timeoutMs: number;
  requestsPerSecond: number;
  /** Simulates a network partition: returns true while no call reaches the platform. */
  isPartitioned: () => boolean;
}

/** A request to the platform. */
export interface PlatformRequest {
  method: 'GET' | 'POST' | 'PUT';
  path: string;
  body?: unknown;
}

/** A client of one platform service. */
export interface PlatformServiceClient {
  call: <T>(request: PlatformRequest) => Promise<PlatformAnswer<T>>;
  close: () => Promise<void>;
}

const FAILURES_TO_OPEN_BREAKER = 5;
const BREAKER_OPEN_MS = 1000;
const MIN_REFUSED_STATUS = 400;
const MIN_FAILED_STATUS = 500;
/** Status of a call that the rate limit or the circuit breaker rejected before it was sent. */
const STATUS_NOT_SENT = 429;
const JSON_HEADERS = { 'content-type': 'application/json' };

/** Returns a client of one platform service. */
export function createPlatformServiceClient(
  options: PlatformServiceClientOptions,
): PlatformServiceClient {
  const { timeoutMs, requestsPerSecond } = options;
  const pool = new Pool(options.url, { connections: 8, connect: { timeout: timeoutMs } });
  const breaker = createBreaker(FAILURES_TO_OPEN_BREAKER, BREAKER_OPEN_MS);
  const bucket = createTokenBucket(requestsPerSecond, requestsPerSecond, performance.now());
  const notSent = { kind: 'refused', status: STATUS_NOT_SENT, body: undefined } as const;
  return {
    async call<T>(request: PlatformRequest): Promise<PlatformAnswer<T>> {
      if (takeTokens(bucket, 1, performance.now()) > 0) return notSent;
      if (!breakerAllows(breaker, performance.now())) return notSent;
      const answer = options.isPartitioned()
        ? await unknownAfterTimeout(timeoutMs)
        : await sendRequest<T>(pool, request, timeoutMs);
      recordBreakerResult(breaker, answer.kind !== 'unknown', performance.now());
      return answer;
    },
    close: () => pool.destroy(),
  };
}

async function unknownAfterTimeout(timeoutMs: number): Promise<{ kind: 'unknown' }> {
  await new Promise((resolve) => {
    setTimeout(resolve, timeoutMs).unref();
  });
  return { kind: 'unknown' };
}

async function sendRequest<T>(
  pool: Pool,
  request: PlatformRequest,
  timeoutMs: number,
): Promise<PlatformAnswer<T>> {
  try {
    const response = await pool.request({
      method: request.method,
      path: request.path,
      headers: JSON_HEADERS,
      body: request.body === undefined ? null : JSON.stringify(request.body),
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    const { statusCode } = response;
    if (statusCode >= MIN_FAILED_STATUS) {
      await response.body.dump();
      return { kind: 'unknown' };
    }
    const body = (await response.body.json()) as T;
    if (statusCode >= MIN_REFUSED_STATUS) return { kind: 'refused', status: statusCode, body };
    return { kind: 'done', body };
  } catch (error) {
    if (failedToConnect(error)) return { kind: 'refused', status: 0, body: undefined };
    return { kind: 'unknown' };
  }
}
