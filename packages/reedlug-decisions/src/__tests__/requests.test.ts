import { expect } from 'chai';
import {
  createTestBox,
  effectOf,
  effectsOf,
  reportServer,
  testDraft,
  testEngine,
  testNotice,
  type TestBox,
} from './__fixtures__/testBox.js';
import type { Effect } from '../types/effect.js';

function sendRequest(box: TestBox, nowMs: number, spec: ReturnType<typeof testDraft>): Effect[] {
  return box.send(nowMs, { type: 'requestArrived', spec });
}

test('an unkeyed notice whose connection is lost is unknown and not sent again', () => {
  const box = createTestBox();
  const sent = effectOf(sendRequest(box, 10, testNotice('n1', undefined)), 'sendAttempt');
  const attemptId = sent?.attemptId ?? '';
  const effects = box.send(20, { type: 'attemptLost', attemptId, reached: true });
  expect(effectOf(effects, 'finishRequest')).include({ outcome: 'unknown' });
  expect(effectsOf(box.tickThrough(50, 2000), 'sendAttempt')).deep.equal([]);
});

test('a notice whose connection was never made goes to another server or ends as notRun', () => {
  const box = createTestBox();
  const sent = effectOf(sendRequest(box, 10, testNotice('n1', undefined)), 'sendAttempt');
  const attemptId = sent?.attemptId ?? '';
  box.send(20, { type: 'attemptRefused', attemptId, reason: 'notConnected' });
  const effects = box.tickThrough(50, 61_000);
  expect(effectOf(effects, 'finishRequest')).include({ outcome: 'notRun', reason: 'deadline' });
});

test('a keyed notice is sent only after its claim is confirmed', () => {
  const box = createTestBox();
  const effects = sendRequest(box, 10, testNotice('n1', 'k'));
  expect(effectOf(effects, 'sendAttempt')).equal(undefined);
  const claim = effectOf(effects, 'requestTable');
  const answer = { kind: 'done', rows: [] } as const;
  const after = box.send(20, { type: 'tableAnswered', opId: claim?.opId ?? '', answer });
  expect(effectOf(after, 'sendAttempt')?.requestId).equal('n1');
});

test('a keyed notice is refused as notRun when the table does not answer', () => {
  const box = createTestBox();
  sendRequest(box, 10, testNotice('n1', 'k'));
  const finish = effectOf(box.tickThrough(50, 4000), 'finishRequest');
  expect(finish).include({ outcome: 'notRun', reason: 'claimUnavailable' });
  expect(finish?.retryAfterMs).greaterThan(0);
});

test('the outcome in the row of the claim settles a request whose holder is gone', () => {
  const box = createTestBox();
  const claim = effectOf(sendRequest(box, 10, testNotice('n2', 'k')), 'requestTable');
  const value = {
    digest: 'digest',
    holderId: 'box-2',
    incarnation: 1,
    operationId: 'other',
    requestId: 'n1',
    outcome: undefined,
    status: undefined,
  };
  const rows = [{ key: 'claim/lab/k', version: 1, value }];
  box.send(20, {
    type: 'tableAnswered',
    opId: claim?.opId ?? '',
    answer: { kind: 'refused', reason: 'conflict', rows },
  });
  const reread = effectsOf(box.tickThrough(50, 2500), 'requestTable').find(
    ({ op }) => op.kind === 'read' && op.keys[0] === 'claim/lab/k',
  );
  const settled = [
    { key: 'claim/lab/k', version: 2, value: { ...value, outcome: 'completed', status: 201 } },
  ];
  const effects = box.send(2501, {
    type: 'tableAnswered',
    opId: reread?.opId ?? '',
    answer: { kind: 'done', rows: settled },
  });
  expect(effectOf(effects, 'finishRequest')).include({ outcome: 'completed', status: 201 });
});

test('a draft resumes at another engine after the tokens already sent', () => {
  const box = createTestBox();
  const first = effectOf(sendRequest(box, 10, testDraft('d1')), 'sendAttempt');
  const attemptId = first?.attemptId ?? '';
  box.send(20, { type: 'attemptProgress', attemptId, offset: 0, tokens: ['a', 'b'] });
  box.send(30, { type: 'attemptLost', attemptId, reached: true });
  const second = effectOf(box.tickThrough(50, 500), 'sendAttempt');
  expect(second?.resumeOffset).equal(2);
  expect(second?.serverId).not.equal(first?.serverId);
});

/** Begins a draft among engines of the given model versions, loses its engine, and returns where it goes on. */
function resumeBegunDraft(versions: readonly string[], affinityHash: number) {
  const servers = versions.map((version, index) => testEngine(`engine-${index}`, { version }));
  const box = createTestBox({ servers });
  const draft = testDraft('d1', { affinityHash });
  const first = effectOf(sendRequest(box, 10, draft), 'sendAttempt');
  const attemptId = first?.attemptId ?? '';
  box.send(20, { type: 'attemptProgress', attemptId, offset: 0, tokens: ['a', 'b'] });
  box.send(30, { type: 'attemptLost', attemptId, reached: true });
  const second = effectOf(box.tickThrough(50, 500), 'sendAttempt');
  const versionOf = (id = ''): string | undefined => box.state.servers.get(id)?.spec.version;
  return { first: versionOf(first?.serverId), second: versionOf(second?.serverId) };
}

test('a draft that has begun resumes only at the model version that began it', () => {
  for (let affinityHash = 0; affinityHash < 20; affinityHash += 1) {
    const { first, second } = resumeBegunDraft(['v1', 'v2', 'v1', 'v2'], affinityHash);
    expect(second).equal(first);
  }
});

test('a draft does not go on at another model version where its own has no other engine', () => {
  expect(resumeBegunDraft(['v1', 'v2'], 7).second).equal(undefined);
});

test('late tokens of the first attempt are dropped', () => {
  const box = createTestBox();
  const first = effectOf(sendRequest(box, 10, testDraft('d1')), 'sendAttempt');
  box.send(30, { type: 'attemptLost', attemptId: first?.attemptId ?? '', reached: true });
  box.tickThrough(50, 500);
  const late = { type: 'attemptProgress', attemptId: first?.attemptId ?? '', offset: 0 } as const;
  expect(effectOf(box.send(510, { ...late, tokens: ['x'] }), 'deliverTokens')).equal(undefined);
});

test('a box list does not end the draining of a server', () => {
  const box = createTestBox();
  const reclaimNotice = { type: 'reclaimNoticed', serverId: 'engine-1', incarnation: 1 } as const;
  box.send(10, { ...reclaimNotice, leavesAtMs: 9000 });
  const spec = box.state.servers.get('engine-1')?.spec;
  if (spec === undefined) throw new Error('no engine-1');
  box.send(20, { type: 'boxListRead', entries: [{ spec, incarnation: 1, leaving: false }] });
  reportServer(box, 30, 'engine-1');
  expect(box.state.serverMembers.members.get('engine-1')?.state).equal('leaving');
  for (let index = 0; index < 4; index += 1) {
    const sent = effectOf(
      sendRequest(box, 40, testDraft(`d${index}`, { affinityHash: index })),
      'sendAttempt',
    );
    expect(sent?.serverId).not.equal('engine-1');
  }
});

test('the next incarnation of a server is live again', () => {
  const box = createTestBox();
  const reclaimNotice = { type: 'reclaimNoticed', serverId: 'engine-1', incarnation: 1 } as const;
  box.send(10, { ...reclaimNotice, leavesAtMs: 9000 });
  reportServer(box, 20, 'engine-1', 2);
  expect(box.state.serverMembers.members.get('engine-1')?.state).equal('live');
});

test('a request that cannot meet its deadline is refused at once', () => {
  const box = createTestBox();
  for (let index = 0; index < 20; index += 1) {
    sendRequest(box, 10, testDraft(`d${index}`, { maxTokens: 4000, deadlineAtMs: 600_000 }));
  }
  const finish = effectOf(
    sendRequest(box, 10, testDraft('late', { deadlineAtMs: 500 })),
    'finishRequest',
  );
  expect(finish).include({ outcome: 'notRun', reason: 'deadline' });
  expect(finish?.retryAfterMs).greaterThan(0);
});

test('an urgent request is dispatched before waiting patient ones', () => {
  const box = createTestBox();
  const running: string[] = [];
  for (let index = 0; index < 12; index += 1) {
    const sent = effectOf(sendRequest(box, 10, testDraft(`d${index}`)), 'sendAttempt');
    if (sent !== undefined) running.push(sent.attemptId);
  }
  sendRequest(box, 20, testDraft('urgent', { requestClass: 'urgent' }));
  const attemptId = running[0] ?? '';
  box.send(30, { type: 'attemptProgress', attemptId, offset: 0, tokens: ['x'] });
  const ended = { type: 'attemptEnded', attemptId, totalTokens: 1, cachedTokens: 0 } as const;
  const next = effectOf(box.send(40, { ...ended, report: undefined }), 'sendAttempt');
  expect(next?.requestId).equal('urgent');
});

test('a stalled stream is cancelled and resumed', () => {
  const box = createTestBox();
  const first = effectOf(sendRequest(box, 10, testDraft('d1')), 'sendAttempt');
  const attemptId = first?.attemptId ?? '';
  box.send(20, { type: 'attemptProgress', attemptId, offset: 0, tokens: ['a'] });
  const effects = box.tickThrough(50, 4000);
  expect(effectOf(effects, 'cancelAttempt')?.attemptId).equal(attemptId);
  expect(effectOf(effects, 'sendAttempt')?.resumeOffset).equal(1);
});

test('a box that has reached no source of the configuration is not ready', () => {
  const box = createTestBox();
  box.state.configSourceSeen = false;
  const finish = effectOf(sendRequest(box, 10, testDraft('d1')), 'finishRequest');
  expect(finish).include({ outcome: 'notRun', reason: 'notReady' });
});

test('a draft that cannot finish by its deadline is refused at once', () => {
  const box = createTestBox();
  const spec = testDraft('long', { maxTokens: 4000, deadlineAtMs: 50_000 });
  expect(effectOf(sendRequest(box, 10, spec), 'finishRequest')).include({
    outcome: 'notRun',
    reason: 'deadline',
  });
});

test('peers are sent the location of a prefix that is not at its first-ranked engine', () => {
  const box = createTestBox();

  for (const serverId of ['engine-1', 'engine-2']) {
    const news = [{ affinityHash: 7, serverId, tokens: 90 }];
    box.send(10, { type: 'peerMessage', from: 'box-2', message: { kind: 'cacheNews', news } });
    const requestId = `d-${serverId}`;
    const sent = effectOf(sendRequest(box, 20, testDraft(requestId)), 'sendAttempt');
    expect(sent?.serverId).equal(serverId);
    const attemptId = sent?.attemptId ?? '';
    box.send(30, { type: 'attemptProgress', attemptId, offset: 0, tokens: ['x'] });
    const ended = { type: 'attemptEnded', attemptId, totalTokens: 1, cachedTokens: 90 } as const;
    box.send(40, { ...ended, report: undefined });
  }
});
