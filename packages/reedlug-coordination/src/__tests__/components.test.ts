import { expect } from 'chai';
import { breakerAllows, recordBreakerResult, createBreaker } from '../breaker.js';
import { applyDeltas, applySnapshot, createConfigReplica, deltasAfter } from '../configReplica.js';
import { createFairQueue, pushFair, takeFair } from '../fairQueue.js';
import {
  createMembership,
  membershipTick,
  recordMemberStatement,
  acceptsNewWork,
} from '../membership.js';
import { hashString, rendezvousWeight } from '../rendezvous.js';
import { createRetryBudget, recordFirstTry, takeRetry } from '../retryBudget.js';
import { shareOfLimit } from '../sharedLimit.js';
import { createTokenBucket, takeTokens } from '../tokenBucket.js';

function delta(revision: number) {
  const changes = [{ name: 'a', value: revision }];
  return { revision, planId: `p${revision}`, author: 'o', changes };
}

test('deltas out of order wait until the gap is filled', () => {
  const replica = createConfigReplica();
  expect(applyDeltas(replica, [delta(2), delta(3)])).deep.equal([]);
  expect(replica.revision).equal(0);
  expect(applyDeltas(replica, [delta(1)]).map(({ revision }) => revision)).deep.equal([1, 2, 3]);
  expect(applyDeltas(replica, [delta(2)])).deep.equal([]);
  expect(replica.items.get('a')?.value).equal(3);
});

test('an older snapshot is not applied', () => {
  const replica = createConfigReplica();
  applyDeltas(replica, [delta(1), delta(2)]);
  expect(applySnapshot(replica, { revision: 1, items: [] })).equal(false);
  expect(replica.revision).equal(2);
  expect(deltasAfter(replica, 0, 10)?.length).equal(2);
  applySnapshot(replica, { revision: 9, items: [] });
  expect(deltasAfter(replica, 2, 10)).equal(undefined);
});

test('a member that only the list names gets no work', () => {
  const membership = createMembership({ suspectAfterMs: 100, deadAfterMs: 500 });
  const listed = { kind: 'listed', incarnation: 1, zone: 'z', leaving: false } as const;
  const member = recordMemberStatement(membership, 'm', listed, 0);
  expect(member !== undefined && acceptsNewWork(member)).equal(false);
});

test('silence makes a member suspect, then dead', () => {
  const membership = createMembership({ suspectAfterMs: 100, deadAfterMs: 500 });
  recordMemberStatement(membership, 'm', { kind: 'heard', incarnation: 1, zone: 'z' }, 0);
  expect(membershipTick(membership, 101).map(({ state }) => state)).deep.equal(['suspect']);
  expect(membershipTick(membership, 501).map(({ state }) => state)).deep.equal(['dead']);
});

test('a late statement about an older incarnation changes nothing', () => {
  const membership = createMembership({ suspectAfterMs: 100, deadAfterMs: 500 });
  recordMemberStatement(membership, 'm', { kind: 'heard', incarnation: 2, zone: 'z' }, 0);
  const old = { kind: 'leaving', incarnation: 1, leavesAtMs: 5, source: 'peer' } as const;
  expect(recordMemberStatement(membership, 'm', old, 1)).equal(undefined);
  expect(membership.members.get('m')?.state).equal('live');
});

test('shares of a limit sum to the limit', () => {
  const entries = ['a', 'b', 'c'].map((boxId, index) => ({ boxId, demandPerSecond: index * 7 }));
  const sum = entries.reduce((total, { boxId }) => total + shareOfLimit(90, boxId, entries), 0);
  expect(sum).closeTo(90, 1e-9);
  expect(shareOfLimit(90, 'stranger', entries)).equal(0);
});

test('retries are a share of first tries', () => {
  const budget = createRetryBudget(0.1, 2);
  expect([takeRetry(budget), takeRetry(budget), takeRetry(budget)]).deep.equal([true, true, false]);
  for (let index = 0; index < 11; index += 1) recordFirstTry(budget);
  expect([takeRetry(budget), takeRetry(budget)]).deep.equal([true, false]);
});

test('an open breaker allows one probe', () => {
  const breaker = createBreaker(2, 100);
  recordBreakerResult(breaker, false, 0);
  recordBreakerResult(breaker, false, 0);
  expect(breakerAllows(breaker, 50)).equal(false);
  expect([breakerAllows(breaker, 101), breakerAllows(breaker, 101)]).deep.equal([true, false]);
  recordBreakerResult(breaker, true, 102);
  expect(breakerAllows(breaker, 103)).equal(true);
});

test('a token bucket returns the time until it has enough tokens', () => {
  const bucket = createTokenBucket(10, 1, 0);
  expect(takeTokens(bucket, 1, 0)).equal(0);
  expect(takeTokens(bucket, 1, 0)).equal(100);
  expect(takeTokens(bucket, 1, 100)).equal(0);
});

test('a fair queue gives owners equal work', () => {
  const queue = createFairQueue(10);
  for (let index = 0; index < 30; index += 1) {
    pushFair(queue, { id: `long${index}`, ownerId: 'long', cost: 30 });
    pushFair(queue, { id: `short${index}`, ownerId: 'short', cost: 10 });
  }
  const taken = Array.from({ length: 20 }, () => takeFair(queue, () => true)?.ownerId);
  expect(taken.filter((owner) => owner === 'short').length).within(14, 16);
});

test('an entry that is not accepted does not block those behind it', () => {
  const queue = createFairQueue(10);
  pushFair(queue, { id: 'waits', ownerId: 'o', cost: 1 });
  pushFair(queue, { id: 'goes', ownerId: 'o', cost: 1 });
  expect(takeFair(queue, ({ id }) => id === 'goes')?.id).equal('goes');
  expect(takeFair(queue, () => true)?.id).equal('waits');
  expect(queue.size).equal(0);
});

test('losing a server moves only its own keys', () => {
  const servers = ['a', 'b', 'c', 'd'].map((id) => ({ id, hash: hashString(id) }));
  const first = (key: number, among: typeof servers): string => {
    const best = [...among].sort(
      (x, y) => rendezvousWeight(key, y.hash) - rendezvousWeight(key, x.hash),
    );
    return best[0]?.id ?? '';
  };
  const left = servers.filter(({ id }) => id !== 'c');
  for (let key = 0; key < 200; key += 1) {
    const before = first(hashString(`key-${key}`), servers);
    if (before !== 'c') expect(first(hashString(`key-${key}`), left)).equal(before);
  }
});
