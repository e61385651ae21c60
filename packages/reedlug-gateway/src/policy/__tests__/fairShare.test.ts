import { expect } from 'chai';
import fc from 'fast-check';
import { computeStandings, maxMinShares, standingRank, type WorkSums } from '../fairShare.js';

const requestsArbitrary = fc
  .array(fc.double({ min: 0, max: 1e6, noNaN: true }), { minLength: 1, maxLength: 30 })
  .map((amounts) => new Map(amounts.map((amount, index) => [`w${index}`, amount])));
const capacityArbitrary = fc.double({ min: 0, max: 1e7, noNaN: true });

function sum(values: Iterable<number>): number {
  return [...values].reduce((total, value) => total + value, 0);
}

test('shares never exceed requests or the capacity, and leave nothing that is requested unused', () => {
  fc.assert(
    fc.property(requestsArbitrary, capacityArbitrary, (requested, capacity) => {
      const shares = maxMinShares(requested, capacity);
      for (const [name, share] of shares) expect(share).to.be.at.most(requested.get(name) ?? 0);
      const expected = Math.min(capacity, sum(requested.values()));
      expect(sum(shares.values())).to.be.closeTo(expected, 1e-6 * Math.max(1, expected));
    }),
  );
});

test('a share below the request is at least as large, by weight, as every other one', () => {
  const weighted = fc.tuple(
    requestsArbitrary,
    fc.array(fc.double({ min: 0.1, max: 10, noNaN: true }), { minLength: 30, maxLength: 30 }),
    capacityArbitrary,
  );
  fc.assert(
    fc.property(weighted, ([requested, list, capacity]) => {
      const weights = new Map([...requested.keys()].map((name, index) => [name, list[index] ?? 1]));
      const shares = maxMinShares(requested, capacity, weights);
      const level = (name: string): number => (shares.get(name) ?? 0) / (weights.get(name) ?? 1);
      for (const [name, amount] of requested) {
        if ((shares.get(name) ?? 0) >= amount * (1 - 1e-9)) continue;
        for (const other of requested.keys()) {
          expect(level(other)).to.be.at.most(level(name) * (1 + 1e-6) + 1e-9);
        }
      }
    }),
  );
});

test('nobody is over a share while everything requested is admitted', () => {
  fc.assert(
    fc.property(requestsArbitrary, (requested) => {
      const sums = [...requested].map(([name, amount]): [string, WorkSums] => [
        name,
        { requested: amount, admitted: amount },
      ]);
      expect(computeStandings(new Map(sums)).standings.size).to.equal(0);
    }),
  );
});

test('one workspace alone, and equal workspaces, keep the usual queue while the service is short', () => {
  const alone = computeStandings(new Map([['a', { requested: 900, admitted: 600 }]]));
  expect(alone.standings.get('a')).to.deep.equal({
    kind: 'over',
    use: 1,
    queueShare: 1,
    leavesRoom: false,
  });
  const equal = computeStandings(
    new Map(['a', 'b', 'c'].map((name) => [name, { requested: 900, admitted: 600 }])),
  );
  for (const standing of equal.standings.values()) {
    expect(standing).to.deep.equal({
      kind: 'over',
      use: 1,
      queueShare: 1,
      leavesRoom: false,
    });
  }
});

test('a workspace that floods is over its share, and the others are under theirs', () => {
  const { standings, shares } = computeStandings(
    new Map([
      ['flood', { requested: 1000, admitted: 400 }],
      ['usual', { requested: 200, admitted: 150 }],
      ['small', { requested: 10, admitted: 10 }],
    ]),
  );
  expect(shares.get('flood')).to.equal(350);
  expect(standings.get('usual')).to.deep.equal({ kind: 'under' });
  expect(standings.get('small')).to.deep.equal({ kind: 'under' });
  const flood = standings.get('flood');
  expect(flood?.kind === 'over' && flood.queueShare).to.be.within(0.1, 0.5);
});

test('of two workspaces over the same share, the one that uses more of it is refused earlier', () => {
  const { standings } = computeStandings(
    new Map([
      ['more', { requested: 1000, admitted: 500 }],
      ['less', { requested: 1000, admitted: 300 }],
    ]),
  );
  const [more, less] = [standings.get('more'), standings.get('less')];
  if (more?.kind !== 'over' || less?.kind !== 'over') throw new Error('both are over');
  expect(more.queueShare).to.be.lessThan(less.queueShare);
  expect(standingRank(more)).to.be.greaterThan(standingRank(less));
});

test('requesting the same again does not increase a share beyond that of others who want more', () => {
  const share = (repeats: number): number => {
    const requested = new Map([
      ['repeats', 500 * repeats],
      ['waits', 500],
    ]);
    return maxMinShares(requested, 600).get('repeats') ?? 0;
  };
  expect(share(10)).to.equal(share(1));
});

test('malformed figures refuse nobody', () => {
  const { standings } = computeStandings(new Map([['a', { requested: 0, admitted: 0 }]]));
  expect(standings.size).to.equal(0);
  const nan = computeStandings(new Map([['a', { requested: Number.NaN, admitted: 1 }]]));
  expect(nan.standings.size).to.equal(0);
});
