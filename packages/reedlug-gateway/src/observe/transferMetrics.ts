/** Metrics of the states that boxes transfer to each other. */
import { Counter, Histogram, type Registry } from 'prom-client';

/** Upper bounds of the duration buckets, in ms; the users' bounds are 2,000 and 3,000 ms. */
const DURATION_BUCKETS_MS = [50, 100, 250, 500, 1000, 2000, 3000, 5000];

/** How a request for a state ended at the answering box. */
export type AnswerOutcome = 'sent' | 'broken' | 'busy' | 'notNewer' | 'olderBox' | 'failed';

/** How an attempt ended at the requesting box. */
export type AttemptOutcome =
  'received' | 'busy' | 'notNewer' | 'broken' | 'stalled' | 'malformed' | 'failed';

/** Counters and durations of transfers. */
export interface TransferMetrics {
  answers: Counter;
  attempts: Counter;
  bytes: Counter;
  durationMs: Histogram;
}

/** Creates metrics with all counters at zero. */
export function createTransferMetrics(registry: Registry): TransferMetrics {
  const registers = [registry];
  return {
    answers: new Counter({
      name: 'reedlug_state_answers_total',
      help: 'Requests of other boxes for the configuration or registry, by outcome',
      labelNames: ['state', 'outcome'],
      registers,
    }),
    attempts: new Counter({
      name: 'reedlug_state_attempts_total',
      help: 'Attempts to get the configuration or registry from another box, by outcome',
      labelNames: ['state', 'outcome'],
      registers,
    }),
    bytes: new Counter({
      name: 'reedlug_state_bytes_total',
      help: 'Bytes of configuration and registry on the link, by direction and form (whole, delta, registry, olderBox)',
      labelNames: ['direction', 'form'],
      registers,
    }),
    durationMs: new Histogram({
      name: 'reedlug_configuration_transfer_ms',
      help: 'Time from the first attempt until a newer configuration was received, in ms',
      buckets: DURATION_BUCKETS_MS,
      registers,
    }),
  };
}
