/** Counters and latency histograms of a gateway box in the text format of Prometheus. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { LogField } from '../types/effect.js';
import { ConnectOutcome, type ConnectionTry } from '../types/serverLink.js';
import { createTransferMetrics, type TransferMetrics } from './transferMetrics.js';
import { createDecisionMetrics, type DecisionMetrics } from './decisionMetrics.js';

/** Upper bounds of the latency buckets, in ms: around the latency targets of the users' requests. */
const LATENCY_BUCKETS_MS = [10, 25, 50, 100, 200, 400, 800, 1200, 2000, 4000, 8000, 16_000];

/** Upper bounds of the times to connect, in ms: from a link within a zone to the timeout. */
const CONNECT_BUCKETS_MS = [1, 2, 5, 10, 25, 50, 100, 200, 400];

/** Metrics of a box. */
export interface GatewayMetrics {
  requests: Counter;
  latencyMs: Histogram;
  decisions: Counter;
  placements: Counter;
  continuations: Counter;
  takenUpStreams: Counter;
  connections: Counter;
  connectMs: Histogram;
  tunnelBytes: Counter;
  /** Connections of callers that were closed unread while the box was overloaded. */
  closedConnections: Counter;
  /** Requests that were not handed on since their callers had left before, and sends that were not begun for it. */
  droppedRequests: Counter;
  avoidedSends: Counter;
  linesLeftOut: Counter;
  versions: Gauge;
  /** Age of what this box knows of the store: its own feeds, and the registry from whichever source. */
  feedAgeMs: Gauge;
  feedFaults: Counter;
  platformCalls: Counter;
  figures: DecisionMetrics;
  transfers: TransferMetrics;
  text: () => Promise<string>;
}

/** Counts a decision, and counts the end of a request also by workspace, route and outcome. */
export function countEvent(
  metrics: GatewayMetrics,
  event: string,
  fields: Readonly<Record<string, LogField>>,
): void {
  metrics.decisions.inc({ event });
  const labels = { workspace: textOf(fields['workspace']), route: textOf(fields['route']) };
  switch (event) {
    case 'requestFinished':
      metrics.requests.inc({ ...labels, outcome: textOf(fields['outcome']) });
      metrics.latencyMs.observe(labels, Number(fields['heldMs'] ?? 0));
      countTakenUp(metrics, fields, textOf(fields['outcome']));
      return;
    case 'requestSent':
      countPlacement(metrics, fields);
      return;
    case 'streamContinued': {
      const isSame = fields['version'] === fields['earlierVersion'];
      metrics.continuations.inc({ version: isSame ? 'same' : 'other' });
      return;
    }
    case 'feedFault':
      metrics.feedFaults.inc({ feed: textOf(fields['feed']) });
      return;
    case 'tunnelClosed':
      metrics.tunnelBytes.inc(Number(fields['bytes'] ?? 0));
      return;
    case 'requestRefused':
    case 'streamCut':
      countTakenUp(metrics, fields, textOf(fields['reason']));
      metrics.requests.inc({ ...labels, outcome: textOf(fields['reason']) });
      return;
    case 'callerGone':
      metrics.requests.inc({ ...labels, outcome: textOf(fields['reason'] ?? event) });
      return;
    default:
      return;
  }
}

/** Counts the end of a request that took up a stream, so that the share of each reason can be seen. */
function countTakenUp(
  { takenUpStreams }: GatewayMetrics,
  fields: Readonly<Record<string, LogField>>,
  outcome: string,
): void {
  if (fields['resumes'] !== undefined) takenUpStreams.inc({ outcome });
}

/** Counts an attempt to open a connection to a server. */
export function countConnection(
  { connections, connectMs }: GatewayMetrics,
  { path, outcome, tookMs }: ConnectionTry,
): void {
  connections.inc({ path: path.kind, outcome });
  if (outcome === ConnectOutcome.opened) connectMs.observe({ path: path.kind }, tookMs);
}

/** Counts a send that was placed by the size of its request. */
function countPlacement(metrics: GatewayMetrics, fields: Readonly<Record<string, LogField>>): void {
  const { placement, neededSpeed, leavesRoom } = fields;
  if (placement === undefined) return;
  const usualRequest = leavesRoom === true ? 'leavesRoom' : 'other';
  const request = Number(neededSpeed) > 0 ? 'large' : usualRequest;
  metrics.placements.inc({ outcome: textOf(placement), request });
}

function textOf(value: LogField | undefined): string {
  return value === undefined ? '' : String(value);
}

/** Creates metrics with all counters at zero. */
export function createGatewayMetrics(): GatewayMetrics {
  const registers = [new Registry()];
  const [registry] = registers as [Registry];
  return {
    requests: new Counter({
      name: 'reedlug_requests_total',
      help: 'Final outcomes of requests',
      labelNames: ['workspace', 'route', 'outcome'],
      registers,
    }),
    latencyMs: new Histogram({
      name: 'reedlug_request_ms',
      help: 'Time from arrival to the end of the answer, in ms',
      labelNames: ['workspace', 'route'],
      buckets: LATENCY_BUCKETS_MS,
      registers,
    }),
    decisions: new Counter({
      name: 'reedlug_decisions_total',
      help: 'Decisions and changes of belief, by kind',
      labelNames: ['event'],
      registers,
    }),
    placements: new Counter({
      name: 'reedlug_placements_total',
      help: 'Sends placed by size, by outcome (inTime, searched, late) and request (large, leavesRoom, other)',
      labelNames: ['outcome', 'request'],
      registers,
    }),
    continuations: new Counter({
      name: 'reedlug_stream_continuations_total',
      help: 'Streams that went on at another server inside one answer, by its software version (same, other)',
      labelNames: ['version'],
      registers,
    }),
    takenUpStreams: new Counter({
      name: 'reedlug_taken_up_streams_total',
      help: 'Requests that took up a stream, by outcome: success, or the reason why it did not go on',
      labelNames: ['outcome'],
      registers,
    }),
    connections: new Counter({
      name: 'reedlug_connections_total',
      help: 'Connections to servers that were tried, by path (direct, peer) and outcome (opened, refused, silent, unavailable)',
      labelNames: ['path', 'outcome'],
      registers,
    }),
    connectMs: new Histogram({
      name: 'reedlug_connect_ms',
      help: 'Time in which connections to servers came up, in ms',
      labelNames: ['path'],
      buckets: CONNECT_BUCKETS_MS,
      registers,
    }),
    tunnelBytes: new Counter({
      name: 'reedlug_tunnel_bytes_total',
      help: 'Bytes forwarded in both directions between other boxes and servers, of closed tunnels',
      registers,
    }),
    closedConnections: new Counter({
      name: 'reedlug_closed_connections_total',
      help: 'Connections of callers that were closed unread while the box was overloaded',
      registers,
    }),
    droppedRequests: new Counter({
      name: 'reedlug_dropped_requests_total',
      help: 'Requests whose callers had left before the box, which was behind, took them up',
      registers,
    }),
    avoidedSends: new Counter({
      name: 'reedlug_avoided_sends_total',
      help: 'Sends that did not begin, since the caller had left or the answer had arrived while the box was behind',
      registers,
    }),
    linesLeftOut: new Counter({
      name: 'reedlug_log_lines_left_out_total',
      help: 'Log lines that were not written because there were too many or the pipe was full',
      registers,
    }),
    versions: new Gauge({
      name: 'reedlug_version',
      help: 'Versions at this box: configuration in force, registry of servers, era of the store',
      labelNames: ['of'],
      registers,
    }),
    feedAgeMs: new Gauge({
      name: 'reedlug_feed_age_ms',
      help: 'Time since the store last answered a feed of this box (operators, servers, boxes), and age of the registry by any source (registry), in ms; -1 before',
      labelNames: ['of'],
      registers,
    }),
    feedFaults: new Counter({
      name: 'reedlug_feed_faults_total',
      help: 'Calls of a feed that brought no answer, or one that does not count, by feed',
      labelNames: ['feed'],
      registers,
    }),
    platformCalls: new Counter({
      name: 'reedlug_platform_calls_total',
      help: 'Calls to the store and the cloud, by purpose, kind (poll, read, write) and outcome (done, empty, conflict, refused, failed, unanswered)',
      labelNames: ['purpose', 'kind', 'outcome'],
      registers,
    }),
    figures: createDecisionMetrics(registry),
    transfers: createTransferMetrics(registry),
    text: () => registry.metrics(),
  };
}
