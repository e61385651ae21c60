/**
 * Worker thread of the load measurement: runs the stand-ins or the entry box. The entry box has a
 * thread of its own, so that it does not share a core with the stand-ins.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { startEngineServer, startPlatformServer, startServiceServer } from 'reedlug-standins';
import { startEntryDaemon } from '../daemon/entryDaemon.js';
import { createCallerServer } from '../http/callerServer.js';
import { BENCH_MODEL, benchSettings, type BenchAddresses } from './benchSettings.js';

/** Task of a thread. */
export type BenchRole =
  { role: 'standins'; interTokenMs: number } | { role: 'entry'; addresses: BenchAddresses };

/** Message that a thread posts once it is ready. */
export type BenchReady =
  | { role: 'standins'; platform: string; engine: string; service: string }
  | { role: 'entry'; rssBytes: number };

async function startStandins(interTokenMs: number): Promise<BenchReady> {
  const platform = await startPlatformServer(0, 0);
  const engine = await startEngineServer({
    options: {
      engineId: 'engine',
      model: BENCH_MODEL,
      version: '',
      slots: 2000,
      kvCapacityTokens: 10_000_000,
      prefillTokensPerMs: 100_000,
      interTokenMs,
      crowding: 0,
      tokensPerEvent: 1,
    },
    port: 0,
    checksFence: true,
    incarnation: 1,
  });
  const service = await startServiceServer({ port: 0, incarnation: 1, answerMs: 0 });
  return {
    role: 'standins',
    platform: platform.server.address,
    engine: engine.server.address,
    service: service.server.address,
  };
}

async function startEntry(addresses: BenchAddresses): Promise<BenchReady> {
  const settings = benchSettings(addresses);
  const [box] = settings.boxes;
  if (box === undefined) throw new Error('the bench has no box');
  const daemon = await startEntryDaemon({
    settings,
    box,
    incarnation: 1,
    peerSecret: 'bench-secret-of-one-box',
    peerTls: undefined,
    logger: () => undefined,
    partitions: { platform: () => false, zone: () => false },
    onEvent: undefined,
    onStopped: (error) => {
      if (error !== undefined) throw error;
    },
  });
  const server = createCallerServer(daemon);
  await new Promise<void>((resolve) => server.listen(addresses.callersPort, '127.0.0.1', resolve));
  return { role: 'entry', rssBytes: process.memoryUsage().rss };
}

const role = workerData as BenchRole;
const ready =
  role.role === 'entry' ? await startEntry(role.addresses) : await startStandins(role.interTokenMs);
parentPort?.postMessage(ready);
parentPort?.on('message', (message: { kind: 'heap' }) => {
  if (message.kind !== 'heap') return;
  globalThis.gc?.();
  parentPort?.postMessage({ heapBytes: process.memoryUsage().heapUsed });
});
