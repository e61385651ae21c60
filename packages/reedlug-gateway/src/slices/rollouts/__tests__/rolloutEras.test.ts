import { expect } from 'chai';
import { storeRevision } from 'reedlug-coordination';
import {
  createServingBox,
  ofType,
  peerMessage,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { passAsHolder, takeLease } from '../../../__tests__/__fixtures__/lease.js';
import { RolloutPhase, type RolloutOrder, type RolloutRecord } from '../../../types/rollout.js';

function orderOf(targetVersion: string, era: number, version: number): RolloutOrder {
  const revision = storeRevision({ era, version });
  return { service: 'records', targetVersion, durationMs: 12_000, revision };
}

const ORDER = orderOf('v2', 1, 40);
const ABORT = orderOf('v1', 1, 90);

/** Creates a box that knows a roll-out of v2 in the widened phase. */
function boxOfRollout(): TestBox {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 1 });
  box.take({ type: 'rolloutOrdered', order: ORDER });
  const rollouts = [
    {
      order: ORDER,
      ageMs: 3000,
      phase: RolloutPhase.widened,
      barred: [],
      evidence: { trial: [], usual: [] },
    },
  ];
  box.take({ type: 'peerMessage', message: peerMessage({ rollouts }) });
  return box;
}

function viewOf(box: TestBox) {
  const view = box.state.rollouts.get('records');
  return { target: view?.order.targetVersion, phase: view?.phase };
}

test('a roll-out keeps its phase when its order is in the restored backup or is written again', () => {
  for (const version of [40, 700]) {
    const box = boxOfRollout();
    box.take({ type: 'storeEra', era: 2 });
    box.take({ type: 'rolloutOrdered', order: orderOf('v2', 2, version) });
    expect(viewOf(box)).to.deep.equal({ target: 'v2', phase: RolloutPhase.widened });
  }
});

test('an abort stays in force when the restored backup contains the order before it', () => {
  const box = boxOfRollout();
  box.take({ type: 'rolloutOrdered', order: ABORT });
  box.take({ type: 'storeEra', era: 2 });
  box.take({ type: 'rolloutOrdered', order: orderOf('v2', 2, 40) });
  expect(viewOf(box).target).to.equal('v1');
  box.take({ type: 'rolloutOrdered', order: orderOf('v1', 2, 55) });
  expect(box.state.rollouts.get('records')?.barred).to.deep.equal(['v2']);
});

test('an abort after a restore of the store is applied, whatever its version', () => {
  const box = boxOfRollout();
  box.take({ type: 'storeEra', era: 2 });
  box.take({ type: 'rolloutOrdered', order: orderOf('v1', 2, 35) });
  expect(viewOf(box).target).to.equal('v1');
});

test('the holder of the lease writes a record again that the store lost', () => {
  const box = boxOfRollout();
  takeLease(box);
  const recordsAsked = (ms: number) =>
    ofType(passAsHolder(box, ms), 'requestTable').filter(
      ({ purpose }) => purpose.kind === 'rollout',
    );
  const answer = (
    revision: number,
    rows: readonly { key: string; version: number; value: unknown }[],
  ) =>
    box.take({
      type: 'tableAnswered',
      purpose: { kind: 'rollout', service: 'records', revision },
      answer: { kind: 'done', rows },
      sentAtMs: box.nowMs,
    });
  expect(recordsAsked(300)[0]?.op.kind).to.equal('read');
  const record: RolloutRecord = {
    revision: ORDER.revision,
    targetVersion: 'v2',
    phase: RolloutPhase.sampling,
    orderedAtStoreMs: 0,
    barred: [],
  };
  answer(ORDER.revision, [{ key: 'rollout/records', version: 9, value: record }]);
  expect(recordsAsked(600)).to.deep.equal([]);
  box.take({ type: 'storeEra', era: 2 });
  expect(recordsAsked(600)[0]?.op.kind).to.equal('read');
  answer(ORDER.revision, []);
  const written = recordsAsked(600).find(({ op }) => op.kind === 'transact');
  expect(written?.op).to.deep.include({ kind: 'transact' });
});

test('a box that starts adopts the phase recorded for the same order in an earlier era', () => {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: 2 });
  const order = orderOf('v2', 2, 55);
  box.take({ type: 'rolloutOrdered', order });
  const record: RolloutRecord = {
    revision: ORDER.revision,
    targetVersion: 'v2',
    phase: RolloutPhase.rolledBack,
    orderedAtStoreMs: 0,
    barred: [],
  };
  box.take({
    type: 'tableAnswered',
    purpose: { kind: 'rollout', service: 'records', revision: order.revision },
    answer: { kind: 'done', rows: [{ key: 'rollout/records', version: 9, value: record }] },
    sentAtMs: box.nowMs,
  });
  expect(viewOf(box).phase).to.equal(RolloutPhase.rolledBack);
});
