import { expect } from 'chai';
import type { TrialTally, BaselineTally } from '../../types/rollout.js';
import { evaluateRollout, Verdict } from '../rolloutVerdict.js';

function trial(changes: Partial<TrialTally> = {}): TrialTally {
  return { route: 'draft', serverId: '', answers: 0, failed: 0, slow: 0, ...changes };
}

function usual(changes: Partial<BaselineTally> = {}): BaselineTally {
  return { route: 'draft', answers: 400, failed: 2, slow: 8, ...changes };
}

function verdictOf(trials: TrialTally[], usuals: BaselineTally[] = [usual()]): Verdict {
  return evaluateRollout({ trial: trials, usual: usuals }).verdict;
}

test('a few answers give no verdict', () => {
  expect(verdictOf([])).to.equal(Verdict.unknown);
  expect(verdictOf([trial({ answers: 5 })])).to.equal(Verdict.unknown);
  expect(verdictOf([trial({ answers: 3, failed: 1 })])).to.equal(Verdict.unknown);
});

test('a version that answers like the old one is good', () => {
  expect(verdictOf([trial({ answers: 40 })])).to.equal(Verdict.good);
  expect(verdictOf([trial({ answers: 60, failed: 1, slow: 2 })])).to.equal(Verdict.good);
});

test('failures and slow answers make a version bad', () => {
  expect(verdictOf([trial({ answers: 12, failed: 4 })])).to.equal(Verdict.bad);
  expect(verdictOf([trial({ answers: 12, slow: 6 })])).to.equal(Verdict.bad);
});

test('faults that the old version shows as well give no verdict', () => {
  const burst = usual({ answers: 400, failed: 120, slow: 200 });
  expect(verdictOf([trial({ answers: 30, failed: 9, slow: 15 })], [burst])).not.to.equal(
    Verdict.bad,
  );
});

test('a version that is bad on one rare route is bad', () => {
  const trials = [
    trial({ route: 'chat', answers: 80 }),
    trial({ route: 'draft', answers: 8, failed: 4 }),
  ];
  const usuals = [usual({ route: 'chat', answers: 900 }), usual({ answers: 90, slow: 1 })];
  expect(verdictOf(trials, usuals)).to.equal(Verdict.bad);
});

test('a version that becomes bad after a good start is bad by its recent answers', () => {
  const ever = { trial: [trial({ answers: 150, failed: 5 })], usual: [usual({ answers: 2000 })] };
  const lately = {
    trial: [trial({ answers: 12, failed: 5 })],
    usual: [usual({ answers: 60, failed: 0 })],
  };
  expect(evaluateRollout(ever).verdict).to.equal(Verdict.good);
  expect(evaluateRollout(ever, [lately]).verdict).to.equal(Verdict.bad);
});

test('recent failures of both versions give no verdict', () => {
  const ever = { trial: [trial({ answers: 150, failed: 5 })], usual: [usual({ answers: 2000 })] };
  const lately = {
    trial: [trial({ answers: 12, failed: 5 })],
    usual: [usual({ answers: 60, failed: 25 })],
  };
  expect(evaluateRollout(ever, [lately]).verdict).not.to.equal(Verdict.bad);
});

test('one failing server among several does not make the version bad', () => {
  const trials = ['a', 'b', 'c', 'd'].map((serverId) =>
    trial({ serverId, answers: 10, failed: serverId === 'c' ? 9 : 0 }),
  );
  expect(verdictOf(trials)).not.to.equal(Verdict.bad);
});

test('wrong verdicts are rare', () => {
  // The verdict is checked after each answer, for as many answers as a roll-out of 12 s gathers.
  let seed = 1;
  const chance = (share: number): boolean => {
    seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
    return seed / 2_147_483_648 < share;
  };
  const play = (badShare: number): Verdict => {
    const tally = trial();
    for (let answer = 0; answer < 120; answer += 1) {
      tally.answers += 1;
      if (chance(badShare)) tally.failed += 1;
      const verdict = verdictOf([tally], [usual({ answers: 1200, failed: 24 })]);
      if (verdict === Verdict.bad) return verdict;
    }
    return verdictOf([tally]);
  };
  const count = (badShare: number, wanted: Verdict): number =>
    Array.from({ length: 1000 }, () => play(badShare)).filter((found) => found === wanted).length;
  expect(count(0.02, Verdict.bad), 'sound ones called bad').to.be.lessThan(20);
  expect(count(0.2, Verdict.good), 'bad ones called good').to.be.lessThan(10);
});
