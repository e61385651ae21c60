import { expect } from 'chai';
import {
  createServingBox,
  ofType,
  only,
  server,
  takeContacts,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { begin, listEngines, passWithoutStall, takeUp } from './__fixtures__/takenUpStreams.js';

const OTHER_ENGINE = { version: 'v3' };

/** Returns a box with a stream of v1, whose server has come back as v2 before the store was restored from a copy that shows v1. */
function restoreBeforeRestart(): TestBox {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  listEngines(box, {
    'engine-1': { version: 'v1' },
    'engine-2': { ...OTHER_ENGINE, state: 'leaving' },
  });
  takeContacts(box, true);
  passWithoutStall(box, 1800);
  expect(begin(box, 1)).to.equal('v1');
  box.take({ type: 'callerGone', exchangeId: 1 });
  listEngines(box, { 'engine-1': { version: 'v2' } });
  box.take({ type: 'storeEra', era: 2 });
  const entries = [
    server('engine-1', { service: 'engines', version: 'v1' }),
    server('engine-2', { service: 'engines', ...OTHER_ENGINE, state: 'leaving' }),
  ];
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: true, changes, revision: 3, source: 'store' });
  takeContacts(box, true);
  return box;
}

test('an entry that a restore brought back does not show that its server runs that version again', () => {
  const box = restoreBeforeRestart();
  expect(ofType(takeUp(box, 2, 'request-1'), 'send')).to.have.length(0);
});

test('a server whose entry was restored takes streams of the version that it writes again', () => {
  const box = restoreBeforeRestart();
  box.pass(500);
  listEngines(box, { 'engine-1': { version: 'v1' } });
  takeContacts(box, true);
  expect(only(takeUp(box, 2, 'request-1'), 'send').order.serverId).to.equal('engine-1');
});
