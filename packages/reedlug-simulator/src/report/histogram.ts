/** Histograms of times, in ms. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Maximum time in a histogram, in ms; longer times count as this one. */
export const MAX_HISTOGRAM_MS = 60_000;

/** Returns an empty histogram. */
export function createHistogram(): Histogram {
  return build({ highestTrackableValue: MAX_HISTOGRAM_MS, numberOfSignificantValueDigits: 2 });
}
