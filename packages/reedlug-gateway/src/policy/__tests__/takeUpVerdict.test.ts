import { expect } from 'chai';
import { VersionProof } from '../../types/streamVersion.js';
import { takeUpVerdict, type TakeUpEvidence, type TableEvidence } from '../takeUpVerdict.js';

function verdict(changes: Partial<TakeUpEvidence>) {
  return takeUpVerdict({
    table: listed(['v1']),
    seenVersions: new Set(['v1']),
    haveBoxesAnswered: true,
    isWitnessed: false,
    isTimeUp: false,
    ...changes,
  });
}

function listed(versions: readonly string[], earlier?: readonly string[]): TableEvidence {
  const earlierVersions = earlier === undefined ? undefined : new Set(earlier);
  return { kind: 'listed', versions: new Set(versions), earlier: earlierVersions };
}

test('a stream goes on at the only version that can have begun it', () => {
  const { listed: proof } = VersionProof;
  expect(verdict({})).to.deep.equal({ kind: 'onlyVersion', version: 'v1', proof });
});

test('the table alone shows that there was one version', () => {
  expect(verdict({ haveBoxesAnswered: false }).kind).to.equal('onlyVersion');
});

test('what serves now does not count as what served when a stream began', () => {
  const seenVersions = new Set(['v2']);
  const proven = verdict({ seenVersions });
  expect(proven).to.include({ kind: 'onlyVersion', version: 'v1' });
  expect(verdict({ seenVersions, table: { kind: 'nothing' } }).kind).to.equal('unknown');
  expect(verdict({ seenVersions, table: { kind: 'pending' } }).kind).to.equal('wait');
});

test('a box that has not answered may have begun streams at a version that is not listed', () => {
  const open = { seenVersions: new Set(['v1', 'v2']), haveBoxesAnswered: false };
  expect(verdict(open).kind).to.equal('wait');
  expect(verdict({ ...open, isTimeUp: true }).kind).to.equal('unknown');
});

test('a version that was listed since the last end of a box began no stream that no box knows', () => {
  const table = listed(['v1', 'v2'], ['v1']);
  expect(verdict({ table })).to.include({
    kind: 'onlyVersion',
    version: 'v1',
    proof: VersionProof.listedBeforeLifeEnds,
  });
  expect(verdict({ table, haveBoxesAnswered: false }).kind).to.equal('wait');
  expect(verdict({ table, haveBoxesAnswered: false, isTimeUp: true }).kind).to.equal('unknown');
});

test('where it is not known when a box last ended each listed version counts', () => {
  expect(verdict({ table: listed(['v1', 'v2']) }).kind).to.equal('unknown');
});

test('a box that has just started waits until it knows which boxes run, but not beyond its time', () => {
  const table = { ...listed(['v1', 'v2']), earlier: 'pending' as const } as TableEvidence;
  expect(verdict({ table }).kind).to.equal('wait');
  expect(verdict({ table, isTimeUp: true }).kind).to.equal('unknown');
});

test('a row that a restore may have cut short counts with a box that has seen more', () => {
  const table = { kind: 'restored' as const, versions: new Set(['v1']) };
  const proof = VersionProof.listedBeforeRestore;
  expect(verdict({ table, isWitnessed: true })).to.include({ version: 'v1', proof });
  expect(verdict({ table }).kind).to.equal('unknown');
  const seenVersions = new Set(['v2']);
  expect(verdict({ table, seenVersions, isWitnessed: true }).kind).to.equal('unknown');
  expect(verdict({ table, haveBoxesAnswered: false, isTimeUp: true }).kind).to.equal('unknown');
});

test('all boxes together show it while the table is away', () => {
  const table = { kind: 'nothing' as const };
  const proof = VersionProof.boxes;
  expect(verdict({ table, isWitnessed: true })).to.include({ kind: 'onlyVersion', proof });
  expect(verdict({ table, isWitnessed: false }).kind).to.equal('unknown');
});

test('of several versions none is taken', () => {
  const seenVersions = new Set(['v1', 'v2']);
  expect(verdict({ table: listed(['v1', 'v2'], ['v1', 'v2']) }).kind).to.equal('unknown');
  const table = { kind: 'nothing' as const };
  expect(verdict({ table, seenVersions, isWitnessed: true }).kind).to.equal('unknown');
});

test('a stream waits for boxes that may know it, but not beyond its time', () => {
  const open = { table: listed(['v1', 'v2']), haveBoxesAnswered: false };
  expect(verdict(open).kind).to.equal('wait');
  expect(verdict({ ...open, isTimeUp: true }).kind).to.equal('unknown');
});

test('a box that has seen no version takes none', () => {
  const table = { kind: 'nothing' as const };
  expect(verdict({ table, seenVersions: new Set(), isWitnessed: true }).kind).to.equal('unknown');
});
