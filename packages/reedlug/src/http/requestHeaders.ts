/** The documented headers of requests: deadline, class, repeatability, key, conversation. */
import type { IncomingHttpHeaders } from 'node:http';
import { RequestClass } from 'reedlug-decisions';

/** Values of the request headers; undefined for an absent header. */
export interface RequestHeaders {
  deadlineMs: number | undefined;
  requestClass: RequestClass | undefined;
  repeatable: boolean | undefined;
  idempotencyKey: string | undefined;
  conversationId: string | undefined;
  modelVersion: string | undefined;
}

/** Validated headers, or all faults. */
export type RequestHeadersResult =
  { kind: 'valid'; headers: RequestHeaders } | { kind: 'invalid'; faults: string[] };

/** Names of request and response headers. */
export const HeaderName = {
  deadline: 'x-deadline-ms',
  requestClass: 'x-request-class',
  repeatable: 'x-repeatable',
  idempotencyKey: 'idempotency-key',
  conversation: 'x-conversation-id',
  modelVersion: 'x-model-version',
  requestId: 'x-request-id',
  outcome: 'x-outcome',
  lastEventId: 'last-event-id',
} as const;

const MAX_KEY_LENGTH = 255;

/** Validates the headers of a request. */
export function parseRequestHeaders(
  headers: IncomingHttpHeaders,
  deadlineLimitMs: number,
): RequestHeadersResult {
  const faults: string[] = [];
  const deadlineMs = parseDeadline(
    headerValue(headers, HeaderName.deadline),
    deadlineLimitMs,
    faults,
  );
  const requestClass = parseClass(headerValue(headers, HeaderName.requestClass), faults);
  const repeatable = parseBoolean(headerValue(headers, HeaderName.repeatable), faults);
  const idempotencyKey = parseKey(headerValue(headers, HeaderName.idempotencyKey), faults);
  if (faults.length > 0) return { kind: 'invalid', faults };
  const conversationId = headerValue(headers, HeaderName.conversation);
  const modelVersion = headerValue(headers, HeaderName.modelVersion);
  return {
    kind: 'valid',
    headers: { deadlineMs, requestClass, repeatable, idempotencyKey, conversationId, modelVersion },
  };
}

function headerValue(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function parseDeadline(
  value: string | undefined,
  limitMs: number,
  faults: string[],
): number | undefined {
  if (value === undefined) return undefined;
  const deadlineMs = /^\d{1,9}$/.test(value) ? Number(value) : Number.NaN;
  if (deadlineMs >= 1 && deadlineMs <= limitMs) return deadlineMs;
  faults.push(`${HeaderName.deadline} must be a whole number of ms from 1 to ${limitMs}`);
  return undefined;
}

function parseClass(value: string | undefined, faults: string[]): RequestClass | undefined {
  if (value === undefined) return undefined;
  if (value === RequestClass.urgent || value === RequestClass.patient) return value;
  faults.push(`${HeaderName.requestClass} must be urgent or patient`);
  return undefined;
}

function parseBoolean(value: string | undefined, faults: string[]): boolean | undefined {
  if (value === undefined) return undefined;
  if (value === 'true') return true;
  if (value === 'false') return false;
  faults.push(`${HeaderName.repeatable} must be true or false`);
  return undefined;
}

function parseKey(value: string | undefined, faults: string[]): string | undefined {
  if (value === undefined) return undefined;
  if (value.length >= 1 && value.length <= MAX_KEY_LENGTH) return value;
  faults.push(`${HeaderName.idempotencyKey} must have 1 to ${MAX_KEY_LENGTH} characters`);
  return undefined;
}
