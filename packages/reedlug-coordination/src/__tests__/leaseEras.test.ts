import { expect } from 'chai';
import {
  answerWithRevisions,
  createLease,
  handleLeaseAnswer,
  leaseTick,
  recordLeaseEra,
  usableFence,
  withStoreVersions,
  type LeaseState,
  type TableAnswer,
  type TableOp,
  type TableRow,
} from '../index.js';

const OPTIONS = {
  key: 'lease/x',
  ttlMs: 3000,
  marginMs: 300,
  renewIntervalMs: 1200,
  maxOrderFlightMs: 3000,
};
/** Time after which other boxes may acquire the lease, from when they first saw the holder's row. */
const WAIT_MS = OPTIONS.ttlMs + OPTIONS.marginMs;
const TICK_MS = 50;

/** A table of one row in a store that may be restored from a backup. */
class RestorableTable {
  era = 1;
  row: TableRow | undefined;
  private version = 0;

  backUp(): { row: TableRow | undefined; version: number } {
    return { row: this.row, version: this.version };
  }

  restore(backup: { row: TableRow | undefined; version: number }): void {
    this.era += 1;
    this.row = backup.row;
    this.version = backup.version;
  }

  apply(op: TableOp): TableAnswer {
    return answerWithRevisions(op, this.answer(op), this.era);
  }

  private answer(op: TableOp): TableAnswer {
    if (op.kind === 'transact') {
      const [write] = withStoreVersions(op).writes;
      if (write === undefined) return { kind: 'done', rows: [] };
      if ((this.row?.version ?? 0) !== write.expectVersion) {
        return { kind: 'refused', reason: 'conflict', rows: this.rows() };
      }
      this.version += 1;
      this.row = { key: write.key, version: this.version, value: write.value };
    }
    return { kind: 'done', rows: this.rows() };
  }

  private rows(): TableRow[] {
    return this.row === undefined ? [] : [this.row];
  }
}

function createBox(id: string): LeaseState {
  return createLease(OPTIONS, id, 1);
}

/** Ticks the leases of boxes until a time; each box records the era of an answer before handling it. */
function run(
  table: RestorableTable,
  boxes: readonly LeaseState[],
  fromMs: number,
  toMs: number,
): void {
  for (let nowMs = fromMs; nowMs < toMs; nowMs += TICK_MS) {
    for (const lease of boxes) {
      const op = leaseTick(lease, nowMs);
      if (op === undefined) continue;
      const answer = table.apply(op);
      const { era } = table;
      if (era > lease.era) recordLeaseEra(lease, { era, isFirst: lease.era === 0, nowMs });
      handleLeaseAnswer(lease, answer, { sentAtMs: nowMs, nowMs });
    }
  }
}

function fenceAt(lease: LeaseState, nowMs: number): number {
  return usableFence(lease, nowMs, true) ?? 0;
}

test('a holder acquires its lease again after a restore, without a gap', () => {
  const table = new RestorableTable();
  const holder = createBox('a');
  const other = createBox('b');
  run(table, [holder, other], 0, 2000);
  const backup = table.backUp();
  const fence = fenceAt(holder, 2000);
  run(table, [holder, other], 2000, 5000);
  table.restore(backup);
  for (let nowMs = 5000; nowMs < 12_000; nowMs += 500) {
    run(table, [holder, other], nowMs, nowMs + 500);
    expect(fenceAt(holder, nowMs + 500), `at ${nowMs}`).to.be.at.least(fence);
    expect(other.held).to.equal(undefined);
  }
  expect(fenceAt(holder, 12_000)).to.be.greaterThan(fence);
  expect(holder.held?.sinceMs).to.be.below(1000);
});

test('fences grow after a restore also when no box knows the lost ones', () => {
  const table = new RestorableTable();
  const first = createBox('a');
  run(table, [first], 0, 500);
  const backup = table.backUp();
  const second = createBox('b');
  run(table, [second], 500, 500 + 2 * WAIT_MS);
  const lost = fenceAt(second, 500 + 2 * WAIT_MS);
  expect(lost).to.be.greaterThan(0);
  table.restore(backup);
  const third = createBox('c');
  run(table, [third], 8000, 8000 + 2 * WAIT_MS);
  expect(fenceAt(third, 8000 + 2 * WAIT_MS)).to.be.greaterThan(lost);
});

test('a holder keeps its lease when a restore brings back the row of an earlier holder', () => {
  const table = new RestorableTable();
  const before = createBox('a');
  run(table, [before], 0, 500);
  const backup = table.backUp();
  const holder = createBox('b');
  run(table, [holder], 500, 6000);
  table.restore(backup);
  run(table, [before, holder], 6000, 12_000);
  expect(fenceAt(holder, 12_000)).to.be.greaterThan(0);
  expect(before.held).to.equal(undefined);
});

test('a box that knew the store before a restore waits for a restored or missing row', () => {
  for (const isMissing of [true, false]) {
    const table = new RestorableTable();
    const empty = table.backUp();
    const gone = createBox('a');
    const other = createBox('b');
    run(table, [gone, other], 0, 2000);
    const backup = isMissing ? empty : table.backUp();
    run(table, [gone, other], 2000, 3000);
    table.restore(backup);
    run(table, [other], 3000, 3000 + WAIT_MS);
    expect(other.held, `missing ${String(isMissing)}`).to.equal(undefined);
    const heldByMs = 3000 + OPTIONS.renewIntervalMs + WAIT_MS + 4 * TICK_MS;
    run(table, [other], 3000 + WAIT_MS, heldByMs);
    expect(fenceAt(other, heldByMs), `missing ${String(isMissing)}`).to.be.greaterThan(0);
  }
});

test('a write that the store carried out in a later era grants no lease', () => {
  const table = new RestorableTable();
  const lease = createBox('a');
  run(table, [lease], 0, TICK_MS);
  run(table, [lease], TICK_MS, 2 * TICK_MS);
  const op = leaseTick(lease, 100);
  if (op?.kind !== 'transact') throw new Error('expected a write that acquires the lease');
  table.restore(table.backUp());
  handleLeaseAnswer(lease, table.apply(op), { sentAtMs: 100, nowMs: 104 });
  expect(lease.held).to.equal(undefined);
});

test('a box that knew the store before a restore waits for a missing row that it never read', () => {
  const lease = createBox('a');
  recordLeaseEra(lease, { era: 0, isFirst: true, nowMs: 0 });
  recordLeaseEra(lease, { era: 1, isFirst: false, nowMs: 100 });
  const table = new RestorableTable();
  run(table, [lease], 100, 100 + WAIT_MS);
  expect(lease.held).to.equal(undefined);
  run(table, [lease], 100 + WAIT_MS, 100 + WAIT_MS + 4 * TICK_MS);
  expect(lease.held?.fence).to.be.greaterThan(0);
});
