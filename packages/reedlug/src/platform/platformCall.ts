/**
 * Calls to the platform: each with a time-out, a rate limit and a breaker, and
 * a three-way answer. An answer that does not come is `unknown`, never a failure.
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

/** The three-way answer. `refused` means that the platform did not carry it out. */
export type PlatformAnswer<T> =
  | { kind: 'done'; body: T }
  | { kind: 'refused'; status: number; body: T | undefined }
  | { kind: 'unknown' };

/** Options of one platform client. */
export interface PlatformCallerOptions {
  url: string;
  timeoutMs: number;
  requestsPerSecond: number;
  /** For tests of cuts: true while nothing reaches the platform. */
  isCut: () => boolean;
}

/** One call. */
export interface PlatformRequest {
  method: 'GET' | 'POST' | 'PUT';
  path: string;
  body?: unknown;
}

/** A client of one platform service. */
export interface PlatformCaller {
  call: <T>(request: PlatformRequest) => Promise<PlatformAnswer<T>>;
  close: () => Promise<void>;
}

const FAILURES_TO_OPEN = 5;
const OPEN_FOR_MS = 1000;
const STATUS_REFUSED_FROM = 400;
const STATUS_FAILED_FROM = 500;
/** Status told when the rate limit or the breaker kept the call back: nothing was sent. */
const STATUS_KEPT_BACK = 429;
const JSON_HEADERS = { 'content-type': 'application/json' };

/** Returns a client. */
export function createPlatformCaller(options: PlatformCallerOptions): PlatformCaller {
  const { timeoutMs, requestsPerSecond } = options;
  const pool = new Pool(options.url, { connections: 8, connect: { timeout: timeoutMs } });
  const breaker = createBreaker(FAILURES_TO_OPEN, OPEN_FOR_MS);
  const bucket = createTokenBucket(requestsPerSecond, requestsPerSecond, performance.now());
  const keptBack = { kind: 'refused', status: STATUS_KEPT_BACK, body: undefined } as const;
  return {
    async call<T>(request: PlatformRequest): Promise<PlatformAnswer<T>> {
      if (takeTokens(bucket, 1, performance.now()) > 0) return keptBack;
      if (!breakerAllows(breaker, performance.now())) return keptBack;
      const answer = options.isCut()
        ? await afterTimeout(timeoutMs)
        : await send<T>(pool, request, timeoutMs);
      recordBreakerResult(breaker, answer.kind !== 'unknown', performance.now());
      return answer;
    },
    close: () => pool.destroy(),
  };
}

async function afterTimeout(timeoutMs: number): Promise<{ kind: 'unknown' }> {
  await new Promise((resolve) => {
    setTimeout(resolve, timeoutMs).unref();
  });
  return { kind: 'unknown' };
}

async function send<T>(
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
    if (statusCode >= STATUS_FAILED_FROM) {
      await response.body.dump();
      return { kind: 'unknown' };
    }
    const body = (await response.body.json()) as T;
    if (statusCode >= STATUS_REFUSED_FROM) return { kind: 'refused', status: statusCode, body };
    return { kind: 'done', body };
  } catch (error) {
    if (failedToConnect(error)) return { kind: 'refused', status: 0, body: undefined };
    return { kind: 'unknown' };
  }
}
