import { expect } from 'chai';
import {
  answerWithRevisions,
  eraOf,
  storeRevision,
  versionOf,
  withStoreVersions,
} from '../index.js';

const OLD = storeRevision({ era: 1, version: 900 });
const NEW = storeRevision({ era: 2, version: 7 });

test('a revision of a later era is greater, and era and version can be read from it', () => {
  expect(NEW).to.be.greaterThan(OLD);
  expect([eraOf(OLD), versionOf(OLD)]).to.deep.equal([1, 900]);
  expect(storeRevision({ era: 0, version: 900 })).to.equal(900);
  const last = storeRevision({ era: 8191, version: 2 ** 40 - 1 });
  expect(Number.isSafeInteger(last)).to.equal(true);
});

test('the answer to a write that replaced a row expected in another era is unknown', () => {
  const writeOn = (expectVersion: number) => ({
    kind: 'transact' as const,
    writes: [{ key: 'a', expectVersion, value: 1 }],
  });
  expect(withStoreVersions(writeOn(OLD)).writes[0]?.expectVersion).to.equal(900);
  const done = { kind: 'done' as const, rows: [{ key: 'a', version: 8, value: 1 }] };
  expect(answerWithRevisions(writeOn(OLD), done, 2)).to.deep.equal({ kind: 'unknown' });
  for (const expected of [0, NEW]) {
    const answer = answerWithRevisions(writeOn(expected), done, 2);
    const version = storeRevision({ era: 2, version: 8 });
    expect(answer).to.deep.equal({ kind: 'done', rows: [{ key: 'a', version, value: 1 }] });
  }
});

test('a write that expects a row of another era is refused with the row in conflict', () => {
  const op = { kind: 'transact' as const, writes: [{ key: 'a', expectVersion: OLD, value: 1 }] };
  const rows = [{ key: 'a', version: 5, value: 2 }];
  const answer = answerWithRevisions(op, { kind: 'refused', reason: 'conflict', rows }, 2);
  const version = storeRevision({ era: 2, version: 5 });
  expect(answer).to.deep.equal({
    kind: 'refused',
    reason: 'conflict',
    rows: [{ key: 'a', version, value: 2 }],
  });
});
