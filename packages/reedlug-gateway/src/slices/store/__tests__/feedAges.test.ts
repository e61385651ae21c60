import { expect } from 'chai';
import {
  createServingBox,
  facts,
  ofType,
  only,
  server,
  storeContact,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { ServerState } from '../../../types/server.js';
import type { Effect } from '../../../types/effect.js';
import { ownFeedAgeMs } from '../feedAges.js';

function linesOf(effects: readonly Effect[], event: string) {
  return ofType(effects, 'log').filter((line) => line.event === event);
}

function readEntry(box: TestBox): Effect[] {
  const entry = server('records-1', { state: ServerState.leaving });
  const changes = [{ id: entry.id, entry }];
  return box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
}

test('each send states the age of the registry that chose its server', () => {
  const box = createServingBox();
  box.take(storeContact(true, 'servers'));
  box.pass(800);
  box.take(storeContact(true, 'operators'));
  const sent = box.take({ type: 'requestArrived', exchangeId: 1, facts: facts() });
  expect(linesOf(sent, 'requestSent')[0]?.fields['registryAgeMs']).to.equal(800);
  only(sent, 'send');
});

test('a fault states how long its call took and how long its feed has been silent', () => {
  const box = createServingBox();
  box.take(storeContact(true, 'servers'));
  box.pass(2700);
  const [line] = linesOf(box.take(storeContact(false, 'servers')), 'feedFault');
  expect(line?.fields).to.deep.equal({
    feed: 'servers',
    reason: 'silent',
    tookMs: 700,
    ageMs: 2700,
  });
});

test('a server that leaves is logged with the longest time for which its entry may have been there', () => {
  const box = createServingBox();
  box.take(storeContact(true, 'servers'));
  box.pass(1300);
  box.take(storeContact(true, 'servers'));
  expect(linesOf(readEntry(box), 'serverLeaving')[0]?.fields['gapMs']).to.equal(1300);
});

test('a registry older than the bound of draining servers is logged once, and its return', () => {
  const box = createServingBox();
  box.take(storeContact(true, 'servers'));
  expect(linesOf(box.pass(1900), 'registryOverdue')).to.have.length(0);
  expect(linesOf(box.pass(200), 'registryOverdue')[0]?.fields['ageMs']).to.equal(2100);
  expect(linesOf(box.pass(200), 'registryOverdue')).to.have.length(0);
  box.take(storeContact(true, 'servers'));
  expect(linesOf(box.pass(50), 'registryCurrent')).to.have.length(1);
});

test("an answer of the operators' feed does not make a silent registry current", () => {
  const box = createServingBox();
  box.take(storeContact(true, 'servers'));
  box.pass(2000);
  box.take(storeContact(true, 'operators'));
  expect(ownFeedAgeMs(box.state, box.nowMs)).to.equal(2000);
  const { fields } = linesOf(box.pass(100), 'registryOverdue')[0] ?? {};
  expect(fields).to.include({ ageMs: 2100, operatorsAgeMs: 100, serversAgeMs: 2100 });
});
