import { expect } from 'chai';
import {
  configuration,
  createServingBox,
  facts,
  only,
  peerMessage,
  server,
  settings,
} from '../../../__tests__/__fixtures__/box.js';
import { sumTallies } from '../../../policy/rolloutVerdict.js';
import { AnswerEnd, evidenceOf, recordAnswer } from '../../rollouts/rolloutEvidence.js';

test('answers of a new version are compared with the model, not with the known speed of its servers', () => {
  const box = createServingBox(settings({}, { learnServerSpeeds: true }));
  const entries = [
    server('records-1', { version: 'v1' }),
    server('records-2', { version: 'v1' }),
    server('records-3', { version: 'v2' }),
  ];
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
  const unlimited = configuration({ version: 2, workspaces: [] });
  box.take({ type: 'configurationRead', configuration: unlimited, source: 'store' });
  const order = { service: 'records', targetVersion: 'v2', durationMs: 12_000, revision: 40 };
  box.take({ type: 'rolloutOrdered', order });
  const rollout = {
    order,
    phase: 'shifted' as const,
    ageMs: 10_600,
    barred: [],
    evidence: { trial: [], usual: [] },
  };
  box.take({ type: 'peerMessage', message: peerMessage({ rollouts: [rollout] }) });
  for (const { id } of entries) {
    const observedMs = id === 'records-3' ? 80_000 : 20_000;
    const sums = {
      evenExpectedMs: 20_000,
      evenObservedMs: observedMs,
      oddExpectedMs: 20_000,
      oddObservedMs: observedMs,
    };
    box.state.serverSpeeds.own.set(id, { bornAtMs: undefined, sums, atMs: 1000 });
  }
  box.pass(1000);
  const model = { baseMs: 100, tokensPerMs: 60, runningMs: 0, stayMs: 100, sends: 500 };
  box.state.engineModels.set('records', { model, fittedAtMs: box.nowMs });
  const request = facts({ key: undefined });
  const { order: sent } = only(
    box.take({ type: 'requestArrived', exchangeId: 1, facts: request }),
    'send',
  );
  expect(sent.serverId).to.equal('records-3');
  const record = box.state.requests.get(1);
  const attempt = record?.attempts[0];
  if (record === undefined || attempt === undefined) throw new Error('not sent');
  expect(attempt.expectedMs).to.be.above(1.5 * attempt.modelMs);
  // An answer is slow from three times the expected time on.
  const nowMs = box.nowMs + 3.5 * attempt.modelMs;
  expect(nowMs - box.nowMs).to.be.below(3 * attempt.expectedMs);
  recordAnswer(
    box.state,
    { nowMs, wallClockMs: nowMs, effects: [], faults: [] },
    { record, attempt, end: AnswerEnd.good },
  );
  const view = box.state.rollouts.get('records');
  if (view === undefined) throw new Error('no roll-out');
  expect(sumTallies(evidenceOf(view, []).trial)).to.include({ answers: 1, slow: 1 });
});
