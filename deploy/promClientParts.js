// The parts of prom-client that a box uses. The package's own index also loads clusters, push
// gateways and default metrics, and with them Node's zlib, child processes and heap figures.
import counter from 'prom-client/lib/counter.js';
import gauge from 'prom-client/lib/gauge.js';
import histogram from 'prom-client/lib/histogram.js';
import registry from 'prom-client/lib/registry.js';

export const Counter = counter;
export const Gauge = gauge;
export const Histogram = histogram;
export const Registry = registry;
