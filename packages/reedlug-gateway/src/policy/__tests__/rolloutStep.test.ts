import { expect } from 'chai';
import { RolloutPhase } from '../../types/rollout.js';
import {
  laterPhase,
  nextPhase,
  shareOfPhase,
  spreadSample,
  type RolloutProgress,
} from '../rolloutStep.js';
import { Verdict } from '../rolloutVerdict.js';

const ALLOWED_SHARE = 0.1;

function facts(changes: Partial<RolloutProgress> = {}): RolloutProgress {
  return {
    phase: RolloutPhase.sampling,
    ageMs: 3000,
    durationMs: 12_000,
    verdict: Verdict.good,
    newServers: 10,
    oldServers: 10,
    oldAnswers: 100,
    ...changes,
  };
}

test('a bad version is rolled back from any phase', () => {
  const phases = [RolloutPhase.sampling, RolloutPhase.widened, RolloutPhase.shifted];
  for (const phase of phases) {
    expect(nextPhase(facts({ phase, verdict: Verdict.bad }))).to.equal(RolloutPhase.rolledBack);
  }
});

test('the phase does not change while the recorded one is unknown', () => {
  const held = facts({ phase: RolloutPhase.held, ageMs: 60_000, verdict: Verdict.bad });
  expect(nextPhase(held)).to.equal(RolloutPhase.held);
});

test('a version without enough evidence by the deadline is rolled back', () => {
  expect(nextPhase(facts({ ageMs: 11_600, verdict: Verdict.unknown }))).to.equal(
    RolloutPhase.rolledBack,
  );
  expect(nextPhase(facts({ ageMs: 11_600, newServers: 1 }))).to.equal(RolloutPhase.rolledBack);
});

test('a roll-out is completed at once if only the target version serves', () => {
  expect(nextPhase(facts({ oldServers: 0, oldAnswers: 0 }))).to.equal(RolloutPhase.completed);
  expect(nextPhase(facts({ oldServers: 0 }))).to.equal(RolloutPhase.sampling);
});

test('a version that fails only under full load gets less than the bound before it is found bad', () => {
  const foundAfterMs = 700;
  for (const durationMs of [12_000, 20_000, 60_000]) {
    let phase: RolloutPhase = RolloutPhase.sampling;
    let [exposedMs, shiftedMs] = [0, 0];
    const tickMs = 50;
    for (let ageMs = 0; ageMs < durationMs; ageMs += tickMs) {
      const verdict = shiftedMs >= foundAfterMs ? Verdict.bad : Verdict.good;
      phase = nextPhase(facts({ phase, ageMs, durationMs, verdict }));
      if (phase === RolloutPhase.shifted) shiftedMs += tickMs;
      exposedMs += tickMs * shareOfPhase(phase, ALLOWED_SHARE);
    }
    expect(phase).to.equal(RolloutPhase.rolledBack);
    // At 187 requests a second, the 50 requests on top correspond to 0.27 s.
    expect(exposedMs).to.be.lessThan(durationMs * ALLOWED_SHARE + 270);
  }
});

test('a good version is completed before its deadline', () => {
  let phase: RolloutPhase = RolloutPhase.sampling;
  let ageMs = 0;
  for (; phase !== RolloutPhase.completed && ageMs < 20_000; ageMs += 50) {
    phase = nextPhase(facts({ phase, ageMs }));
  }
  expect(ageMs).to.be.within(11_000, 11_700);
});

test('rare routes get as large a sample as frequent ones', () => {
  const answers = new Map([
    ['draft', 400],
    ['review', 900],
    ['check', 100],
  ]);
  const shares = spreadSample(0.04, answers);
  const taken = [...answers].map(([route, count]) => count * (shares.get(route) ?? 0));
  expect(Math.max(...taken)).to.be.closeTo(Math.min(...taken), 1e-9);
  expect(taken.reduce((sum, count) => sum + count)).to.be.closeTo(1400 * 0.04, 1e-9);
  expect(
    spreadSample(
      0.04,
      new Map([
        ['rare', 1],
        ['usual', 1000],
      ]),
    ).get('rare'),
  ).to.equal(0.3);
});

test('boxes that exchange their phases agree', () => {
  expect(laterPhase(RolloutPhase.shifted, RolloutPhase.rolledBack)).to.equal('rolledBack');
  expect(laterPhase(RolloutPhase.completed, RolloutPhase.rolledBack)).to.equal('completed');
  expect(laterPhase(RolloutPhase.sampling, RolloutPhase.held)).to.equal('sampling');
});
