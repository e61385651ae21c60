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

test('a bad version goes back from wherever it is', () => {
  const phases = [RolloutPhase.sampling, RolloutPhase.widened, RolloutPhase.shifted];
  for (const phase of phases) {
    expect(nextPhase(facts({ phase, verdict: Verdict.bad }))).to.equal(RolloutPhase.rolledBack);
  }
});

test('nothing moves before a box knows how far it was', () => {
  const held = facts({ phase: RolloutPhase.held, ageMs: 60_000, verdict: Verdict.bad });
  expect(nextPhase(held)).to.equal(RolloutPhase.held);
});

test('a version of which too little is known by the deadline goes back', () => {
  expect(nextPhase(facts({ ageMs: 11_600, verdict: Verdict.unknown }))).to.equal(
    RolloutPhase.rolledBack,
  );
  expect(nextPhase(facts({ ageMs: 11_600, newServers: 1 }))).to.equal(RolloutPhase.rolledBack);
});

test('where the target serves alone it is completed at once', () => {
  expect(nextPhase(facts({ oldServers: 0, oldAnswers: 0 }))).to.equal(RolloutPhase.completed);
  expect(nextPhase(facts({ oldServers: 0 }))).to.equal(RolloutPhase.sampling);
});

test('a version that is bad only under full load has had less than the bound when it is found', () => {
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
    // 187 requests a second: 50 on top are 0.27 s of them.
    expect(exposedMs).to.be.lessThan(durationMs * ALLOWED_SHARE + 270);
  }
});

test('a sound version is completed before its deadline', () => {
  let phase: RolloutPhase = RolloutPhase.sampling;
  let ageMs = 0;
  for (; phase !== RolloutPhase.completed && ageMs < 20_000; ageMs += 50) {
    phase = nextPhase(facts({ phase, ageMs }));
  }
  expect(ageMs).to.be.within(11_000, 11_700);
});

test('seldom routes get as large a sample as frequent ones', () => {
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

test('boxes that tell each other their phases agree', () => {
  expect(laterPhase(RolloutPhase.shifted, RolloutPhase.rolledBack)).to.equal('rolledBack');
  expect(laterPhase(RolloutPhase.completed, RolloutPhase.rolledBack)).to.equal('completed');
  expect(laterPhase(RolloutPhase.sampling, RolloutPhase.held)).to.equal('sampling');
});
