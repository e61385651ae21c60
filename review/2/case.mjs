/* global performance, process, setTimeout */
/**
 * Another writer puts one entry into `servers/`: all fields of the service are there, but its address is
 * no IP:PORT that can be read. Clients keep their connections and send on to the sound servers.
 */
import http from 'node:http';
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
/** Only boxes that have run for so long are in touch; a request sent sooner isn't judged. */
const CONTACT_MS = 3000;
const LOAD_MS = 15_000;
const TROUBLE_FROM_MS = 4000;
const EVERY_MS = 10;
/** Loopback, but padded with zeros: 008 is no octal number, so an address parser rejects it. */
const UNREADABLE_ADDRESS = '127.000.000.008:8225';

/** Requests at work at a server: taken, and not answered yet. */
const passedOn = new Map();
async function server(id) {
  return startRawServer(id, (request, socket) => {
    const head = (status) => `HTTP/1.1 ${status}\r\nX-Reedlug-Request-Id: ${request.id}\r\n`;
    if (request.headers['x-reedlug-expect-instance'] !== id) {
      return void socket.write(`${head('421 Misdirected Request')}Content-Length: 0\r\n\r\n`);
    }
    passedOn.set(request.id, (passedOn.get(request.id) ?? 0) + 1);
    setTimeout(() => {
      if (socket.destroyed) return;
      socket.write(
        `${head('200 OK')}X-Reedlug-Response-Stamp: stamp-${id}\r\nContent-Length: 5\r\n\r\nwhole`,
      );
    }, 150);
  });
}

const deployment = await startDeployment({ record, boxes: 2 });
const servers = await Promise.all(['i-1', 'i-2', 'i-3'].map(server));
let code = 2;
try {
  const { store, boxes } = deployment;
  putConfiguration(store, {
    version: 1,
    routes: [
      { path_prefix: '/plaka/', kind: 'non_idempotent', service: 'gise-api', timeout_ms: 1000 },
    ],
  });
  for (const { id, address } of servers)
    store.put('servers', id, serverEntry({ address, service: 'gise-api' }));
  for (const box of boxes) box.start();
  if (!(await untilReady(boxes))) throw new Error('the boxes did not become ready');
  await sleep(500);
  // Kept connections, as many as a box needs.
  const agents = boxes.map(
    () => new http.Agent({ keepAlive: true, maxSockets: 200, timeout: 60_000 }),
  );
  const startedAtMs = performance.now();
  let isEntered = false;
  const pending = [];
  for (let index = 0; performance.now() - startedAtMs < LOAD_MS; index += 1) {
    const sinceMs = performance.now() - startedAtMs;
    if (hasTrouble && !isEntered && sinceMs >= TROUBLE_FROM_MS) {
      isEntered = true;
      store.put(
        'servers',
        'i-other',
        serverEntry({ address: UNREADABLE_ADDRESS, service: 'gise-api' }),
      );
      record(`another writer has entered i-other with the address ${UNREADABLE_ADDRESS}`);
    }
    const at = index % boxes.length;
    const box = boxes[at];
    const outcome = call({
      box,
      path: `/plaka/${index}`,
      method: 'POST',
      body: 'x',
      agent: agents[at],
      deadlineMs: 1000,
      waitMs: 2000,
    });
    pending.push(
      outcome.then((result) => ({ ...result, box: box.id, sentAtMs: Math.round(sinceMs) })),
    );
    await sleep(EVERY_MS);
  }
  const results = await Promise.all(pending);
  for (const { id, box, sentAtMs, reused, kind, status, reason, tookMs } of results) {
    record(
      `${id} sent to ${box} at ${sentAtMs} ms${reused ? ' on a kept connection' : ''}: ${kind} ${status ?? reason ?? ''} after ${tookMs} ms, ran ${passedOn.get(id) ?? 0} times`,
    );
  }
  // LOST: passed on to a sound server, and the kept connection closed without an answer, more than three times.
  const lostAt = ({ id: boxId }) =>
    results.filter(
      ({ kind, id, box, reused, sentAtMs }) =>
        kind === 'closed' && sentAtMs >= CONTACT_MS && reused && box === boxId && passedOn.has(id),
    );
  const lost = boxes.map((box) => lostAt(box).length);
  const ends = boxes.flatMap((box) => box.ownEnds).length;
  const served = results.filter(({ status }) => status === 200).length;
  record(
    `${results.length} requests, ${served} with 200, from kept connections passed on to a sound server and closed without an answer: ` +
      `${boxes.map(({ id }, index) => `${id} ${lost[index]}`).join(', ')}; ` +
      `${ends} processes ended by themselves`,
  );
  if (served === 0) throw new Error('nothing was served');
  code = Math.max(...lost) > 3 ? 1 : 0;
  record(code === 1 ? 'LOST is broken' : 'LOST holds');
} catch (error) {
  record(`the case could not run: ${error.stack}`);
} finally {
  await deployment.close();
  for (const { close } of servers) close();
}
process.exit(code);
