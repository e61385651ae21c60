import type { TableAnswer, TableOp, TableRow } from 'reedlug-coordination';
import { createRandom } from '../../__tests__/__fixtures__/random.js';
import { createServingBox, server, takeContacts } from '../../__tests__/__fixtures__/box.js';
import type { Effect } from '../../types/effect.js';
import { expect } from 'chai';

/** Ticks of a run, time between them in ms, and number of runs. */
const TICKS = 600;
const TICK_MS = 50;
const RUNS = 20;
/** Values that another writer, or a spoiled answer, may give any row. */
const DEEP: unknown = JSON.parse('[{"a":'.repeat(20_000) + '1' + '}]'.repeat(20_000));
const LARGE = Number.MAX_VALUE;
const VALUES: readonly unknown[] = [
  undefined,
  null,
  5,
  Number.NaN,
  'text',
  true,
  [],
  [null, 7, {}],
  [['a', 'b', 'c', 'd']],
  {},
  { entries: 5, rows: null, streams: 'x', versions: [] },
  { counts: null, windows: 3, window: 'x', byBox: {}, suspects: 4 },
  { holderId: 'box-2', incarnation: 1, fence: 'x', renewal: 1 },
  { holderId: 'box-1', incarnation: 1 },
  { order: null, phase: 'sampling', barred: {}, evidence: 5 },
  DEEP,
  { entries: DEEP, rows: DEEP, streams: DEEP, versions: DEEP, services: DEEP, starts: DEEP },
  { counts: DEEP, windows: DEEP, window: DEEP, byBox: DEEP, suspects: DEEP, storeNowMs: DEEP },
  { services: { engines: { v1: LARGE, v2: -LARGE }, records: { v1: LARGE } } },
  { holderId: 'box-2', incarnation: LARGE, fence: LARGE, renewal: LARGE },
  { revision: LARGE, targetVersion: 'v2', phase: 'completed', orderedAtStoreMs: LARGE, barred: [] },
  { window: LARGE, counts: { tiger: LARGE }, isReported: true, storeNowMs: LARGE, offsetMs: LARGE },
];

/** Purposes of calls that a box has to make before it writes rows of the fleet. */
const WRITTEN: readonly string[] = ['lease', 'clock'];

/** Returns an answer with malformed rows of the keys of a call. */
function malformedAnswer(op: TableOp, version: number, random: () => number): TableAnswer {
  const keys =
    op.kind === 'transact'
      ? op.writes.map(({ key }) => key)
      : op.kind === 'read'
        ? op.keys
        : [`${op.prefix}box-2`, `${op.prefix}x`];
  const rows: TableRow[] = keys.map((key) => {
    return { key, version, value: VALUES[Math.floor(random() * VALUES.length)] };
  });
  if (op.kind === 'transact') return { kind: 'refused', reason: 'conflict', rows };
  return { kind: 'done', rows };
}

/** Returns the answer to a call that the table carries out. */
function doneAnswer(op: TableOp, version: number): TableAnswer {
  const rows = op.kind === 'transact' ? op.writes : [];
  return { kind: 'done', rows: rows.map(({ key, value }) => ({ key, version, value })) };
}

test('no malformed row of the shared table throws in the box that reads it', function () {
  this.timeout(60_000);
  const purposes = new Set<string>();
  for (let run = 0; run < RUNS; run += 1) {
    const random = createRandom(run + 1);
    const box = createServingBox();
    const order = { service: 'engines', targetVersion: 'v2', durationMs: 60_000, revision: 17 };
    box.take({ type: 'rolloutOrdered', order });
    const entry = server('engine-9', { service: 'engines', version: 'v2' });
    const changes = [{ id: entry.id, entry }];
    box.take({ type: 'serversRead', whole: false, changes, revision: 30, source: 'store' });
    let version = 1;
    let pending: Effect[] = [];
    for (let tick = 0; tick < TICKS; tick += 1) {
      takeContacts(box, true);
      box.take({ type: 'storeClock', storeNowMs: box.nowMs });
      pending.push(...box.pass(TICK_MS));
      const calls = pending.filter((effect) => effect.type === 'requestTable');
      pending = [];
      for (const { op, purpose, sentAtMs } of calls) {
        purposes.add(purpose.kind);
        version += 1;
        // In half of the runs the box holds the lease and the agreed clock, so that it writes rows itself.
        const isWritten = run % 2 === 0 && WRITTEN.includes(purpose.kind);
        const answer = isWritten ? doneAnswer(op, version) : malformedAnswer(op, version, random);
        const storeTime = { storeNowMs: box.nowMs, era: 0 };
        pending.push(...box.take({ type: 'tableAnswered', purpose, answer, sentAtMs, storeTime }));
      }
    }
  }
  const kinds = ['lease', 'clock', 'checkpoint', 'crashSuspects', 'streamRows', 'rollout'];
  expect([...purposes]).to.include.members(kinds);
});
