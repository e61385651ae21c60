/** Requests to a box whose servers crash, or end the connections of its sends. */
import {
  createServingBox,
  facts,
  ofType,
  server,
  type TestBox,
} from '../../../../__tests__/__fixtures__/box.js';
import type { Effect } from '../../../../types/effect.js';

let nextExchangeId = 1;

/** Creates a box with several engines and no peers; plain servers do not matter here. */
export function createBox(): TestBox {
  const box = createServingBox();
  const ids = ['engine-3', 'engine-4', 'engine-5', 'engine-6'];
  const changes = ids.map((id) => ({ id, entry: server(id, { service: 'engines' }) }));
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
  return box;
}

/** Sends a request with a digest to the box. */
export function arrive(box: TestBox, digest: string, path = '/draft/1') {
  const exchangeId = nextExchangeId;
  nextExchangeId += 1;
  const requestId = `r${exchangeId}`;
  const request = facts({ requestId, digest, path, deadlineMs: 8000, promptTokens: 900 });
  return { exchangeId, effects: box.take({ type: 'requestArrived', exchangeId, facts: request }) };
}

/** Loses a send; then the server's port refuses connections, or accepts them unless `isGone`. */
export function loseSend(
  box: TestBox,
  sent: { exchangeId: number; attemptId: number },
  isGone = true,
) {
  const { exchangeId, attemptId } = sent;
  const effects = box.take({ type: 'attemptLost', exchangeId, attemptId, reason: 'reset' });
  const outcome = isGone ? 'refused' : 'accepted';
  const probes = ofType(effects, 'probeServer');
  for (const { life } of probes) {
    effects.push(...box.take({ type: 'serverProbed', life, outcome }));
  }
  return effects;
}

/** Sends a request that crashes every server it reaches, the one of the box's retry included. */
export function sendCrashingRequest(box: TestBox, digest = 'bad', path = '/draft/1'): Effect[] {
  const { exchangeId, effects } = arrive(box, digest, path);
  let sends = ofType(effects, 'send');
  const all = [...effects];
  while (sends.length > 0) {
    const { attemptId } = sends[0] as (typeof sends)[number];
    box.pass(100);
    const done = loseSend(box, { exchangeId, attemptId });
    all.push(...done);
    sends = ofType(done, 'send');
  }
  return all;
}
