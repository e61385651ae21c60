/**
 * Answers other boxes that request the configuration or the registry.
 *
 * A request with the version that the requesting box has comes from a box that accepts compressed
 * bodies, deltas and parts, and that retries after 503. A request without one comes from an older
 * box and is answered as by a box of its age: whole, uncompressed, immediately.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { promisify } from 'node:util';
import { constants, gzip } from 'node:zlib';
import type { Logger } from '../../observe/logger.js';
import type { SharedState } from '../../slices/peers/sharedState.js';
import type { HostPort } from '../../types/server.js';
import { encoder } from '../peerWire.js';
import type { EncodedBody, EncodedConfigurations } from './encodedConfigurations.js';
import type { TransferMetrics } from '../../observe/transferMetrics.js';
import { createTransferPacer, type TransferPacer } from './transferPacer.js';
import { AFTER_HEADER, CONFIGURATION_PATH, digestOf, HOLDER_HEADER } from './transferWire.js';

/**
 * Number of concurrent transfers. With few of them, the first boxes finish early and can serve
 * others. A single one would leave the link idle while the requesting box reads.
 */
const MAX_TRANSFERS = 4;
/**
 * Time without progress after which a transfer is ended, in ms, so that a box that has left does
 * not keep a place.
 */
const STALL_TIMEOUT_MS = 2000;

/** What the handler answers with. */
export interface StateServerParams {
  configurations: EncodedConfigurations;
  sharedState: (withServers: boolean) => SharedState;
  /** Returns other boxes that have the configuration in force at this one. */
  holders: () => readonly HostPort[];
  logger: Logger;
  metrics: TransferMetrics;
  pacer?: TransferPacer;
}

/** A body that is sent to another box. */
type OutgoingBody = Omit<EncodedBody, 'form'> & { form: EncodedBody['form'] | 'registry' };

const gzipAsync = promisify(gzip);

/** Creates the request handler of the peer link. */
export function createStateHandler(params: StateServerParams): RequestListener {
  const { configurations, sharedState, holders, logger, metrics } = params;
  const pacer = params.pacer ?? createTransferPacer();
  let transfers = 0;

  const answerOlderBox = (request: IncomingMessage, response: ServerResponse): void => {
    const bytes = encoder.encode(sharedState(request.url !== CONFIGURATION_PATH));
    const state = request.url === CONFIGURATION_PATH ? 'configuration' : 'registry';
    metrics.answers.inc({ state, outcome: 'olderBox' });
    metrics.bytes.inc({ direction: 'sent', form: 'olderBox' }, bytes.length);
    response.end(bytes);
  };

  /** Encodes the registry; compressed at the fastest level, because it changes between requests. */
  const registryBody = async (acceptsGzip: boolean): Promise<OutgoingBody> => {
    const content = encoder.encode({ ...sharedState(true), configuration: undefined });
    const bytes = acceptsGzip
      ? await gzipAsync(content, { level: constants.Z_BEST_SPEED })
      : content;
    const contentEncoding = acceptsGzip ? 'gzip' : 'identity';
    return { bytes, tag: `"${digestOf(bytes)}"`, contentEncoding, form: 'registry' };
  };

  const transfer = async (
    request: IncomingMessage,
    response: ServerResponse,
    pendingBody: Promise<OutgoingBody>,
  ): Promise<void> => {
    const { bytes, tag, contentEncoding, form } = await pendingBody;
    const start = startOf(request, tag, bytes.length);
    const part = bytes.subarray(start);
    response.writeHead(start > 0 ? 206 : 200, {
      'content-type': 'application/cbor',
      'content-encoding': contentEncoding,
      'content-length': part.length,
      etag: tag,
      ...(start > 0
        ? { 'content-range': `bytes ${start}-${bytes.length - 1}/${bytes.length}` }
        : {}),
    });
    metrics.bytes.inc({ direction: 'sent', form }, part.length);
    await pacer.send(response, part);
  };

  /**
   * Refuses a request and names another box, so that members of a hub get a version from each
   * other.
   */
  const refuseBusy = (response: ServerResponse, isConfiguration: boolean): void => {
    const known = isConfiguration ? holders() : [];
    const holder = known[Math.floor(Math.random() * known.length)];
    if (holder !== undefined) response.setHeader(HOLDER_HEADER, `${holder.host}:${holder.port}`);
    refuse(response, 503);
  };

  return (request, response) => {
    const after = versionNamedBy(request);
    if (after === undefined) return answerOlderBox(request, response);
    const isConfiguration = pathOf(request) === CONFIGURATION_PATH;
    const state = isConfiguration ? 'configuration' : 'registry';
    const count = (outcome: string): void => metrics.answers.inc({ state, outcome });
    if (transfers >= MAX_TRANSFERS) {
      count('busy');
      return refuseBusy(response, isConfiguration);
    }
    const acceptsGzip = /\bgzip\b/.test(String(request.headers['accept-encoding'] ?? ''));
    const body = isConfiguration
      ? configurations.bodyFor({ afterVersion: after, acceptsGzip })
      : registryBody(acceptsGzip);
    if (body === undefined) {
      count('notNewer');
      return refuse(response, 304);
    }
    transfers += 1;
    let hasFailed = false;
    request.socket.setTimeout(STALL_TIMEOUT_MS, () => request.socket.destroy());
    response.once('close', () => {
      transfers -= 1;
      if (!hasFailed) count(response.writableFinished ? 'sent' : 'broken');
    });
    transfer(request, response, body).catch((error: unknown) => {
      hasFailed = true;
      count('failed');
      logger('stateAnswerFailed', { state, reason: (error as Error).message });
      response.destroy();
    });
  };
}

function refuse(response: ServerResponse, status: number): void {
  response.writeHead(status, { 'content-length': 0 });
  response.end();
}

function pathOf(request: IncomingMessage): string {
  return (request.url ?? '').split('?', 1)[0] ?? '';
}

/**
 * Returns the version that the requesting box has; undefined if it names none, as older boxes do.
 */
function versionNamedBy(request: IncomingMessage): number | undefined {
  const header = request.headers[AFTER_HEADER];
  const query = new URLSearchParams((request.url ?? '').split('?')[1] ?? '').get('after');
  const value = typeof header === 'string' ? header : query;
  if (value === null) return undefined;
  // A value that is not a version counts as none, so the whole configuration is sent.
  return /^\d{1,15}$/.test(value) ? Number(value) : 0;
}

/** Returns the position from which to send: that of the range if it refers to these bytes. */
function startOf(request: IncomingMessage, tag: string, length: number): number {
  if (request.headers['if-range'] !== tag) return 0;
  const start = Number(/^bytes=(\d{1,12})-$/.exec(request.headers.range ?? '')?.[1] ?? 0);
  return start < length ? start : 0;
}
