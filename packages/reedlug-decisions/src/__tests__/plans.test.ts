import { expect } from 'chai';
import {
  createTestBox,
  effectOf,
  effectsOf,
  reportServer,
  testDraft,
  testEngine,
  type TestBox,
} from './__fixtures__/testBox.js';
import { movedShare } from '../plans/rules.js';
import type { Plan } from '../types/plan.js';

const MOVE = {
  toSite: 'new',
  startsAtEpochMs: 0,
  endsAtEpochMs: 1000,
  steps: 4,
  haltedAtShare: undefined,
};

function movingBox(): TestBox {
  const servers = [testEngine('engine-1'), testEngine('engine-2', { zone: 'zone-b', slots: 100 })];
  const box = createTestBox({ servers });
  const item = { value: MOVE, revision: 1, planId: 'move', author: 'operator' };
  box.state.config.items.set('poolMove/draft', item);
  box.state.config.revision = 1;
  box.state.epochMs = 1000;
  reportServer(box, 5, 'engine-2');
  return box;
}

function planOf(box: TestBox, planId: string): Plan {
  const intent = { kind: 'setPriority', workspaceId: 'lab', requestClass: 'urgent' } as const;
  const ask = { kind: 'plan', operatorId: planId, planId, intent } as const;
  const effects = box.send(10, { type: 'operatorAsked', askId: planId, ask, epochMs: 1000 });
  const answer = effectOf(effects, 'answerOperator')?.answer;
  if (answer?.kind !== 'planned') throw new Error('not planned');
  return answer.plan;
}

test('a move proceeds in whole steps and stays at the share at which it is halted', () => {
  expect([0, 249, 250, 999, 1000, 5000].map((at) => movedShare(MOVE, at))).deep.equal([
    0, 0, 0.25, 0.75, 1, 1,
  ]);
  expect(movedShare({ ...MOVE, haltedAtShare: 0.25 }, 5000)).equal(0.25);
});

test('a move that misses its targets is halted by a plan', () => {
  const box = movingBox();
  for (let index = 0; index < 25; index += 1) {
    const spec = testDraft(`d${index}`, { repeatable: false });
    const sent = effectOf(box.send(20, { type: 'requestArrived', spec }), 'sendAttempt');
    box.send(30, { type: 'attemptLost', attemptId: sent?.attemptId ?? '', reached: true });
    reportServer(box, 31, 'engine-2');
  }
  const writes = effectsOf(box.send(50, { type: 'tick', epochMs: 1000 }), 'requestTable').flatMap(
    ({ op }) => (op.kind === 'transact' ? op.writes : []),
  );
  const log = writes.find(({ key }) => key.startsWith('config/log/'));
  expect(JSON.stringify(log?.value)).match(/"haltedAtShare":1/);
});

test('a confirm whose answer is lost is settled by reading its row back', () => {
  const box = createTestBox();
  const plan = planOf(box, 'plan-1');
  const ask = { kind: 'confirm', plan } as const;
  const sent = box.send(20, { type: 'operatorAsked', askId: 'c', ask, epochMs: 1000 });
  const write = effectOf(sent, 'requestTable');
  const answer = { kind: 'unknown' } as const;
  const back = box.send(30, { type: 'tableAnswered', opId: write?.opId ?? '', answer });
  const read = effectOf(back, 'requestTable');
  expect(read?.op.kind).equal('read');
  const value = write?.op.kind === 'transact' ? write.op.writes[0]?.value : undefined;
  const rows = [{ key: 'config/log/000000000001', version: 1, value }];
  const done = { kind: 'done', rows } as const;
  const after = box.send(40, { type: 'tableAnswered', opId: read?.opId ?? '', answer: done });
  const answered = effectOf([...after, ...box.tickThrough(50, 6000)], 'answerOperator');
  expect(answered?.answer).include({ kind: 'confirmed', revision: 1 });
});

test('an undo plan restores the previous values', () => {
  const box = createTestBox();
  const plan = planOf(box, 'plan-1');
  const item = { value: { requestClass: 'urgent' }, revision: 1, planId: 'plan-1', author: 'o' };
  box.state.config.items.set('priority/lab', item);
  const { planId, operatorId, intent, undo } = plan;
  box.state.confirmedPlans.push({ planId, operatorId, revision: 1, intent, undo });
  const ask = { kind: 'undo', operatorId: 'o', planId, newPlanId: 'plan-2' } as const;
  const effects = box.send(20, { type: 'operatorAsked', askId: 'u', ask, epochMs: 2000 });
  const answer = effectOf(effects, 'answerOperator')?.answer;
  if (answer?.kind !== 'planned') throw new Error('not planned');
  expect(answer.plan.changes).deep.equal([{ name: 'priority/lab', value: undefined }]);
  expect(answer.plan.basis).deep.equal([{ name: 'priority/lab', revision: 1 }]);
});
