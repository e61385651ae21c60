import { expect } from 'chai';
import {
  createBox,
  createServingBox,
  ofType,
  peerMessage,
} from '../../../__tests__/__fixtures__/box.js';
import { passAsHolder, takeLease } from '../../../__tests__/__fixtures__/lease.js';

test('a box logs a restore of the store once, with both eras', () => {
  const box = createBox();
  const linesOf = (era: number) => ofType(box.take({ type: 'storeEra', era }), 'log');
  expect(linesOf(3).map(({ event }) => event)).to.deep.equal(['storeEraFirst']);
  expect(linesOf(3)).to.deep.equal([]);
  const [line] = linesOf(5);
  expect(line?.event).to.equal('storeCameBack');
  expect(line?.fields).to.include({ before: 3, era: 5 });
  expect(linesOf(4)).to.deep.equal([]);
  expect(box.state.storeEra).to.equal(5);
});

test('the holder of the lease writes the agreed clock offset again, unchanged', () => {
  const box = createServingBox();
  box.take({ type: 'peerMessage', message: peerMessage({ clockOffsetMs: 77 }) });
  box.take({ type: 'storeClock', storeNowMs: 0 });
  box.take({ type: 'storeEra', era: 1 });
  takeLease(box);
  const clockWrites = (ms: number) =>
    ofType(passAsHolder(box, ms), 'requestTable').filter(({ purpose }) => purpose.kind === 'clock');
  expect(clockWrites(2000)).to.deep.equal([]);
  box.take({ type: 'storeEra', era: 2 });
  const [write] = clockWrites(1500);
  if (write?.op.kind !== 'transact') throw new Error('expected a write of the clock offset');
  expect(write.op.writes[0]).to.deep.include({ expectVersion: 0, value: { offsetMs: 77 } });
  const rows = [{ key: 'clock-offset', version: 3, value: { offsetMs: 78 } }];
  const answer = { kind: 'refused' as const, reason: 'conflict' as const, rows };
  box.take({ type: 'tableAnswered', purpose: { kind: 'clock' }, answer, sentAtMs: box.nowMs });
  expect(clockWrites(2000)).to.deep.equal([]);
  expect(box.state.agreedClockOffsetMs).to.equal(77);
});

test('a new era is also learned from two messages of peers, not from one, and all collections are read again once', () => {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  const receive = (storeEra: number, sequence: number) =>
    box.take({ type: 'peerMessage', message: peerMessage({ storeEra, sequence }) });
  expect(ofType(receive(9, 1), 'readStoreAgain')).to.have.length(0);
  expect(ofType(receive(3, 2), 'readStoreAgain')).to.have.length(0);
  expect(box.state.storeEra).to.equal(1);
  expect(ofType(receive(3, 3), 'readStoreAgain')).to.have.length(1);
  expect(ofType(receive(3, 4), 'readStoreAgain')).to.have.length(0);
  expect(ofType(receive(2, 5), 'readStoreAgain')).to.have.length(0);
  expect(ofType(box.take({ type: 'storeEra', era: 3 }), 'readStoreAgain')).to.have.length(0);
});
