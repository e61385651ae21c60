/**
 * One attempt to get a state from another box. Bytes received before a failure are kept for the
 * next.
 */
import type { Dispatcher } from 'undici';
import { parseHostPort } from '../../settings/gatewaySettingsValidation.js';
import type { HostPort } from '../../types/server.js';
import { startTimeLimit } from '../timeLimit.js';
import { AFTER_HEADER, HOLDER_HEADER, MAX_STATE_BYTES } from './transferWire.js';

/** Bytes of a body that broke off. */
export interface PartialBody {
  tag: string;
  contentEncoding: string;
  chunks: Buffer[];
  size: number;
}

/** Result of an attempt. */
export type GetOutcome =
  | {
      kind: 'complete';
      bytes: Buffer;
      /** Empty if the answering box sent none. */
      tag: string;
      contentEncoding: string;
      resumedFrom: number;
    }
  /**
   * The answering box is at its limit of transfers; `holder` is another box with the configuration.
   */
  | { kind: 'busy'; holder: HostPort | undefined }
  /** The answering box has nothing newer. */
  | { kind: 'notNewer' }
  /**
   * The connection broke off (broken), or no bytes arrived for the idle time or no connection was
   * made (stalled); `partial` holds what has arrived.
   */
  | { kind: 'broken' | 'stalled'; reason: string; partial: PartialBody | undefined }
  | { kind: 'malformed'; reason: string };

/** A request for a state. */
export interface StateRequest {
  client: Dispatcher;
  path: string;
  /** Version of the configuration that this box has; 0 for none. */
  afterVersion: number;
  /** Time without bytes after which the attempt is abandoned, in ms. */
  idleTimeoutMs: number;
  partial?: PartialBody | undefined;
}

/** Sends the request and reads the response. Never rejects. */
export async function getState(request: StateRequest): Promise<GetOutcome> {
  const { client, path, afterVersion, idleTimeoutMs, partial } = request;
  const abort = new AbortController();
  const limit = startTimeLimit(idleTimeoutMs, () => abort.abort());
  let received: PartialBody | undefined = partial;
  try {
    const { statusCode, headers, body } = await client.request({
      method: 'GET',
      path,
      signal: abort.signal,
      headers: {
        [AFTER_HEADER]: String(afterVersion),
        'accept-encoding': 'gzip',
        ...(partial === undefined
          ? {}
          : { range: `bytes=${partial.size}-`, 'if-range': partial.tag }),
      },
    });
    limit.restart();
    // A body that is not read to its end reports its abortion here as well.
    body.on('error', () => undefined);
    if (statusCode === 503 || statusCode === 304) {
      await body.dump();
      if (statusCode === 304) return { kind: 'notNewer' };
      return { kind: 'busy', holder: holderOf(textOf(headers[HOLDER_HEADER])) };
    }
    const start = beginBody(statusCode, headers, partial);
    if (typeof start === 'string') {
      abort.abort();
      return { kind: 'malformed', reason: start };
    }
    received = start;
    const resumedFrom = start.size;
    for await (const chunk of body as AsyncIterable<Buffer>) {
      limit.restart();
      start.chunks.push(chunk);
      start.size += chunk.length;
      if (start.size <= MAX_STATE_BYTES) continue;
      abort.abort();
      return { kind: 'malformed', reason: 'larger than any state' };
    }
    const { chunks, tag, contentEncoding } = start;
    return { kind: 'complete', bytes: Buffer.concat(chunks), tag, contentEncoding, resumedFrom };
  } catch (error) {
    const hasBytes = received !== undefined && received.tag !== '' && received.size > 0;
    const kept = hasBytes ? received : undefined;
    if (abort.signal.aborted) {
      return { kind: 'stalled', reason: `no bytes for ${idleTimeoutMs} ms`, partial: kept };
    }
    const { message: reason, code } = error as NodeJS.ErrnoException;
    return { kind: code === 'ECONNREFUSED' ? 'stalled' : 'broken', reason, partial: kept };
  } finally {
    limit.cancel();
  }
}

/** Returns the body to which the response's bytes belong, or the reason why it is invalid. */
function beginBody(
  statusCode: number,
  headers: Record<string, string | string[] | undefined>,
  partial: PartialBody | undefined,
): PartialBody | string {
  // Older boxes send neither tag nor encoding.
  const tag = textOf(headers['etag']);
  const contentEncoding = textOf(headers['content-encoding']) || 'identity';
  if (statusCode === 200) return { tag, contentEncoding, chunks: [], size: 0 };
  if (statusCode !== 206 || partial === undefined) return `status ${statusCode}`;
  const range = textOf(headers['content-range']);
  const isContinued = range.startsWith(`bytes ${partial.size}-`) && tag === partial.tag;
  return isContinued ? partial : `another part: ${range}`;
}

function holderOf(text: string): HostPort | undefined {
  return text === '' ? undefined : parseHostPort(text);
}

function textOf(value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : '';
}
