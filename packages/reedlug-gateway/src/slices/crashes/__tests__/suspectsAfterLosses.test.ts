/** Guards against boxes without memory of crashes that block requests, or send suspects again, without knowing the row. */
import { expect } from 'chai';
import {
  listBoxesAfterRestart,
  ofType,
  only,
  settings,
  createServingBox,
  peerMessage,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import type { Effect } from '../../../types/effect.js';
import type { CrashSuspectsRow, CrashSuspectGossip } from '../../../types/crashSuspect.js';
import type { PeerAddress } from '../../../types/peer.js';
import { arrive } from './__fixtures__/crashingSends.js';

const SUSPECT = 'tiger/bad';
const EVALUATION_MS = 1550;
const BOXES = 4;

/** Time from the start of a box by which it has heard of the others. */
const DISCOVERY_MS = 3000;

function suspectOf(key: string, endAgesMs: readonly number[]): CrashSuspectGossip {
  const crashes = endAgesMs.map(
    (ageMs, index) => [`gone-${index}`, 1, ageMs + 100, ageMs] as const,
  );
  return { key, crashes, goodRunAgeMs: undefined, keptOutAgeMs: undefined, seenAgeMs: 300 };
}

/** Three crashes in two rounds: not enough for a suspect that was absent from most crashes. */
const OPEN_CRASHES = [900, 900, 400] as const;

function addressOf(index: number): PeerAddress {
  const boxId = `box-${index}`;
  return { boxId, host: `10.0.0.${index}`, port: 7000, zone: 'zone-a', processorCores: 1 };
}

/** Creates a box that has just started beside others and has read the row of the suspects. */
function startBox(index: number, suspects: readonly CrashSuspectGossip[]): TestBox {
  const base = settings();
  const { boxId: id, host: ip } = addressOf(index);
  const box = createServingBox({ ...base, box: { ...base.box, id, ip } });
  const others = Array.from({ length: BOXES }, (_, other) => addressOf(other)).filter(
    ({ boxId }) => boxId !== id,
  );
  listBoxesAfterRestart(box, others);
  box.state.part.opening = { kind: 'unused' };
  box.pass(50);
  answerRow(box, suspects);
  return box;
}

/** Answers a box's read of the row, or lets it fail. */
function answerRow(box: TestBox, suspects: readonly CrashSuspectGossip[] | undefined): void {
  const value = { storeNowMs: 0, suspects: suspects ?? [] } satisfies CrashSuspectsRow;
  const rows = [{ key: 'crash-suspects', version: 1, value }];
  box.take({
    type: 'tableAnswered',
    purpose: { kind: 'crashSuspects', writes: false },
    answer: suspects === undefined ? { kind: 'unknown' } : { kind: 'done', rows },
    sentAtMs: box.nowMs,
  });
}

/** Creates a box that has read all but the row. */
function boxBeforeRow(): TestBox {
  const box = createServingBox();
  box.state.crashRow.isFirstReadPending = true;
  return box;
}

function sends(effects: readonly Effect[]): number {
  return ofType(effects, 'send').length;
}

test('a request that arrives before a box has read which requests crash servers waits for that', () => {
  const box = boxBeforeRow();
  expect(sends(arrive(box, 'bad').effects)).to.equal(0);
  expect(sends(arrive(box, 'good').effects)).to.equal(0);
  const blocked = { ...suspectOf(SUSPECT, OPEN_CRASHES), keptOutAgeMs: 100 };
  answerRow(box, [blocked]);
  const effects = box.pass(50);
  expect(sends(effects)).to.equal(1);
  expect(ofType(effects, 'refuse').map(({ status }) => status)).to.deep.equal([500]);
});

test('a box serves although the read of the row fails, or does not end in time', () => {
  const failed = boxBeforeRow();
  arrive(failed, 'good');
  answerRow(failed, undefined);
  expect(sends(failed.pass(50))).to.equal(1);
  const silent = boxBeforeRow();
  arrive(silent, 'good');
  expect(sends(silent.pass(300))).to.equal(1);
});

test('a good run of another request brings no verdict on crashes before the start of a box', () => {
  const box = startBox(0, [suspectOf(SUSPECT, OPEN_CRASHES), suspectOf('tiger/good', [700, 500])]);
  const { exchangeId, effects } = arrive(box, 'good');
  const ids = { exchangeId, attemptId: only(effects, 'send').attemptId };
  box.take({ type: 'attemptAnswered', ...ids, verdict: 'success', status: 200 });
  box.take({ type: 'attemptEnded', ...ids });
  box.pass(EVALUATION_MS);
  box.pass(50);
  expect(box.state.crashSuspects.get('tiger/good')?.crashes).to.deep.equal([]);
  expect(box.state.crashSuspects.get(SUSPECT)?.blockedSinceMs).to.equal(undefined);
});

test('after a loss of all boxes one of them alone sends a suspect without a verdict', () => {
  const sent = Array.from({ length: BOXES }, (_, index) => {
    const box = startBox(index, [suspectOf(SUSPECT, OPEN_CRASHES)]);
    box.pass(50);
    return ofType(arrive(box, 'bad').effects, 'send').length;
  });
  expect(sent.reduce((sum, count) => sum + count, 0)).to.be.at.most(1);
});

test('once a box would have heard the others, it sends a suspect for those that are silent', () => {
  const sent = Array.from({ length: BOXES }, (_, index) => {
    const box = startBox(index, [suspectOf(SUSPECT, OPEN_CRASHES)]);
    for (let passedMs = 0; passedMs <= DISCOVERY_MS; passedMs += 500) box.pass(500);
    return ofType(arrive(box, 'bad').effects, 'send').length;
  });
  expect(sent).to.deep.equal([1, 1, 1, 1]);
});

test('a box that does not know the list of boxes sends no suspect without a verdict', () => {
  const box = startBox(0, [suspectOf(SUSPECT, OPEN_CRASHES)]);
  box.state.peers.clear();
  box.state.part.listRevision = 0;
  expect(sends(arrive(box, 'bad').effects)).to.equal(0);
  expect(sends(arrive(box, 'good').effects)).to.equal(0);
  const effects = box.pass(350);
  expect(sends(effects)).to.equal(1);
  expect(ofType(effects, 'refuse').map(({ status }) => status)).to.deep.equal([503]);
});

test('a box that started later leaves a suspect to those that it hears', () => {
  const sent = Array.from({ length: BOXES }, (_, index) => {
    const box = startBox(index, [suspectOf(SUSPECT, OPEN_CRASHES)]);
    for (let other = 0; other < BOXES; other += 1) {
      if (other === index) continue;
      const { boxId, host, port } = addressOf(other);
      box.take({ type: 'peerMessage', message: peerMessage({ boxId, host, port }) });
    }
    return ofType(arrive(box, 'bad').effects, 'send').length;
  });
  expect(sent.reduce((sum, count) => sum + count, 0)).to.equal(1);
});
