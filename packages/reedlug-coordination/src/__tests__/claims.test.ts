import { expect } from 'chai';
import { claimRowKey, startClaimGroup, stepClaimGroup, type PendingClaim } from '../claims.js';
import type { TableRow } from '../tableTypes.js';

function pending(key: string, operationId: string, digest = 'd'): PendingClaim {
  return {
    key,
    expectVersion: 0,
    value: {
      digest,
      holderId: 'box-1',
      incarnation: 1,
      operationId,
      requestId: `request-${operationId}`,
      outcome: undefined,
      status: undefined,
    },
  };
}

function row(claim: PendingClaim, version = 1): TableRow {
  return { key: claim.key, version, value: claim.value };
}

test('a write whose answer is lost is settled by reading back', () => {
  const own = pending('k', 'op-1');
  const { group } = startClaimGroup([own]);
  const lost = stepClaimGroup(group, { kind: 'unknown' });
  expect(lost.verdicts).deep.equal([]);
  expect(lost.next?.op).deep.equal({ kind: 'read', keys: ['k'] });
  const found = stepClaimGroup(lost.next?.group ?? group, { kind: 'done', rows: [row(own)] });
  expect(found.verdicts.map((verdict) => verdict.kind)).deep.equal(['held']);
});

test('a write that did not take effect is repeated', () => {
  const { group } = startClaimGroup([pending('k', 'op-1')]);
  const lost = stepClaimGroup(group, { kind: 'unknown' });
  const absent = stepClaimGroup(lost.next?.group ?? group, { kind: 'done', rows: [] });
  expect(absent.next?.op.kind).equal('transact');
});

test('a taken key is removed and the rest of its group is written again', () => {
  const other = pending('k1', 'op-other');
  const { group } = startClaimGroup([pending('k1', 'op-1'), pending('k2', 'op-2')]);
  const step = stepClaimGroup(group, { kind: 'refused', reason: 'conflict', rows: [row(other)] });
  expect(step.verdicts.map((verdict) => verdict.kind)).deep.equal(['taken']);
  expect(step.next?.group.claims.map((claim) => claim.key)).deep.equal(['k2']);
});

test('the same key with another digest is refused', () => {
  const other = pending('k', 'op-other', 'another');
  const { group } = startClaimGroup([pending('k', 'op-1')]);
  const step = stepClaimGroup(group, { kind: 'refused', reason: 'conflict', rows: [row(other)] });
  expect(step.verdicts.map((verdict) => verdict.kind)).deep.equal(['digestDiffers']);
});

test('claims become unavailable when the table never answers', () => {
  let { group } = startClaimGroup([pending('k', 'op-1')]);
  for (;;) {
    const step = stepClaimGroup(group, { kind: 'unknown' });
    if (step.next === undefined) {
      expect(step.verdicts.map((verdict) => verdict.kind)).deep.equal(['unavailable']);
      return;
    }
    group = step.next.group;
  }
});

test('no two workspaces and keys share a row', () => {
  expect(claimRowKey('a/b', 'c')).not.equal(claimRowKey('a', 'b/c'));
});
