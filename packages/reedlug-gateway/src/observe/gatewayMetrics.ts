/** Counters and latency histograms of a gateway box in the text format of Prometheus. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { LogField } from '../types/effect.js';
import { createTransferMetrics, type TransferMetrics } from './transferMetrics.js';
import { createDecisionMetrics, type DecisionMetrics } from './decisionMetrics.js';

/** Upper bounds of the latency buckets, in ms: around the latency targets of the users' requests. */
const LATENCY_BUCKETS_MS = [10, 25, 50, 100, 200, 400, 800, 1200, 2000, 4000, 8000, 16_000];

/** Metrics of a box. */
export interface GatewayMetrics {
  requests: Counter;
  latencyMs: Histogram;
  decisions: Counter;
  placements: Counter;
  linesLeftOut: Counter;
  versions: Gauge;
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
      return;
    case 'requestSent':
      countPlacement(metrics, fields);
      return;
    case 'requestRefused':
    case 'streamCut':
    case 'callerGone':
      metrics.requests.inc({ ...labels, outcome: textOf(fields['reason'] ?? event) });
      return;
    default:
      return;
  }
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
    figures: createDecisionMetrics(registry),
    transfers: createTransferMetrics(registry),
    text: () => registry.metrics(),
  };
}
