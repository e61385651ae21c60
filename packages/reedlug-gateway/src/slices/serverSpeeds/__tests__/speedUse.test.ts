/** Use of speeds in decisions: choices, momentary slowness, and the number of engines. */
import { expect } from 'chai';
import {
  configuration,
  createBox,
  facts,
  listBoxes,
  ofType,
  only,
  server,
  settings,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { chooseServer } from '../../../policy/chooseServer.js';
import { decayFactor } from '../../../policy/decayFactor.js';
import { evidenceOf, SPEED_HALF_LIFE_MS } from '../../../policy/serverSpeed.js';
import { currentSlowness } from '../../../policy/serverHealth.js';
import type { SpeedSums } from '../../../types/serverSpeed.js';
import type { ServerView } from '../../../types/views.js';
import { recordFirstEvent } from '../../engines/engineModels.js';
import { meanSpeedOf, speedOf } from '../speedOf.js';

/** Returns sums of many sends that took the expected time divided by the speed. */
function sumsAt(speed: number): SpeedSums {
  return {
    evenExpectedMs: 20_000,
    evenObservedMs: 20_000 / speed,
    oddExpectedMs: 20_000,
    oddObservedMs: 20_000 / speed,
  };
}

/** Creates a box whose own sums show engine-0 and engine-1 as slow and engine-2 as fast. */
function createBoxOfEngines(isOn: boolean): TestBox {
  const box = createBox(settings({}, { learnServerSpeeds: isOn }));
  const entries = [0, 1, 2].map((index) =>
    server(`engine-${index}`, { service: 'engines', bornAtMs: 1000 + index }),
  );
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  for (const { id, bornAtMs } of entries) {
    const sums = sumsAt(id === 'engine-2' ? 1.7 : 0.7);
    box.state.serverSpeeds.own.set(id, { bornAtMs, sums, atMs: 1000 });
  }
  box.pass(1000);
  return box;
}

function viewOf(box: TestBox, id: string): ServerView {
  const view = box.state.servers.get(id);
  if (view === undefined) throw new Error(`no ${id}`);
  return view;
}

function choose(box: TestBox) {
  const request = facts({ promptTokens: 40_000, maxOutputTokens: 10 });
  return chooseServer(box.state, {
    service: 'engines',
    facts: request,
    urgency: 0,
    excludedServers: new Set(),
    nowMs: box.nowMs,
  });
}

test('the expected time of a choice rests on the speed of the server, and the model time does not', () => {
  const choice = choose(createBoxOfEngines(true));
  expect(choice?.view.entry.id).to.equal('engine-2');
  expect((choice?.modelMs ?? 0) / (choice?.expectedMs ?? 1)).to.be.within(1.7, 2.1);
});

test('with the switch off, speeds are exactly 1 and the expected time is the model time', () => {
  const box = createBoxOfEngines(false);
  expect(speedOf(box.state, viewOf(box, 'engine-2'), box.nowMs)).to.equal(1);
  const choice = choose(box);
  expect(choice?.expectedMs).to.equal(choice?.modelMs);
});

test('speeds from before a suspension of the box are not used', () => {
  const box = createBoxOfEngines(true);
  const view = viewOf(box, 'engine-2');
  expect(speedOf(box.state, view, box.nowMs)).to.be.above(1.5);
  expect(speedOf(box.state, view, box.nowMs + 60_000)).to.equal(1);
});

test('the loss of the fast engines lowers the mean speed, which the number of engines rests on', () => {
  const box = createBoxOfEngines(true);
  const before = meanSpeedOf(box.state, 'engines', box.nowMs);
  const changes = [{ id: 'engine-2', entry: undefined }];
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
  const after = meanSpeedOf(box.state, 'engines', box.nowMs);
  expect(after).to.be.below(0.8 * before);
});

/** Sends a request at the box, records its first event after a share of the model time, and returns its server. */
function sendAndReceive(box: TestBox, timeShare: number): ServerView {
  box.take({ type: 'configurationRead', configuration: configuration(), source: 'store' });
  listBoxes(box);
  const request = facts({ path: '/draft/1', promptTokens: 6000, maxOutputTokens: 10 });
  const effects = box.take({ type: 'requestArrived', exchangeId: 1, facts: request });
  const { order } = only(effects, 'send');
  const sent = ofType(effects, 'log').find(({ event }) => event === 'requestSent');
  expect(Number(sent?.fields['speed'])).to.be.above(1.5);
  expect(sent?.fields['speedAgeMs']).to.equal(0);
  const record = box.state.requests.get(1);
  const attempt = record?.attempts[0];
  if (record === undefined || attempt === undefined) throw new Error('not sent');
  const nowMs = box.nowMs + attempt.modelMs * timeShare;
  recordFirstEvent(
    box.state,
    { nowMs, wallClockMs: nowMs, effects: [], faults: [] },
    record,
    attempt,
  );
  box.nowMs = nowMs;
  return viewOf(box, order.serverId);
}

test('a fast server that answers at its own speed is not momentarily slow, and at the mean speed it is', () => {
  const atOwnSpeed = createBoxOfEngines(true);
  const usual = sendAndReceive(atOwnSpeed, 0.52);
  expect(currentSlowness(usual, atOwnSpeed.nowMs)).to.be.below(1.05);
  const atMeanSpeed = createBoxOfEngines(true);
  const slow = sendAndReceive(atMeanSpeed, 1);
  expect(currentSlowness(slow, atMeanSpeed.nowMs)).to.be.above(1.2);
});

test('a first event adds the model time, not the time at the speed, to the sums of its server', () => {
  const box = createBoxOfEngines(true);
  const recorded = sumsAt(1.7);
  const { entry } = sendAndReceive(box, 0.5);
  const known = box.state.serverSpeeds.own.get(entry.id);
  if (known === undefined) throw new Error('no sums');
  const modelMs = box.state.requests.get(1)?.attempts[0]?.modelMs ?? 0;
  const leftMs = evidenceOf(recorded) * decayFactor(box.nowMs - 1000, SPEED_HALF_LIFE_MS);
  expect(evidenceOf(known.sums)).to.be.closeTo(leftMs + modelMs, 0.01);
});
