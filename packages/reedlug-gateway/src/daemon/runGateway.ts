/** Runs a gateway box as a process: settings, signals, logs, exit codes. */
import { readFile } from 'node:fs/promises';
import { performance } from 'node:perf_hooks';
import type { PlatformAdapter } from '../adapter.js';
import { createBoundedLog, streamSink } from '../observe/boundedLog.js';
import { createGatewayMetrics } from '../observe/gatewayMetrics.js';
import { createLogger } from '../observe/logger.js';
import { validateGatewaySettings } from '../settings/gatewaySettingsValidation.js';
import type { GatewaySettings } from '../types/settings.js';
import { startGatewayDaemon } from './gatewayDaemon.js';
import { recheckSettings } from './recheckSettings.js';

/** Maximum size of the buffered log output, in bytes: about one second of lines. */
const MAX_BUFFERED_LOG_BYTES = 256 * 1024;
/** Exit code for invalid settings. */
const EXIT_INVALID_SETTINGS = 2;
/** Exit code after too many exceptions of the box's own code. */
const EXIT_BROKEN = 1;

/** Runs a box until its planned shutdown is complete. */
export async function runGateway(params: {
  adapter: PlatformAdapter;
  settingsPath: string;
}): Promise<void> {
  const { adapter, settingsPath } = params;
  const settings = await readSettings(settingsPath);
  if (settings === undefined) return;
  const metrics = createGatewayMetrics();
  const sink = streamSink(process.stdout, MAX_BUFFERED_LOG_BYTES);
  const logger = createBoundedLog({
    logger: createLogger({ box: settings.box.id }, sink.write),
    isFull: sink.isFull,
    nowMs: () => performance.now(),
    onDropped: () => metrics.linesLeftOut.inc(),
  });
  // A signal may come while the box starts.
  const stopAsked = new AbortController();
  process.on('SIGTERM', () => stopAsked.abort());
  process.on('SIGINT', () => stopAsked.abort());
  const daemon = await startGatewayDaemon({
    settings,
    adapter,
    incarnation: Date.now(),
    logger,
    metrics,
    onStopped: (isBroken) => process.exit(isBroken ? EXIT_BROKEN : 0),
  });
  process.on('uncaughtException', daemon.onUncaught);
  stopAsked.signal.addEventListener('abort', daemon.stop);
  if (stopAsked.signal.aborted) daemon.stop();
  process.on('SIGHUP', () => void recheckSettings(settingsPath, logger));
}

async function readSettings(path: string): Promise<GatewaySettings | undefined> {
  const result = validateGatewaySettings(await readFile(path, 'utf8'));
  if (result.kind === 'valid') return result.settings;
  for (const fault of result.faults) process.stderr.write(`${path}: ${fault}\n`);
  process.exitCode = EXIT_INVALID_SETTINGS;
  return undefined;
}
