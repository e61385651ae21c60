/** Hands callers' requests to the reducer: at once, or, while this box is behind, through the queue of held requests. */
import type { CallerExchange } from './callerServer.js';
import type { HeadFacts } from '../types/request.js';
import { createHeldRequests, type HeldRequests } from './heldRequests.js';
import { digestOf } from './requestDigest.js';
import type { Runtime } from './runtime.js';

/** Creates the queue of callers' requests; `onBacklog` is told whether connections are to be closed unread. */
export function createCallerRequests(
  runtime: Runtime,
  onBacklog: (closes: boolean) => void,
): HeldRequests {
  const { faults, metrics, logger, reads } = runtime;
  return createHeldRequests(reads, {
    deadlineMsOf({ head }) {
      const decoded = runtime.adapter.headers.decodeRequest(head);
      return decoded.kind === 'malformed' ? undefined : decoded.facts.deadlineMs;
    },
    onServable: (exchange, times) =>
      faults.runFor(exchange, () => acceptRequest(runtime, exchange, times)),
    onRefused: (exchange) => faults.runFor(exchange, () => refuseHeld(runtime, exchange)),
    onDropped: () => metrics.droppedRequests.inc(),
    onBacklog(closes) {
      logger(closes ? 'connectionsClosedUnread' : 'connectionsAccepted', {});
      onBacklog(closes);
    },
  });
}

function acceptRequest(
  runtime: Runtime,
  exchange: CallerExchange,
  { heldMs, readLateMs }: { heldMs: number; readLateMs: number },
): void {
  const decoded = decode(runtime, exchange);
  if (decoded === undefined) return;
  exchange.lastEventId = decoded.lastEventId;
  const facts = { ...decoded, digest: digestOf(exchange, decoded.host) };
  const times = { lateMs: readLateMs, heldMs };
  runtime.emit({ type: 'requestArrived', exchangeId: exchange.id, facts, ...times });
}

function refuseHeld(runtime: Runtime, exchange: CallerExchange): void {
  const facts = decode(runtime, exchange);
  if (facts === undefined) return;
  runtime.emit({ type: 'requestHeldTooLong', exchangeId: exchange.id, facts });
}

/** Adds the exchange of a request that can be read; answers one that can't be. */
function decode(runtime: Runtime, exchange: CallerExchange): HeadFacts | undefined {
  const decoded = runtime.adapter.headers.decodeRequest(exchange.head);
  if (decoded.kind === 'malformed') {
    runtime.logger('requestRejected', { status: 400, reason: decoded.message });
    exchange.response.writeHead(400, { 'content-length': 0 });
    exchange.response.end();
    return undefined;
  }
  runtime.exchanges.set(exchange.id, exchange);
  return decoded.facts;
}
