import { expect } from 'chai';
import fc from 'fast-check';
import { hashString } from 'reedlug-coordination';
import { createBox, server } from '../../__tests__/__fixtures__/box.js';
import type { ServerView } from '../../types/views.js';
import { highestRanked } from '../highestRanked.js';
import { highestWeighted } from '../highestWeighted.js';

function createServers(count: number): ServerView[] {
  const box = createBox();
  const entries = Array.from({ length: count }, (_, index) => server(`engine-${index}`));
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  return [...box.state.servers.values()];
}

const servers = createServers(60);

test('with equal weights the ranks are those without weights', () => {
  fc.assert(
    fc.property(fc.string(), fc.integer({ min: 1, max: 8 }), (key, count) => {
      const keyHash = hashString(key);
      const weighted = highestWeighted(servers, {
        ...{ keyHash, count, maxWeight: 1, weightOf: () => 1 },
      });
      expect(weighted).to.deep.equal(highestRanked(servers, keyHash, count));
    }),
  );
});

test('a server holds keys in proportion to its weight', () => {
  // Equal shares would fill the slow servers while the fast ones, with most of the capacity, idle.
  const weights = new Map(servers.map((view, index) => [view, index % 3 === 0 ? 1.7 : 0.7]));
  const held = new Map<number, number>();
  const keys = 20_000;
  for (let key = 0; key < keys; key += 1) {
    const [view] = highestWeighted(servers, {
      keyHash: hashString(`part-${key}`),
      count: 1,
      maxWeight: 1.7,
      weightOf: (candidate) => weights.get(candidate) ?? 0,
    });
    const weight = view === undefined ? 0 : (weights.get(view) ?? 0);
    held.set(weight, (held.get(weight) ?? 0) + 1);
  }
  const fastShare = (20 * 1.7) / (20 * 1.7 + 40 * 0.7);
  expect((held.get(1.7) ?? 0) / keys).to.be.closeTo(fastShare, 0.015);
});

test('a faster server takes keys over, and no other server gains any', () => {
  const [changed] = servers;
  for (let key = 0; key < 2000; key += 1) {
    const first = (weight: number): ServerView | undefined =>
      highestWeighted(servers, {
        keyHash: hashString(`part-${key}`),
        count: 1,
        maxWeight: 2,
        weightOf: (view) => (view === changed ? weight : 1),
      })[0];
    const [before, after] = [first(1), first(2)];
    if (after !== changed) expect(after).to.equal(before);
  }
});

test('the bound on weights leaves out no server that ranks high', () => {
  fc.assert(
    fc.property(
      fc.string(),
      fc.array(fc.double({ min: 0, max: 4, noNaN: true }), { minLength: 60, maxLength: 60 }),
      (key, weights) => {
        const weightOf = (view: ServerView): number => weights[servers.indexOf(view)] ?? 0;
        const ranks = (maxWeight: number): ServerView[] =>
          highestWeighted(servers, { keyHash: hashString(key), count: 4, maxWeight, weightOf });
        expect(ranks(4)).to.deep.equal(ranks(Number.MAX_VALUE));
      },
    ),
  );
});
