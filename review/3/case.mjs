/* global clearInterval, performance, process, setInterval, setTimeout */
/**
 * One box of two is partitioned from all engines and reaches them through the other. Then the process of
 * the other is killed. Engines send streams without a length and without chunks. The case compares
 * the streams that clients got as complete with their engines' last events.
 */
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  call,
  openRecord,
  putConfiguration,
  ROOT,
  serverEntry,
  sleep,
  startDeployment,
  startRawServer,
  untilReady,
} from '../deployment.mjs';
import { openServerLink, openStoreLink } from '../links.mjs';

const { startStoreStandin } = await import(join(ROOT, 'platform/dist/standins/index.js'));
const folder = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
const record = openRecord(join(folder, 'record.txt'));
const BOXES = 2;
/** Box that is partitioned, and the one whose process is killed. */
const PARTITIONED = 0;
const KILLED = 1;
const STREAM_TIMEOUT_MS = 15_000;
const LOAD_MS = 12_000;
const EVERY_MS = 100;
const CUT_FROM_MS = 3000;
const CUT_FOR_MS = 8000;
const KILL_AT_MS = 7000;
/** Events of each stream, and the pause between them. */
const EVENTS = 40;
const EVENT_GAP_MS = 50;

/** What the engines ran: request, engine and the events that it sent. */
const runs = new Map();

/** Sends each stream without a length and without chunks; it ends with its connection. */
function engine(id) {
  return startRawServer(id, (request, socket) => {
    const head = (status) => `HTTP/1.1 ${status}\r\nX-Reedlug-Request-Id: ${request.id}\r\n`;
    if (request.headers['x-reedlug-expect-instance'] !== id) {
      return void socket.write(`${head('421 Misdirected Request')}Content-Length: 0\r\n\r\n`);
    }
    const run = { engine: id, events: 0, outcome: 'under way' };
    runs.set(request.id, [...(runs.get(request.id) ?? []), run]);
    socket.write(
      `${head('200 OK')}X-Reedlug-Response-Stamp: stamp-${id}\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n`,
    );
    const timer = setInterval(() => {
      if (socket.destroyed) {
        clearInterval(timer);
        run.outcome = 'connection lost';
        return;
      }
      run.events += 1;
      socket.write(`id: ${run.events}\ndata: ${request.id}\n\n`);
      if (run.events < EVENTS) return;
      clearInterval(timer);
      run.outcome = 'whole';
      socket.end();
    }, EVENT_GAP_MS);
  });
}

const store = await startStoreStandin();
const engines = await Promise.all(['m-1', 'm-2', 'm-3', 'm-4'].map(engine));
const links = await Promise.all(
  Array.from({ length: BOXES }, () =>
    Promise.all(engines.map(({ address }) => openServerLink(address))),
  ),
);
const storeLinks = await Promise.all(
  links.map((ofBox) =>
    openStoreLink(
      store,
      (address) => ofBox[engines.findIndex((known) => known.address === address)]?.address,
    ),
  ),
);
const deployment = await startDeployment({
  record,
  boxes: BOXES,
  store,
  storeAddressOf: (index) => storeLinks[index].address,
});
let code = 2;
try {
  const { boxes } = deployment;
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
        can_resume: false,
        max_attempts: 1,
      },
    ],
  });
  engines.forEach(({ id, address }, index) =>
    store.put(
      'servers',
      id,
      serverEntry({
        address,
        service: 'reedlug-havuz',
        slots: 128,
        zone: index % 2 === 0 ? 'zone-a' : 'zone-b',
      }),
    ),
  );
  for (const box of boxes) box.start();
  if (!(await untilReady(boxes))) throw new Error('the boxes did not become ready');
  await sleep(1500);
  const startedAtMs = performance.now();
  const at = (ms, act) => setTimeout(act, ms);
  if (hasTrouble) {
    at(CUT_FROM_MS, () => {
      record(`${boxes[PARTITIONED].id} is partitioned from all engines`);
      for (const link of links[PARTITIONED]) link.cut();
    });
    at(CUT_FROM_MS + CUT_FOR_MS, () => {
      record(`${boxes[PARTITIONED].id} reaches the engines again`);
      for (const link of links[PARTITIONED]) link.heal();
    });
    at(KILL_AT_MS, () => {
      record(`${boxes[KILLED].id} gets SIGKILL`);
      boxes[KILLED].signal('SIGKILL');
    });
  }
  const pending = [];
  for (let index = 0; performance.now() - startedAtMs < LOAD_MS; index += 1) {
    const box = boxes[PARTITIONED];
    const sentAtMs = Math.round(performance.now() - startedAtMs);
    const outcome = call({ box, path: `/memur/${index}`, deadlineMs: STREAM_TIMEOUT_MS });
    pending.push(outcome.then((result) => ({ ...result, sentAtMs })));
    await sleep(EVERY_MS);
  }
  const results = await Promise.all(pending);
  let early = 0;
  let whole = 0;
  for (const { id, sentAtMs, kind, status, reason, body = '' } of results) {
    const events = [...body.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number));
    const isInOrder = events.every((number, index) => number === index + 1);
    // A 200 whose chunked answer has its end is complete for the client.
    const isComplete = kind === 'answer' && status === 200;
    if (isComplete && (events.length < EVENTS || !isInOrder)) early += 1;
    if (isComplete && events.length === EVENTS && isInOrder) whole += 1;
    const ran = (runs.get(id) ?? [])
      .map((run) => `${run.engine} ${run.events} events, ${run.outcome}`)
      .join('; ');
    record(
      `${id} sent at ${sentAtMs} ms: ${kind} ${status ?? reason ?? ''}, ${events.length} of ${EVENTS} events` +
        `${isComplete && events.length < EVENTS ? ', COMPLETE FOR THE CLIENT' : ''}; ran at ${ran || 'none'}`,
    );
  }
  const tunnels = boxes.map(
    ({ logPath }) => (readFileSync(logPath, 'utf8').match(/event=tunnelOpened/g) ?? []).length,
  );
  record(`connections opened for other boxes: ${tunnels.join(', ')}`);
  record(
    `${results.length} streams, ${whole} whole, ${early} that ended as complete before their last event`,
  );
  if (whole === 0) throw new Error('no stream was whole');
  code = early > 0 ? 1 : 0;
  record(early > 0 ? 'ORDER is broken' : 'ORDER holds');
} catch (error) {
  record(`the case could not run: ${error.stack}`);
} finally {
  await deployment.close();
  for (const link of [...links.flat(), ...storeLinks, ...engines]) link.close();
}
process.exit(code);
