/** Writes answers to callers: plain answers, events of streams, and this box's own refusals. */
import type { ServerResponse } from 'node:http';
import type { HeaderCodec } from '../adapter.js';
import type { BackendAnswer } from './backendAttempt.js';
import type { CallerExchange } from './callerServer.js';
import type { StreamEvent } from './eventSplitter.js';

/**
 * Header fields that state the length of a body. They are dropped because a stream may combine
 * several answers; a plain answer with a body gets the length of that body instead.
 */
const LENGTH_FIELDS = new Set(['content-length']);

/**
 * Writes a complete plain answer: the server's status and body, and its headers as the codec
 * returns them.
 */
export function writePlainAnswer(
  exchange: CallerExchange,
  codec: HeaderCodec,
  answer: BackendAnswer,
): void {
  const { response } = exchange;
  const headers = withoutFields(codec.answerHeaders(answer.rawHeaders), LENGTH_FIELDS);
  const hasBody = answer.status !== 204 && answer.status !== 304 && exchange.head.method !== 'HEAD';
  if (hasBody) headers.push('Content-Length', String(answer.body.length));
  response.writeHead(answer.status, answer.statusText, headers);
  response.end(hasBody ? answer.body : undefined);
}

/** Starts a stream with the status and headers of an answer, unless an earlier answer has started it. */
export function writeStreamHead(
  exchange: CallerExchange,
  codec: HeaderCodec,
  answer: BackendAnswer,
): void {
  if (exchange.response.headersSent) return;
  const headers = withoutFields(codec.answerHeaders(answer.rawHeaders), LENGTH_FIELDS);
  exchange.response.writeHead(answer.status, answer.statusText, headers);
}

/** Result of writing a batch of events to the caller; `expected` is the id of the missing event. */
export type EventsWritten =
  { kind: 'written'; lastEventId: number | undefined } | { kind: 'gap'; expected: number };

/** Writes events in order. Skips events that the caller already has, and stops at a missing one. */
export function writeEvents(
  exchange: CallerExchange,
  events: readonly StreamEvent[],
): EventsWritten {
  const written: Buffer[] = [];
  let result: EventsWritten | undefined;
  for (const { bytes, id } of events) {
    const last = exchange.lastEventId;
    if (id !== undefined && last !== undefined) {
      if (id <= last) continue;
      if (id > last + 1) {
        result = { kind: 'gap', expected: last + 1 };
        break;
      }
    }
    if (id !== undefined) exchange.lastEventId = id;
    written.push(bytes);
  }
  // One write for all: each has a cost beside its bytes.
  const [first] = written;
  if (first !== undefined) {
    exchange.response.write(written.length === 1 ? first : Buffer.concat(written));
  }
  return result ?? { kind: 'written', lastEventId: exchange.lastEventId };
}

/** Writes this box's own refusal of a request. */
export function writeRefusal(
  exchange: CallerExchange,
  codec: HeaderCodec,
  params: {
    status: number;
    reason: string;
    requestId: string | undefined;
    retryAfterMs: number | undefined;
  },
): void {
  const { status, reason, requestId, retryAfterMs } = params;
  const body = Buffer.from(JSON.stringify({ error: reason }));
  const headers = codec.refusalHeaders({ requestId, retryAfterMs });
  headers.push('Content-Type', 'application/json', 'Content-Length', String(body.length));
  exchange.response.writeHead(status, headers);
  exchange.response.end(body);
}

/** Ends an answer before it is complete: what was written leaves, and its missing end tells the caller that it was cut. */
export function cutAnswer(response: ServerResponse): void {
  const { socket } = response;
  if (socket === null) response.destroy();
  else socket.destroySoon();
}

/** Returns the headers, a flat list of names and values, without the fields named in lower case. */
function withoutFields(headers: readonly string[], names: ReadonlySet<string>): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] as string;
    if (!names.has(name.toLowerCase())) kept.push(name, headers[index + 1] as string);
  }
  return kept;
}
