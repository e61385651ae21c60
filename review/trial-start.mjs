// How long a box holds requests after its first start, when the list of boxes in the store is empty, and after its second.
// Shows the cause of a test that failed in CI (KNOWN-RED.txt, issue 87); it breaks no rule, so it is no case.
// Run after the build of the deploy file and review/build-2.sh: node review/trial-start.mjs
/* global console */
import { once } from 'node:events';
import {
  call,
  newRequestId,
  nowMs,
  openDeployment,
  runCase,
  sleep,
  standins,
  startAll,
} from './lab-2.mjs';

const RUNS = 5;
const ENGINES = 4;
/** Requests, one at a time, and the interval between them, in ms. */
const REQUESTS = 40;
const INTERVAL_MS = 50;
/** Duration from which on a request counts as held, in ms; the engines answer at once. */
const HELD_MS = 150;

/** Sends the requests and returns which of them were held. */
async function play(box) {
  const readyAtMs = nowMs();
  const calls = [];
  for (let count = 0; count < REQUESTS; count += 1) {
    const sentAtMs = nowMs();
    const headers = {
      'X-Reedlug-Request-Id': newRequestId(),
      'X-Reedlug-Deadline-Ms': 3000,
      Authorization: 'Bearer key-1',
    };
    const answer = call({ host: box.host, port: box.port, path: '/sira/a', headers });
    calls.push(
      answer.then(({ status }) => ({
        status,
        atMs: sentAtMs - readyAtMs,
        took: nowMs() - sentAtMs,
      })),
    );
    await sleep(INTERVAL_MS);
  }
  const all = await Promise.all(calls);
  const held = all.filter(({ took }) => took >= HELD_MS);
  const longest = Math.max(...all.map(({ took }) => took));
  const served = all.filter(({ status }) => status === 200).length;
  const last =
    held.length === 0 ? '' : `, the last of them sent ${held.at(-1).atMs} ms after it was ready`;
  return `${held.length} of ${REQUESTS} held for ${HELD_MS} ms or more${last}; longest ${longest} ms; ${served} served`;
}

await runCase(async () => {
  for (let run = 0; run < RUNS; run += 1) {
    const { store, boxes } = await openDeployment({ boxes: 1 });
    standins.enterConfiguration(store, {
      version: 1,
      host: 'ficu95.example',
      keys: ['key-1'],
      routes: [{ path: '/sira/', kind: 'repeatable', service: 'records', timeoutMs: 3000 }],
    });
    for (let at = 1; at <= ENGINES; at += 1) {
      const { id, address } = await standins.startEngineStandin(`engine-${at}`, {
        kind: 'answer',
        body: 'ok',
      });
      standins.enterServer(store, { id, address });
    }
    const [box] = boxes;
    await startAll(boxes);
    console.log(`first start, the list of boxes is empty: ${await play(box)}`);
    await sleep(1000);
    box.process.kill('SIGKILL');
    await once(box.process, 'exit');
    await startAll(boxes);
    console.log(`second start, the list holds the box: ${await play(box)}`);
    box.process.kill('SIGKILL');
  }
  return { isBroken: false, text: '' };
});
