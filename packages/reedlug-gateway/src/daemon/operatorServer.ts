/**
 * HTTP interface for operators on a box's metrics port: `GET /verdicts` lists the verdicts, and
 * `DELETE /verdicts/KEY` lifts one (KEY as in the list, percent-encoded). A verdict blocks a request
 * that crashes its servers. Any other path returns the metrics.
 */
import { createServer, type Server, type ServerResponse } from 'node:http';
import { versionOf } from 'reedlug-coordination';
import { setDecisionMetrics } from '../observe/decisionMetrics.js';
import type { GatewayMetrics } from '../observe/gatewayMetrics.js';
import type { Logger } from '../observe/logger.js';
import { blockedSuspects } from '../slices/crashes/crashSuspects.js';
import { feedAgeMs, registryAgeMs } from '../slices/store/feedAges.js';
import { StoreFeed } from '../types/storeFeed.js';
import type { GatewayState } from '../state.js';
import type { EventBody } from '../types/event.js';
import type { Clock } from './clock.js';

const VERDICTS_PATH = '/verdicts';

/** Parts of the box that the operator server reads and acts on. */
export interface OperatorServerContext {
  state: GatewayState;
  clock: Clock;
  metrics: GatewayMetrics;
  logger: Logger;
  emit: (body: EventBody) => void;
}

/** Creates the server without listening. */
export function createOperatorServer(box: OperatorServerContext): Server {
  return createServer((request, response) => {
    const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
    if (request.method === 'GET' && path === VERDICTS_PATH) return showVerdicts(box, response);
    if (path.startsWith(`${VERDICTS_PATH}/`)) {
      return liftVerdict(box, { method: request.method, key: keyOf(path) }, response);
    }
    showMetrics(box, response);
  });
}

function showVerdicts({ state, clock }: OperatorServerContext, response: ServerResponse): void {
  response.setHeader('Content-Type', 'application/json');
  response.end(JSON.stringify(blockedSuspects(state, clock.nowMs())));
}

function liftVerdict(
  box: OperatorServerContext,
  { method, key }: { method: string | undefined; key: string | undefined },
  response: ServerResponse,
): void {
  if (method !== 'DELETE') return respond(response, 405, 'DELETE lifts a verdict');
  const isKnown = blockedSuspects(box.state, box.clock.nowMs()).some(
    (verdict) => verdict.key === key,
  );
  if (key === undefined || !isKnown) {
    return respond(response, 404, 'no such verdict: GET /verdicts names those that stand');
  }
  box.emit({ type: 'verdictLifted', key });
  respond(response, 204, '');
}

function keyOf(path: string): string | undefined {
  try {
    return decodeURIComponent(path.slice(VERDICTS_PATH.length + 1));
  } catch {
    // A key with invalid percent-encoding matches no verdict.
    return undefined;
  }
}

function respond(response: ServerResponse, status: number, text: string): void {
  response.writeHead(status);
  response.end(text);
}

function showMetrics(box: OperatorServerContext, response: ServerResponse): void {
  const { state, clock, metrics, logger } = box;
  metrics.versions.set({ of: 'configuration' }, state.active?.configuration.version ?? 0);
  metrics.versions.set({ of: 'servers' }, versionOf(state.serversRevision));
  metrics.versions.set({ of: 'storeEra' }, state.storeEra ?? 0);
  const nowMs = clock.nowMs();
  for (const feed of Object.values(StoreFeed)) {
    metrics.feedAgeMs.set({ of: feed }, feedAgeMs(state, feed, nowMs));
  }
  metrics.feedAgeMs.set({ of: 'registry' }, registryAgeMs(state, nowMs));
  setDecisionMetrics(metrics.figures, state, nowMs);
  metrics.text().then(
    (text) => response.end(text),
    (error: unknown) => {
      logger('metricsFault', { reason: (error as Error).message });
      response.writeHead(500);
      response.end();
    },
  );
}
