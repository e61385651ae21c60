import { expect } from 'chai';
import { ofType, only } from '../../../__tests__/__fixtures__/box.js';
import type { ServedVersionsRow } from '../../../types/streamVersion.js';
import { takeUp } from './__fixtures__/takenUpStreams.js';
import {
  answerRead,
  answerWrite,
  awaitListing,
  createBox,
  ERA,
  passUntilWrite,
  REVISION,
  rowOf,
  writesOf,
} from './__fixtures__/versionsRowBox.js';

test('a row of an earlier era lists no version, as the backup may lack later ones', () => {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v1' });
  const { effects } = awaitListing(box);
  const found = rowOf({ services: { engines: { v1: null } }, era: ERA - 1 });
  expect(ofType(answerWrite(box, effects, found), 'listingEnded')).to.have.length(0);
  const [again] = writesOf(passUntilWrite(box));
  expect(again?.expectVersion).to.equal(REVISION);
  expect((again?.value as ServedVersionsRow).era).to.equal(ERA);
});

test('a row that was restored after the loss of all boxes is no proof, nor is it once one of them writes it', () => {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v1' });
  box.take({ type: 'storeClock', storeNowMs: 100_000 });
  takeUp(box, 1, 'request-8');
  const restored = rowOf({ services: { engines: { v1: null } }, era: ERA - 1 });
  const refused = only(answerRead(box, [restored]), 'refuse');
  expect(refused.reason).to.equal('streamVersionUnknown');
  const effects = passUntilWrite(box);
  answerWrite(box, effects);
  takeUp(box, 2, 'request-9');
  const [written] = writesOf(effects);
  const row = rowOf(written?.value as ServedVersionsRow);
  expect(only(answerRead(box, [row]), 'refuse').reason).to.equal('streamVersionUnknown');
});

// A store that is restored twice around a loss of all boxes shows those that have just started a new era.
test('a restored row is proof only if the box that writes it knew the row before the restore', () => {
  for (const knewRow of [false, true]) {
    const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v1' });
    box.take({ type: 'storeClock', storeNowMs: 100_000 });
    const row = rowOf({ services: { engines: { v1: null } } });
    takeUp(box, 1, 'request-7');
    if (knewRow) answerRead(box, [row]);
    box.take({ type: 'storeEra', era: ERA + 1 });
    takeUp(box, 2, 'request-8');
    answerRead(box, [row]);
    const effects = passUntilWrite(box);
    const [written] = writesOf(effects);
    expect((written?.value as ServedVersionsRow).era).to.equal(ERA + 1);
    answerWrite(box, effects);
    takeUp(box, 3, 'request-9');
    const after = answerRead(box, [rowOf(written?.value as ServedVersionsRow)]);
    expect(ofType(after, 'send'), `knew the row: ${knewRow}`).to.have.length(knewRow ? 1 : 0);
  }
});

test('a row that is written anew after a restore which lost it is no proof at once', () => {
  const box = createBox({ 'engine-1': 'v2', 'engine-2': 'v2' });
  box.take({ type: 'storeClock', storeNowMs: 100_000 });
  takeUp(box, 1, 'request-8');
  expect(only(answerRead(box, []), 'refuse').reason).to.equal('streamVersionUnknown');
  const effects = passUntilWrite(box);
  answerWrite(box, effects);
  takeUp(box, 2, 'request-9');
  const row = rowOf(writesOf(effects)[0]?.value as ServedVersionsRow);
  const read = answerRead(box, [row]);
  expect(ofType(read, 'send').map(({ order }) => order.serverId)).to.deep.equal([]);
  expect(only(read, 'refuse').reason).to.equal('streamVersionUnknown');
});

test('a row that was no proof is none after a second restore either', () => {
  const box = createBox({ 'engine-1': 'v2', 'engine-2': 'v2' });
  box.take({ type: 'storeClock', storeNowMs: 100_000 });
  const copy = rowOf({ services: { engines: { v2: null } }, era: ERA - 1 });
  takeUp(box, 1, 'request-8');
  answerRead(box, [copy]);
  answerWrite(box, passUntilWrite(box));
  box.take({ type: 'storeEra', era: ERA + 1 });
  takeUp(box, 2, 'request-9');
  answerRead(box, [copy]);
  const [again] = writesOf(passUntilWrite(box));
  const { completeSinceMs } = again?.value as ServedVersionsRow;
  expect(completeSinceMs).to.be.at.least(100_000);
});
