/* global performance, process, setInterval, clearInterval, setTimeout */
/**
 * One model engine of two spoils one stream in fifty for 5 s: its bytes hold no end of an event, and
 * they go on at a hundredth to a tenth of the link. The case counts the requests of another service that
 * the boxes leave without a final answer 0.5 s after their route's timeout_ms.
 */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  call,
  openRecord,
  putConfiguration,
  serverEntry,
  sleep,
  startDeployment,
  startRawServer,
  untilReady,
} from './deployment.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
const record = openRecord(join(folder, 'trial-flood-record.txt'));
/** Route of the counter office's service, and of the clerks' streams (apd-tescil). */
const PLAIN_TIMEOUT_MS = 600;
const STREAM_TIMEOUT_MS = 15_000;
const LOAD_MS = 14_000;
const TROUBLE_FROM_MS = 3000;
const TROUBLE_FOR_MS = 5000;
const PLAIN_EVERY_MS = 25;
const STREAM_EVERY_MS = 50;
/** One stream in so many is spoiled: x = 0.02 of garble. */
const SPOILED_EVERY = 50;
/** Rate of a spoiled stream: 80 Mbit/s of a link of 1,000. */
const BYTES_PER_SECOND = 10_000_000;
const WRITE_EVERY_MS = 5;

let loadStartedAtMs = Number.POSITIVE_INFINITY;
let spoiled = 0;
const ran = new Map();
const untilTroubleEndsMs = () =>
  loadStartedAtMs + TROUBLE_FROM_MS + TROUBLE_FOR_MS - performance.now();
const isTroubled = () =>
  hasTrouble && untilTroubleEndsMs() > 0 && untilTroubleEndsMs() <= TROUBLE_FOR_MS;

function headOf(request, status) {
  return `HTTP/1.1 ${status}\r\nX-Reedlug-Request-Id: ${request.id}\r\n`;
}

/** Takes a request in, unless it is for another server at this address. */
function takesIn(id, request, socket) {
  if (request.headers['x-reedlug-expect-instance'] !== id) {
    socket.write(`${headOf(request, '421 Misdirected Request')}Content-Length: 0\r\n\r\n`);
    return false;
  }
  ran.set(request.id, (ran.get(request.id) ?? 0) + 1);
  return true;
}

function plainServer(id) {
  return startRawServer(id, (request, socket) => {
    if (!takesIn(id, request, socket)) return;
    setTimeout(() => {
      if (socket.destroyed) return;
      socket.write(
        `${headOf(request, '200 OK')}X-Reedlug-Response-Stamp: stamp-${id}\r\nContent-Length: 5\r\n\r\nwhole`,
      );
    }, 20);
  });
}

function engine(id, isFaulty) {
  let streams = 0;
  return startRawServer(id, (request, socket) => {
    if (!takesIn(id, request, socket)) return;
    socket.write(
      `${headOf(request, '200 OK')}X-Reedlug-Response-Stamp: stamp-${id}\r\n` +
        'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n',
    );
    const write = (text) => socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
    if (isFaulty && isTroubled()) {
      streams += 1;
      if (streams % SPOILED_EVERY === 1) return sendWithoutEnd(id, request, socket, write);
    }
    let event = 0;
    const timer = setInterval(() => {
      if (socket.destroyed) return clearInterval(timer);
      event += 1;
      write(`id: ${event}\ndata: ${request.id}\n\n`);
      if (event < 10) return;
      clearInterval(timer);
      socket.write('0\r\n\r\n');
    }, 30);
  });
}

/** Sends bytes without an end of an event until the trouble is over, and then resets the connection. */
function sendWithoutEnd(id, request, socket, write) {
  spoiled += 1;
  record(`${id} spoils the stream of ${request.id}`);
  const startedAtMs = performance.now();
  let sent = 0;
  const piece = `data: ${'x'.repeat(16_000)}\n`;
  const timer = setInterval(() => {
    const forMs = performance.now() - startedAtMs;
    if (socket.destroyed || !isTroubled()) {
      clearInterval(timer);
      record(`the stream of ${request.id} ended after ${Math.round(forMs)} ms and ${sent} bytes`);
      return void socket.resetAndDestroy();
    }
    while (sent < (forMs / 1000) * BYTES_PER_SECOND) {
      sent += piece.length;
      if (!write(piece)) break;
    }
  }, WRITE_EVERY_MS);
}

const deployment = await startDeployment({ record, boxes: 2 });
const engines = [await engine('m-1', true), await engine('m-2', false)];
const plain = [await plainServer('i-1'), await plainServer('i-2')];
let code = 2;
try {
  const { store, boxes } = deployment;
  putConfiguration(store, {
    version: 1,
    routes: [
      {
        path_prefix: '/sira/',
        kind: 'idempotent',
        service: 'gise-api',
        timeout_ms: PLAIN_TIMEOUT_MS,
      },
      {
        path_prefix: '/memur/',
        kind: 'streaming',
        service: 'reedlug-havuz',
        timeout_ms: STREAM_TIMEOUT_MS,
        slo_ms: 800,
        gap_target_ms: 500,
        can_resume: false,
        max_attempts: 1,
      },
    ],
  });
  const enter = (servers, service) =>
    servers.forEach(({ id, address }, index) =>
      store.put(
        'servers',
        id,
        serverEntry({ address, service, slots: 128, zone: index === 0 ? 'zone-a' : 'zone-b' }),
      ),
    );
  enter(engines, 'reedlug-havuz');
  enter(plain, 'gise-api');
  for (const box of boxes) box.start();
  if (!(await untilReady(boxes))) throw new Error('the boxes did not become ready');
  await sleep(500);
  loadStartedAtMs = performance.now();
  const pending = [];
  const send = async (path, everyMs, timeoutMs) => {
    for (let index = 0; performance.now() - loadStartedAtMs < LOAD_MS; index += 1) {
      const box = boxes[index % boxes.length];
      const sentAtMs = Math.round(performance.now() - loadStartedAtMs);
      // A client waits for longer than the rule: timeout_ms + 0.5 s.
      const outcome = call({
        box,
        path: `${path}${index}`,
        deadlineMs: timeoutMs + 1000,
        waitMs: timeoutMs + 1000,
      });
      pending.push(
        outcome.then((result) => ({ ...result, path, box: box.id, sentAtMs, timeoutMs })),
      );
      await sleep(everyMs);
    }
  };
  await Promise.all([
    send('/sira/', PLAIN_EVERY_MS, PLAIN_TIMEOUT_MS),
    send('/memur/', STREAM_EVERY_MS, STREAM_TIMEOUT_MS),
  ]);
  const results = await Promise.all(pending);
  for (const { id, path, box, sentAtMs, kind, status, reason, tookMs } of results) {
    record(
      `${id} ${path} sent to ${box} at ${sentAtMs} ms: ${kind} ${status ?? reason ?? ''} after ${tookMs} ms, ran ${ran.get(id) ?? 0} times`,
    );
  }
  // CONFIG: of the requests that outlast timeout_ms, eight or more and over a quarter have no final answer 0.5 s after it.
  const outlasting = results.filter(
    ({ kind, tookMs, timeoutMs }) => kind === 'silent' || tookMs >= timeoutMs,
  );
  const unanswered = outlasting.filter(
    ({ kind, tookMs, timeoutMs }) => kind === 'silent' || tookMs > timeoutMs + 500,
  );
  const isBroken = unanswered.length >= 8 && unanswered.length > outlasting.length / 4;
  const served = results.filter(({ status, kind }) => kind === 'answer' && status === 200).length;
  const ends = boxes.flatMap((box) => box.ownEnds).length;
  record(
    `${results.length} requests, ${served} with 200, ${spoiled} streams spoiled, ${outlasting.length} requests outlasted timeout_ms, ` +
      `${unanswered.length} of them unanswered 0.5 s later, ${ends} processes ended by themselves`,
  );
  if (served === 0) throw new Error('nothing was served');
  code = isBroken ? 1 : 0;
  record(isBroken ? 'CONFIG is broken' : 'CONFIG holds');
} catch (error) {
  record(`the case could not run: ${error.stack}`);
} finally {
  await deployment.close();
  for (const { close } of [...engines, ...plain]) close();
}
process.exit(code);
