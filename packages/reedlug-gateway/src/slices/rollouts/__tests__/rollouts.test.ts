import { expect } from 'chai';
import {
  configuration,
  createServingBox,
  facts,
  ofType,
  only,
  peerMessage,
  server,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { passAsHolder, takeLease } from '../../../__tests__/__fixtures__/lease.js';
import { setDecisionMetrics } from '../../../observe/decisionMetrics.js';
import { createGatewayMetrics } from '../../../observe/gatewayMetrics.js';
import type { Effect } from '../../../types/effect.js';
import { RolloutPhase, type RolloutGossip, type RolloutRecord } from '../../../types/rollout.js';

const ORDER = { service: 'records', targetVersion: 'v2', durationMs: 12_000, revision: 40 };

function gossip(changes: Partial<RolloutGossip> = {}): RolloutGossip {
  const evidence = { trial: [], usual: [] };
  return { order: ORDER, ageMs: 1000, phase: 'sampling', barred: [], evidence, ...changes };
}

let sequence = 0;

function receiveGossip(box: TestBox, rollout: RolloutGossip): Effect[] {
  sequence += 1;
  return box.take({ type: 'peerMessage', message: peerMessage({ sequence, rollouts: [rollout] }) });
}

/** Creates a box with two servers of the old version and two of the new one. */
function boxOfTwoVersions(): TestBox {
  const box = createServingBox();
  const entries = [
    // The new servers come first, so that nothing but the version rule keeps requests from them.
    server('new-1', { version: 'v2' }),
    server('new-2', { version: 'v2' }),
    server('old-1', { version: 'v1' }),
    server('old-2', { version: 'v1' }),
  ];
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: true, changes, revision: 2, source: 'store' });
  const unlimited = configuration({ version: 2, workspaces: [] });
  box.take({ type: 'configurationRead', configuration: unlimited, source: 'store' });
  return box;
}

/** Sends a number of requests, each answered successfully at once, and returns how many went to the new version. */
function sendsToNew(box: TestBox, requests: number): number {
  let count = 0;
  for (let index = 0; index < requests; index += 1) {
    const requestId = `request-${index}`;
    const exchangeId = 1000 + index;
    const effects = box.take({ type: 'requestArrived', exchangeId, facts: facts({ requestId }) });
    const { order, attemptId } = only(effects, 'send');
    if (order.serverId.startsWith('new')) count += 1;
    box.take({ type: 'attemptAnswered', exchangeId, attemptId, verdict: 'success', status: 200 });
  }
  return count;
}

test('without an order a server of another version serves like the others', () => {
  expect(sendsToNew(boxOfTwoVersions(), 100)).to.be.greaterThan(10);
});

test('a box that knows only the order sends nothing to the new version', () => {
  const box = boxOfTwoVersions();
  box.take({ type: 'rolloutOrdered', order: ORDER });
  box.pass(250);
  expect(sendsToNew(box, 200)).to.equal(0);
});

test('a sample goes to the new version, and a failed request of it is retried with the old one', () => {
  const box = boxOfTwoVersions();
  receiveGossip(box, gossip());
  box.pass(250);
  const sampled = sendsToNew(box, 1000);
  expect(sampled).to.be.within(15, 70);
  let index = 0;
  for (; ; index += 1) {
    const arrived = { requestId: `again-${index}` };
    const effects = box.take({
      type: 'requestArrived',
      exchangeId: index,
      facts: facts(arrived),
    });
    const { order, attemptId } = only(effects, 'send');
    if (!order.serverId.startsWith('new')) continue;
    const repeated = box.take({
      type: 'attemptAnswered',
      exchangeId: index,
      attemptId,
      verdict: 'failure',
      status: 500,
    });
    expect(only(repeated, 'send').order.serverId).to.match(/^old/);
    return;
  }
});

test('the combined evidence of peers makes a box roll back at once', () => {
  const box = boxOfTwoVersions();
  receiveGossip(box, gossip());
  box.pass(250);
  const evidence = {
    trial: [{ route: 'lookup', serverId: '', answers: 14, failed: 6, slow: 0 }],
    usual: [{ route: 'lookup', answers: 300, failed: 1, slow: 3 }],
  };
  receiveGossip(box, gossip({ evidence }));
  box.pass(250);
  expect(box.state.rollouts.get('records')?.phase).to.equal(RolloutPhase.rolledBack);
  expect(sendsToNew(box, 300)).to.equal(0);
});

test('all requests go to the new version once the roll-out is shifted', () => {
  const box = boxOfTwoVersions();
  receiveGossip(box, gossip({ phase: 'shifted', ageMs: 10_600 }));
  expect(sendsToNew(box, 40)).to.equal(40);
});

test('a version whose roll-out was replaced by another order receives no requests', () => {
  const box = boxOfTwoVersions();
  receiveGossip(box, gossip());
  const order = { ...ORDER, targetVersion: 'v3', revision: 41 };
  box.take({ type: 'rolloutOrdered', order });
  receiveGossip(box, gossip({ order, phase: 'sampling' }));
  box.pass(250);
  expect(sendsToNew(box, 200)).to.equal(0);
});

test('an order with an invalid duration has no effect and is logged', () => {
  const box = boxOfTwoVersions();
  takeLease(box);
  const order = { ...ORDER, durationMs: Number.NaN };
  const effects = box.take({ type: 'rolloutOrdered', order });
  expect(ofType(effects, 'log').map(({ event }) => event)).to.include('rolloutOrderUnusable');
  const later = passAsHolder(box, 2000);
  expect(ofType(later, 'requestTable').filter(isOfRollout)).to.deep.equal([]);
  expect(sendsToNew(box, 100)).to.equal(0);
});

function isOfRollout({ purpose }: { purpose: { kind: string } }): boolean {
  return purpose.kind === 'rollout';
}

/** Answers table calls for roll-outs as the table does; all other calls stay unanswered. */
function answerRollouts(box: TestBox, effects: readonly Effect[], rows: Map<string, unknown>) {
  for (const { op, purpose, sentAtMs } of ofType(effects, 'requestTable').filter(isOfRollout)) {
    if (op.kind === 'transact') {
      for (const { key, value } of op.writes) rows.set(key, value);
    }
    const found = [...rows].map(([key, value]) => ({ key, version: 7, value }));
    const answer = { kind: 'done' as const, rows: found };
    box.take({ type: 'tableAnswered', purpose, answer, sentAtMs });
  }
}

function phaseInTable(rows: Map<string, unknown>): RolloutPhase | undefined {
  return (rows.get('rollout/records') as RolloutRecord | undefined)?.phase;
}

test('the holder of the lease records that a roll-out runs, and that it is completed by the deadline', () => {
  const box = boxOfTwoVersions();
  takeLease(box);
  const rows = new Map<string, unknown>();
  box.take({ type: 'rolloutOrdered', order: ORDER });
  const orderedAtMs = box.nowMs;
  let asked = 0;
  while (box.nowMs < orderedAtMs + 1000) answerRollouts(box, passAsHolder(box, 50), rows);
  expect(phaseInTable(rows)).to.equal(RolloutPhase.sampling);
  while (phaseInTable(rows) !== RolloutPhase.completed && box.nowMs < orderedAtMs + 20_000) {
    for (let index = 0; index < 4; index += 1) askOnce(box, (asked += 1));
    answerRollouts(box, passAsHolder(box, 50), rows);
  }
  expect(box.nowMs - orderedAtMs).to.be.within(10_000, 12_000);
  expect(box.state.rollouts.get('records')?.phase).to.equal(RolloutPhase.completed);
});

function askOnce(box: TestBox, index: number): void {
  const exchangeId = 50_000 + index;
  const arrived = facts({ requestId: `asked-${index}` });
  const effects = box.take({ type: 'requestArrived', exchangeId, facts: arrived });
  const { attemptId } = only(effects, 'send');
  box.take({ type: 'attemptAnswered', exchangeId, attemptId, verdict: 'success', status: 200 });
}

test('a box that starts after the end of a roll-out learns the result from the table', () => {
  const box = boxOfTwoVersions();
  takeLease(box);
  const record: RolloutRecord = {
    revision: ORDER.revision,
    targetVersion: 'v2',
    phase: 'rolledBack',
    orderedAtStoreMs: 0,
    barred: [],
  };
  const rows = new Map<string, unknown>([['rollout/records', record]]);
  box.take({ type: 'rolloutOrdered', order: ORDER });
  for (let tick = 0; tick < 20; tick += 1) answerRollouts(box, passAsHolder(box, 50), rows);
  expect(box.state.rollouts.get('records')?.phase).to.equal(RolloutPhase.rolledBack);
  expect(phaseInTable(rows)).to.equal(RolloutPhase.rolledBack);
  expect(sendsToNew(box, 100)).to.equal(0);
});

test('a version that is ordered again while it carries the load continues to serve', () => {
  const box = boxOfTwoVersions();
  receiveGossip(box, gossip({ phase: 'completed' }));
  expect(sendsToNew(box, 20)).to.equal(20);
  box.take({ type: 'rolloutOrdered', order: { ...ORDER, revision: 41 } });
  expect(sendsToNew(box, 20)).to.equal(20);
});

test('an order for an unknown service has no effect', () => {
  const box = boxOfTwoVersions();
  box.take({ type: 'rolloutOrdered', order: { ...ORDER, service: 'nothing' } });
  expect(() => box.pass(500)).not.to.throw();
  expect(configuration().services.map(({ name }) => name)).not.to.include('nothing');
  expect(sendsToNew(box, 100)).to.be.greaterThan(10);
});

test('metrics show the answers of both versions', async () => {
  const box = boxOfTwoVersions();
  const evidence = {
    trial: [{ route: 'lookup', serverId: '', answers: 14, failed: 2, slow: 0 }],
    usual: [{ route: 'lookup', answers: 300, failed: 1, slow: 3 }],
  };
  receiveGossip(box, gossip({ evidence }));
  const metrics = createGatewayMetrics();
  setDecisionMetrics(metrics.figures, box.state, box.nowMs);
  const text = await metrics.text();
  expect(text).to.match(
    /reedlug_rollout_answers\{service="records",version="new",figure="failed"\} 2/,
  );
  expect(text).to.match(
    /reedlug_rollout_answers\{service="records",version="old",figure="slow"\} 3/,
  );
});
