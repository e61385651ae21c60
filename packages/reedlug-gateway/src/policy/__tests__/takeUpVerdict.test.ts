import { expect } from 'chai';
import { takeUpVerdict, type TakeUpEvidence } from '../takeUpVerdict.js';

function verdict(changes: Partial<TakeUpEvidence>) {
  return takeUpVerdict({
    versions: new Set(['v1']),
    haveBoxesAnswered: true,
    isEachBoxHeard: true,
    table: 'read',
    isTimeUp: false,
    ...changes,
  });
}

test('a stream goes on at the only version that can have begun it', () => {
  expect(verdict({})).to.deep.equal({ kind: 'onlyVersion', version: 'v1' });
});

test('the table alone shows that there was one version', () => {
  const { kind } = verdict({ haveBoxesAnswered: false, isEachBoxHeard: false });
  expect(kind).to.equal('onlyVersion');
});

test('all boxes together show it while the table is away', () => {
  expect(verdict({ table: 'failed' }).kind).to.equal('onlyVersion');
  expect(verdict({ table: 'failed', isEachBoxHeard: false }).kind).to.equal('unknown');
});

test('of several versions none is taken', () => {
  expect(verdict({ versions: new Set(['v1', 'v2']) }).kind).to.equal('unknown');
});

test('a stream waits for boxes that may know it, but not beyond its time', () => {
  const open = { versions: new Set(['v1', 'v2']), haveBoxesAnswered: false, isEachBoxHeard: false };
  expect(verdict(open).kind).to.equal('wait');
  expect(verdict({ ...open, isTimeUp: true }).kind).to.equal('unknown');
});

test('a box that has seen no version takes none', () => {
  expect(verdict({ versions: new Set() }).kind).to.equal('unknown');
});
