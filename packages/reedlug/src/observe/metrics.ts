/** Metrics sent over StatsD with hot-shots. Nothing is sent if the settings name no host. */
import { StatsD } from 'hot-shots';

/** Records counters and times with tags. */
export interface Metrics {
  count: (name: string, tags: Readonly<Record<string, string>>) => void;
  time: (name: string, valueMs: number, tags: Readonly<Record<string, string>>) => void;
  close: () => void;
}

/** Returns the metrics of a box. */
export function createMetrics(
  settings: { host: string; port: number; prefix: string } | undefined,
  onError: (message: string) => void,
): Metrics {
  if (settings === undefined) {
    return { count: () => undefined, time: () => undefined, close: () => undefined };
  }
  const client = new StatsD({
    host: settings.host,
    port: settings.port,
    prefix: settings.prefix,
    maxBufferSize: 1400,
    errorHandler: (error) => onError(error.message),
  });
  return {
    count: (name, tags) => client.increment(name, 1, { ...tags }),
    time: (name, valueMs, tags) => client.timing(name, valueMs, { ...tags }),
    close: () => client.close(() => undefined),
  };
}
