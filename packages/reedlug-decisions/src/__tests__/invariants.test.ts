import { expect } from 'chai';
import { createTestBox, testDraft } from './__fixtures__/testBox.js';

test('a request without an outcome long after its deadline violates an invariant', () => {
  const box = createTestBox();
  box.send(10, { type: 'requestArrived', spec: testDraft('d1', { deadlineAtMs: 1000 }) });
  const record = box.state.requests.get('d1');
  if (record === undefined) throw new Error('no record');
  record.phase = { kind: 'moving', attemptId: 'd1.1', sinceMs: Number.POSITIVE_INFINITY };
  expect(() => box.tickThrough(50, 20_000)).throw(/everyOutcome: request d1 is moving/);
});

test('a fence that decreases violates an invariant', () => {
  const box = createTestBox();
  const held = { sinceMs: 0, grantedAtMs: 0, unfencedFromMs: 0 };
  box.state.lease.held = { ...held, fence: 5 };
  box.tickThrough(50, 100);
  box.state.lease.held = { ...held, fence: 4 };
  expect(() => box.tickThrough(150, 200)).throw(/fenceGrows: fence 4 after 5/);
});

test('a revision that decreases violates an invariant', () => {
  const box = createTestBox();
  box.state.config.revision = 7;
  box.tickThrough(50, 100);
  box.state.config.revision = 6;
  expect(() => box.tickThrough(150, 200)).throw(/revisionGrows: revision 6 after 7/);
});

test('counts that do not add up violate an invariant', () => {
  const box = createTestBox();
  box.send(10, { type: 'requestArrived', spec: testDraft('d1') });
  const view = box.state.workspaces.get('lab');
  if (view === undefined) throw new Error('no workspace');
  view.inProgress = -1;
  expect(() => box.tickThrough(50, 2000)).throw(/countsAddUp/);
});
