/** Records the latencies of a load in an HDR histogram. */
import { build } from 'hdr-histogram-js';

const UNITS_PER_MS = 1000;

/** Returns an empty recorder. The summary is rounded to hundredths of a ms. */
export function createLatencyRecorder(): {
  record: (valueMs: number) => void;
  count: () => number;
  summary: () => { p50Ms: number; p99Ms: number };
} {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const at = (percentile: number): number =>
    Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100;
  return {
    record: (valueMs) => histogram.recordValue(Math.round(valueMs * UNITS_PER_MS)),
    count: () => histogram.totalCount,
    summary: () => ({ p50Ms: at(50), p99Ms: at(99) }),
  };
}
