/* global Buffer, performance, process, setTimeout */
/**
 * One server of two spoils one answer in fifty for 5 s: a byte of its status line is wrong. The case
 * counts the requests that boxes leave without a final answer 0.5 s after their route's timeout_ms.
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
} from '../deployment.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
const record = openRecord(join(folder, 'record.txt'));
const TIMEOUT_MS = 1000;
/** A client waits for longer than the route's time, and says so. */
const CLIENT_WAITS_MS = 2000;
/** Only boxes that have run for so long are in touch; a request sent sooner isn't judged. */
const CONTACT_MS = 3000;
const LOAD_MS = 14_000;
const TROUBLE_FROM_MS = 3000;
const TROUBLE_FOR_MS = 5000;
/** Time between two requests, in ms. */
const EVERY_MS = 10;
/** One answer in so many is spoiled: x = 0.02 of garble. */
const SPOILED_EVERY = 50;

let loadStartedAtMs = Number.POSITIVE_INFINITY;
let spoiled = 0;
/** Answers of the faulty server during the trouble. */
let faulty = 0;
const ran = new Map();

function isWindow() {
  const sinceMs = performance.now() - loadStartedAtMs;
  return sinceMs >= TROUBLE_FROM_MS && sinceMs < TROUBLE_FROM_MS + TROUBLE_FOR_MS;
}

function server(id, isFaulty) {
  let answers = 0;
  return startRawServer(id, (request, socket) => {
    const head = (status) => `HTTP/1.1 ${status}\r\nX-Reedlug-Request-Id: ${request.id}\r\n`;
    if (request.headers['x-reedlug-expect-instance'] !== id) {
      return void socket.write(`${head('421 Misdirected Request')}Content-Length: 0\r\n\r\n`);
    }
    ran.set(request.id, (ran.get(request.id) ?? 0) + 1);
    setTimeout(() => {
      let bytes = Buffer.from(
        `${head('200 OK')}X-Reedlug-Response-Stamp: stamp-${id}\r\nContent-Length: 5\r\n\r\nwhole`,
        'latin1',
      );
      if (isFaulty && isWindow()) {
        answers += 1;
        faulty = answers;
        if (hasTrouble && answers % SPOILED_EVERY === 0) {
          // The top bit of the K of "200 OK" is wrong.
          bytes = Buffer.from(bytes);
          bytes[bytes.indexOf('OK') + 1] |= 0x80;
          spoiled += 1;
          record(`${id} spoils the answer to ${request.id}`);
        }
      }
      if (!socket.destroyed) socket.write(bytes);
    }, 80);
  });
}

const deployment = await startDeployment({ record, boxes: 2 });
const servers = [await server('i-1', true), await server('i-2', false)];
let code = 2;
try {
  const { store, boxes } = deployment;
  putConfiguration(store, {
    version: 1,
    routes: [
      { path_prefix: '/sira/', kind: 'idempotent', service: 'gise-api', timeout_ms: TIMEOUT_MS },
    ],
  });
  // One server and one box in each zone.
  servers.forEach(({ id, address }, index) =>
    store.put(
      'servers',
      id,
      serverEntry({
        address,
        service: 'gise-api',
        slots: 6,
        zone: index === 0 ? 'zone-a' : 'zone-b',
      }),
    ),
  );
  for (const box of boxes) box.start();
  if (!(await untilReady(boxes))) throw new Error('the boxes did not become ready');
  await sleep(500);
  loadStartedAtMs = performance.now();
  const pending = [];
  for (let index = 0; performance.now() - loadStartedAtMs < LOAD_MS; index += 1) {
    const box = boxes[index % boxes.length];
    const sentAtMs = Math.round(performance.now() - loadStartedAtMs);
    // The client waits for longer than the rule: timeout_ms + 0.5 s.
    const outcome = call({
      box,
      path: `/sira/${index}`,
      deadlineMs: CLIENT_WAITS_MS,
      waitMs: CLIENT_WAITS_MS,
    });
    pending.push(outcome.then((result) => ({ ...result, box: box.id, sentAtMs })));
    await sleep(EVERY_MS);
  }
  const results = await Promise.all(pending);
  for (const { id, box, sentAtMs, kind, status, reason, tookMs } of results) {
    record(
      `${id} sent to ${box} at ${sentAtMs} ms: ${kind} ${status ?? reason ?? ''} after ${tookMs} ms, ran ${ran.get(id) ?? 0} times`,
    );
  }
  const ready = await Promise.all(boxes.map((box) => box.isReady()));
  record(`ready now: ${boxes.map((box, index) => `${box.id} ${ready[index]}`).join(', ')}`);
  // CONFIG: of the requests that outlast timeout_ms, eight or more and over a quarter have no final answer 0.5 s after it.
  const outlasting = results.filter(
    ({ kind, tookMs, sentAtMs }) =>
      sentAtMs >= CONTACT_MS && (kind === 'silent' || tookMs >= TIMEOUT_MS),
  );
  const unanswered = outlasting.filter(
    ({ kind, tookMs }) => kind === 'silent' || tookMs > TIMEOUT_MS + 500,
  );
  const isBroken = unanswered.length >= 8 && unanswered.length > outlasting.length / 4;
  const ends = boxes.flatMap((box) => box.ownEnds).length;
  record(
    `${results.length} requests, ${results.filter(({ status }) => status === 200).length} with 200, ${spoiled} of ${faulty} answers spoiled, ` +
      `${outlasting.length} outlasted timeout_ms, ${unanswered.length} of them unanswered 0.5 s later, ${ends} processes ended by themselves`,
  );
  if (results.filter(({ status }) => status === 200).length === 0)
    throw new Error('nothing was served');
  code = isBroken ? 1 : 0;
  record(isBroken ? 'CONFIG is broken' : 'CONFIG holds');
} catch (error) {
  record(`the case could not run: ${error.stack}`);
} finally {
  await deployment.close();
  for (const { close } of servers) close();
}
process.exit(code);
