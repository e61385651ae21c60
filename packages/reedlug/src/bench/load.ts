/**
 * Load measurement on loopback: requests per second through one entry box, the latency that the
 * box adds, and the memory that a stream needs. Connections and duration are fixed.
 */
import { Worker } from 'node:worker_threads';
import { Pool } from 'undici';
import { findFreePorts } from 'reedlug-standins';
import { createLatencyRecorder } from './latency.js';
import { BENCH_KEY, BENCH_MODEL, BENCH_SERVICE } from './benchSettings.js';
import type { BenchReady, BenchRole } from './benchWorker.js';

const CONNECTIONS = 64;
const MEASURED_SECONDS = 4;
const STREAMS = 1000;
const PAUSE_MS = 500;
const REQUEST_HEADERS = {
  authorization: `Bearer ${BENCH_KEY}`,
  'content-type': 'application/json',
};

interface Target {
  name: string;
  origin: string;
  path: string;
  method: 'GET' | 'POST';
  body: (() => string) | undefined;
}

interface LoadResult {
  perSecond: number;
  p50Ms: number;
  p99Ms: number;
  failed: number;
}

function startWorker(role: BenchRole): Promise<{ worker: Worker; ready: BenchReady }> {
  const worker = new Worker(new URL('./benchWorker.js', import.meta.url), {
    workerData: role,
  });
  return new Promise((resolve, reject) => {
    worker.once('error', reject);
    worker.once('message', (ready: BenchReady) => resolve({ worker, ready }));
  });
}

/** Sends on each connection one request after the other for `MEASURED_SECONDS`. */
async function closedLoop(target: Target, connections: number): Promise<LoadResult> {
  const pool = new Pool(target.origin, { connections, pipelining: 1 });
  const latency = createLatencyRecorder();
  const untilMs = performance.now() + MEASURED_SECONDS * 1000;
  let failed = 0;
  const worker = async (): Promise<void> => {
    while (performance.now() < untilMs) {
      if (!(await callOnce(pool, target, latency.record))) failed += 1;
    }
  };
  await Promise.all(Array.from({ length: connections }, worker));
  await pool.destroy();
  return { ...latency.summary(), perSecond: latency.count() / MEASURED_SECONDS, failed };
}

/** Sends at a fixed rate, regardless of how fast the answers arrive. */
async function openLoop(target: Target, perSecond: number): Promise<LoadResult> {
  const pool = new Pool(target.origin, { connections: CONNECTIONS * 2, pipelining: 1 });
  const latency = createLatencyRecorder();
  const total = Math.round(perSecond * MEASURED_SECONDS);
  const startedMs = performance.now();
  let failed = 0;
  const calls: Promise<void>[] = [];
  for (let sent = 0; sent < total;) {
    const due = Math.min(total, Math.floor(((performance.now() - startedMs) / 1000) * perSecond));
    for (; sent < due; sent += 1) {
      calls.push(
        callOnce(pool, target, latency.record).then((ok) => {
          if (!ok) failed += 1;
        }),
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  await Promise.all(calls);
  await pool.destroy();
  return { ...latency.summary(), perSecond, failed };
}

async function callOnce(
  pool: Pool,
  target: Target,
  record: (valueMs: number) => void,
): Promise<boolean> {
  const startedMs = performance.now();
  const { method, path, body } = target;
  const response = await pool.request({
    method,
    path,
    headers: REQUEST_HEADERS,
    body: body?.() ?? null,
  });
  await response.body.dump();
  record(performance.now() - startedMs);
  return response.statusCode < 300;
}

function completionBody(maxTokens: number, stream: boolean): string {
  return JSON.stringify({
    model: BENCH_MODEL,
    prompt: 'status of batch 7',
    max_tokens: maxTokens,
    stream,
  });
}

let directCalls = 0;

/** Returns the body of a request that is sent directly to the stand-in engine. */
function engineBody(): string {
  directCalls += 1;
  return JSON.stringify({
    request_id: `direct-${directCalls}`,
    model: BENCH_MODEL,
    version: '',
    prompt: 'status of batch 7',
    stream: true,
    max_tokens: 1,
    priority: 0,
    resume_tokens: [],
    cache_key: 1,
    prompt_tokens: 5,
  });
}

function resultLine(name: string, result: LoadResult): string {
  const { perSecond, p50Ms, p99Ms, failed } = result;
  return `${name}: ${Math.round(perSecond)} a second, p50 ${p50Ms} ms, p99 ${p99Ms} ms, failed ${failed}`;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function compareWithDirect(direct: Target, through: Target): Promise<void> {
  await openLoop(through, 200);
  const maximum = await closedLoop(through, CONNECTIONS);
  print(resultLine(`${through.name}, as fast as it goes`, maximum));
  const halfRate = maximum.perSecond / 2;
  const directResult = await openLoop(direct, halfRate);
  const throughResult = await openLoop(through, halfRate);
  print(resultLine(`${direct.name}, at half of that`, directResult));
  print(resultLine(`${through.name}, at half of that`, throughResult));
  const p50 = (throughResult.p50Ms - directResult.p50Ms).toFixed(2);
  const p99 = (throughResult.p99Ms - directResult.p99Ms).toFixed(2);
  print(`added by the entry box: p50 ${p50} ms, p99 ${p99} ms`);
}

function requestHeapBytes(worker: Worker): Promise<number> {
  return new Promise((resolve) => {
    worker.once('message', (message: { heapBytes: number }) => resolve(message.heapBytes));
    worker.postMessage({ kind: 'heap' });
  });
}

/** Opens many concurrent streams and measures the heap of the entry box while they run. */
async function measureStreamMemory(origin: string, entry: Worker): Promise<void> {
  const pool = new Pool(origin, { connections: STREAMS, pipelining: 1 });
  const before = await requestHeapBytes(entry);
  let open = 0;
  let done = 0;
  const streams = Array.from({ length: STREAMS }, async () => {
    const response = await pool.request({
      method: 'POST',
      path: '/v1/completions',
      headers: REQUEST_HEADERS,
      body: completionBody(40, true),
    });
    open += 1;
    const text = await response.body.text();
    if (text.endsWith('data: [DONE]\n\n')) done += 1;
  });
  const POLL_INTERVAL_MS = 50;
  while (open < STREAMS) await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  const during = await requestHeapBytes(entry);
  await Promise.all(streams);
  await pool.destroy();
  const perStream = Math.round((during - before) / STREAMS / 102.4) / 10;
  print(`${STREAMS} open streams: ${perStream} KiB of heap each, ${done} whole`);
}

const standins = await startWorker({ role: 'standins', interTokenMs: 0.05 });
const slowStandins = await startWorker({ role: 'standins', interTokenMs: 300 });
const [callersPort = 0, peersPort = 0, slowCallers = 0, slowPeers = 0] = await findFreePorts(4);
if (standins.ready.role !== 'standins' || slowStandins.ready.role !== 'standins')
  throw new Error('no stand-ins');
const { platform, engine, service } = standins.ready;
const entry = await startWorker({
  role: 'entry',
  addresses: { platform, engines: [engine], services: [service], callersPort, peersPort },
});
const slowEntry = await startWorker({
  role: 'entry',
  addresses: {
    platform: slowStandins.ready.platform,
    engines: [slowStandins.ready.engine],
    services: [slowStandins.ready.service],
    callersPort: slowCallers,
    peersPort: slowPeers,
  },
});
const STARTUP_WAIT_MS = 1500;
await new Promise((resolve) => setTimeout(resolve, STARTUP_WAIT_MS));
const origin = `http://127.0.0.1:${callersPort}`;
await compareWithDirect(
  { name: 'look-up, direct', origin: service, path: '/samples/7', method: 'GET', body: undefined },
  {
    name: 'look-up, through reedlug',
    origin,
    path: `/v1/services/${BENCH_SERVICE}/samples/7`,
    method: 'GET',
    body: undefined,
  },
);
await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
await compareWithDirect(
  {
    name: 'one-token answer, direct',
    origin: engine,
    path: '/v1/completions',
    method: 'POST',
    body: engineBody,
  },
  {
    name: 'one-token answer, through reedlug',
    origin,
    path: '/v1/completions',
    method: 'POST',
    body: () => completionBody(1, false),
  },
);
await measureStreamMemory(`http://127.0.0.1:${slowCallers}`, slowEntry.worker);
await Promise.all(
  [standins, slowStandins, entry, slowEntry].map(({ worker }) => worker.terminate()),
);
