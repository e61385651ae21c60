/* global Buffer, clearInterval, performance, process, setInterval, setTimeout */
/**
 * Engines of one service restart one after the other under their ids, each with another software version,
 * while the store is slow. Counts the streams that hold events of two versions, in one answer or over two
 * tries of their client.
 */
import net from 'node:net';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  call,
  openRecord,
  putConfiguration,
  serverEntry,
  sleep,
  startDeployment,
  untilReady,
} from './deployment.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
const record = openRecord(join(folder, 'trial-versions-record.txt'));
const LOAD_MS = 10_000;
const EVERY_MS = 40;
const STREAM_TIMEOUT_MS = 8000;
const EVENTS = 40;
const EVENT_GAP_MS = 40;
/** The store answers in 4 ms; platform_slow is up to x 60 for 4.5 s on apd-tescil. */
const SLOW_FROM_MS = 3000;
const SLOW_FOR_MS = 4500;
const SLOW_MS = 240;
/** Time for which an engine is down, and until the next one restarts. */
const DOWN_MS = 300;
const GAP_MS = 150;
const RESTART_FROM_MS = 3500;

const deployment = await startDeployment({ record, boxes: 3 });
const { store, boxes } = deployment;

/** Starts an engine at a port; its entry is written as soon as it accepts. */
async function startEngine(id, version, port = 0) {
  const sockets = new Set();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    let bytes = Buffer.alloc(0);
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      const end = bytes.indexOf('\r\n\r\n');
      if (end < 0) return;
      const head = bytes.subarray(0, end).toString('latin1');
      bytes = bytes.subarray(end + 4);
      const field = (name) => new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1].trim();
      const answer = (status) =>
        `HTTP/1.1 ${status}\r\nX-Reedlug-Request-Id: ${field('x-reedlug-request-id')}\r\n`;
      if (field('x-reedlug-expect-instance') !== id) {
        return void socket.write(`${answer('421 Misdirected Request')}Content-Length: 0\r\n\r\n`);
      }
      socket.write(
        `${answer('200 OK')}X-Reedlug-Response-Stamp: stamp-${id}\r\n` +
          'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n',
      );
      let event = Number(field('last-event-id') ?? 0);
      const timer = setInterval(() => {
        if (socket.destroyed) return clearInterval(timer);
        if (event >= EVENTS) {
          clearInterval(timer);
          return void socket.write('0\r\n\r\n');
        }
        event += 1;
        const text = `id: ${event}\ndata: ${version}\n\n`;
        socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
      }, EVENT_GAP_MS);
    });
  });
  await new Promise((resolve) => server.listen(port, '127.0.0.1', resolve));
  const address = `127.0.0.1:${server.address().port}`;
  const entry = { address, service: 'reedlug-havuz', slots: 128, config_version: version };
  store.put('servers', id, serverEntry({ ...entry, born: Date.now() }));
  return {
    async end() {
      for (const socket of sockets) socket.resetAndDestroy();
      await new Promise((resolve) => server.close(resolve));
    },
    port: server.address().port,
  };
}

async function restartInTurn(engines) {
  for (const [id, engine] of engines) {
    record(`${id} restarts with version v2`);
    await engine.end();
    await sleep(DOWN_MS);
    engines.set(id, await startEngine(id, 'v2', engine.port));
    await sleep(GAP_MS);
  }
}

const eventsOf = ({ body = '' }) =>
  [...body.matchAll(/id: (\d+)\ndata: (v\d)\n\n/g)].map(([, number, version]) => ({
    number: Number(number),
    version,
  }));

/** One stream of a client, which takes it up once at another box if its connection breaks. */
async function stream(index) {
  const path = `/memur/${index % 7}`;
  const box = (at) => boxes[at % boxes.length];
  const first = await call({ box: box(index), path, deadlineMs: STREAM_TIMEOUT_MS });
  const events = eventsOf(first);
  const isBroken = first.kind === 'closed' && events.length > 0 && events.length < EVENTS;
  if (isBroken) {
    const headers = { 'Last-Event-Id': String(events.at(-1).number), Resumes: first.id };
    const deadlineMs = Math.max(500, STREAM_TIMEOUT_MS - first.tookMs);
    events.push(...eventsOf(await call({ box: box(index + 1), path, deadlineMs, headers })));
  }
  const versions = events.map(({ version }) => version);
  const isCrossed = new Set(versions).size > 1;
  if (isCrossed) record(`${first.id} holds events of two versions: ${versions.join(' ')}`);
  return isCrossed;
}

let code = 2;
try {
  const engines = new Map();
  for (const id of ['m-1', 'm-2', 'm-3']) engines.set(id, await startEngine(id, 'v1'));
  for (const id of ['n-1', 'n-2', 'n-3']) await startEngine(id, 'v2');
  putConfiguration(store, {
    version: 1,
    routes: [
      {
        path_prefix: '/memur/',
        kind: 'streaming',
        service: 'reedlug-havuz',
        timeout_ms: STREAM_TIMEOUT_MS,
        slo_ms: 800,
        gap_target_ms: 500,
        can_resume: true,
        max_attempts: 2,
      },
    ],
  });
  for (const box of boxes) box.start();
  if (!(await untilReady(boxes))) throw new Error('the boxes did not become ready');
  await sleep(1000);
  if (hasTrouble) {
    setTimeout(() => (store.delayMs = SLOW_MS), SLOW_FROM_MS);
    setTimeout(() => (store.delayMs = 0), SLOW_FROM_MS + SLOW_FOR_MS);
    setTimeout(() => void restartInTurn(engines), RESTART_FROM_MS);
  }
  const startedAtMs = performance.now();
  const pending = [];
  for (let index = 0; performance.now() - startedAtMs < LOAD_MS; index += 1) {
    pending.push(stream(index));
    await sleep(EVERY_MS);
  }
  const crossed = (await Promise.all(pending)).filter(Boolean).length;
  record(`${pending.length} streams, ${crossed} of them hold events of two versions`);
  // ORDER: more than two streams hold events from engines of two software versions.
  code = crossed > 2 ? 1 : 0;
} catch (error) {
  record(`the trial could not run: ${error.stack}`);
} finally {
  await deployment.close();
}
process.exit(code);
