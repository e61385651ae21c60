/** Latency histograms by workspace and request class. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { RequestClass } from 'reedlug-decisions';

/** Measured times of a request. */
export const Measure = {
  waiting: 'waiting',
  firstToken: 'firstToken',
  betweenTokens: 'betweenTokens',
  whole: 'whole',
} as const;
export type Measure = (typeof Measure)[keyof typeof Measure];

/** Summary of one histogram, as reported to operators. */
export interface HistogramRow {
  workspaceId: string;
  requestClass: RequestClass;
  measure: Measure;
  count: number;
  p50Ms: number;
  p95Ms: number;
  p99Ms: number;
}

/** Histograms of a box. */
export interface Histograms {
  record: (
    key: { workspaceId: string; requestClass: RequestClass; measure: Measure },
    valueMs: number,
  ) => void;
  rows: () => HistogramRow[];
}

/** Values are stored in hundredths of a ms, so that short times keep their precision. */
const UNITS_PER_MS = 100;
const MAX_VALUE_MS = 3_600_000;

interface Entry {
  workspaceId: string;
  requestClass: RequestClass;
  measure: Measure;
  histogram: Histogram;
}

/** Returns an empty set of histograms. */
export function createHistograms(): Histograms {
  const entries = new Map<string, Entry>();
  return {
    record(key, valueMs) {
      const name = `${key.workspaceId} ${key.requestClass} ${key.measure}`;
      let entry = entries.get(name);
      if (entry === undefined) {
        entry = { ...key, histogram: createHistogram() };
        entries.set(name, entry);
      }
      const value = Math.min(MAX_VALUE_MS, Math.max(0, valueMs)) * UNITS_PER_MS;
      entry.histogram.recordValue(Math.round(value));
    },
    rows: () => [...entries.values()].map(toRow),
  };
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: 2,
  });
}

function toRow({ histogram, ...key }: Entry): HistogramRow {
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  return {
    ...key,
    count: histogram.totalCount,
    p50Ms: at(50),
    p95Ms: at(95),
    p99Ms: at(99),
  };
}
