import { expect } from 'chai';
import {
  createServingBox,
  facts,
  limitStatement,
  NO_STATEMENTS,
  ofType,
  only,
  server,
  statementsEvent,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { createFleet } from '../../../__tests__/__fixtures__/fleet.js';
import type { AnswerVerdict } from '../../../types/request.js';
import { ServerState } from '../../../types/server.js';

const DRAINING = { ...NO_STATEMENTS, isDraining: true };

/** Sends a request whose answer says that its server is draining, and returns the id of that server. */
function sendToDrainingServer(
  box: Pick<TestBox, 'take'>,
  exchangeId: number,
  verdict: AnswerVerdict,
) {
  const request = facts({ requestId: `r${exchangeId}`, path: '/lookup/1', deadlineMs: 8000 });
  const sent = ofType(box.take({ type: 'requestArrived', exchangeId, facts: request }), 'send')[0];
  if (sent === undefined) throw new Error('nothing was sent');
  const ids = { exchangeId, attemptId: sent.attemptId };
  box.take({ type: 'answerBegun', ...ids, statements: DRAINING });
  const status = verdict === 'success' ? 200 : 503;
  box.take({ type: 'attemptAnswered', ...ids, verdict, status });
  return sent.order.serverId;
}

function chosenServer(box: Pick<TestBox, 'take'>, exchangeId: number): string | undefined {
  const request = facts({ requestId: `r${exchangeId}`, path: '/lookup/1', deadlineMs: 8000 });
  const effects = box.take({ type: 'requestArrived', exchangeId, facts: request });
  return ofType(effects, 'send')[0]?.order.serverId;
}

function isDraining(box: TestBox, id: string): boolean | undefined {
  return box.state.servers.get(id)?.leaving;
}

function read(box: TestBox, id: string, bornAtMs: number | undefined, state: ServerState): void {
  const entry = server(id, { bornAtMs, state });
  const revision = box.state.serversRevision + 1;
  const changes = [{ id, entry }];
  box.take({ type: 'serversRead', whole: false, changes, revision, source: 'store' });
}

function remove(box: TestBox, id: string): void {
  const revision = box.state.serversRevision + 1;
  const changes = [{ id, entry: undefined }];
  box.take({ type: 'serversRead', whole: false, changes, revision, source: 'store' });
}

for (const verdict of ['success', 'failure', 'notRun'] as const) {
  test(`a server whose answer says that it is draining gets no more requests: ${verdict}`, () => {
    const box = createServingBox();
    const drainingId = sendToDrainingServer(box, 1, verdict);
    for (let exchangeId = 2; exchangeId < 40; exchangeId += 1) {
      expect(chosenServer(box, exchangeId)).not.to.equal(drainingId);
    }
  });
}

test('when all engines are draining, callers get the start of the next one as Retry-After', () => {
  const box = createServingBox();
  for (const serverId of ['engine-1', 'engine-2']) {
    box.take(statementsEvent({ serverId, bornAtMs: undefined, statement: { kind: 'leaving' } }));
    box.pass(1000);
  }
  const request = facts({ requestId: 'r1', path: '/draft/1', deadlineMs: 8000 });
  const effects = box.take({ type: 'requestArrived', exchangeId: 1, facts: request });
  expect(only(effects, 'refuse').retryAfterMs).to.be.within(3000, 3750);
});

test('all boxes learn that a server is draining, also through hubs and after a restart', () => {
  for (const boxes of [6, 24, 69]) {
    const fleet = createFleet({ boxes, zones: ['zone-a', 'zone-b', 'zone-c'] });
    fleet.pass(4000);
    const box = { take: (event: Parameters<TestBox['take']>[0]) => fleet.take('box-4', event) };
    const drainingId = sendToDrainingServer(box, 1, 'success');
    fleet.pass(300);
    for (const [boxId, other] of fleet.boxes)
      expect(isDraining(other, drainingId), boxId).to.equal(true);
    fleet.restart('box-5');
    fleet.pass(1500);
    const restarted = fleet.boxes.get('box-5');
    expect(restarted && isDraining(restarted, drainingId), `of ${boxes}`).to.equal(true);
  }
});

test('an entry that says ready, arrives late or is listed again does not undo draining', () => {
  const box = createServingBox();
  read(box, 'records-1', 5, ServerState.ready);
  box.take(statementsEvent({ serverId: 'records-1', bornAtMs: 5, statement: { kind: 'leaving' } }));
  expect(isDraining(box, 'records-1')).to.equal(true);
  read(box, 'records-1', 5, ServerState.ready);
  expect(isDraining(box, 'records-1')).to.equal(true);
  remove(box, 'records-1');
  box.pass(30_000);
  read(box, 'records-1', 5, ServerState.ready);
  expect(isDraining(box, 'records-1')).to.equal(true);
});

test('a draining statement that comes before the entry of its server is applied', () => {
  const box = createServingBox();
  box.take(statementsEvent({ serverId: 'records-9', bornAtMs: 5, statement: { kind: 'leaving' } }));
  box.pass(1000);
  read(box, 'records-9', 5, ServerState.ready);
  expect(isDraining(box, 'records-9')).to.equal(true);
});

test('the next incarnation of a drained server is not draining', () => {
  const box = createServingBox();
  const news = statementsEvent({
    serverId: 'records-1',
    bornAtMs: 5,
    statement: { kind: 'leaving' },
  });
  read(box, 'records-1', 5, ServerState.ready);
  box.take(news);
  read(box, 'records-1', 6, ServerState.ready);
  expect(isDraining(box, 'records-1')).to.equal(false);
  box.take(news);
  expect(isDraining(box, 'records-1')).to.equal(false);
});

test('an entry that says leaving is applied alongside a statement of a later incarnation', () => {
  const box = createServingBox();
  read(box, 'records-1', 5, ServerState.ready);
  const statement = limitStatement(2);
  box.take(statementsEvent({ serverId: 'records-1', bornAtMs: 6, statement }));
  read(box, 'records-1', 5, ServerState.leaving);
  expect(isDraining(box, 'records-1')).to.equal(true);
});

test('draining reported by the registry is kept like the statement of the server', () => {
  const box = createServingBox();
  read(box, 'records-1', 5, ServerState.leaving);
  remove(box, 'records-1');
  read(box, 'records-1', 5, ServerState.ready);
  expect(isDraining(box, 'records-1')).to.equal(true);
});

test('statements of an unlisted server are deleted after ten minutes', () => {
  const box = createServingBox();
  read(box, 'records-1', 5, ServerState.leaving);
  remove(box, 'records-1');
  box.pass(599_000);
  expect(box.state.statements.size).to.equal(1);
  box.pass(2000);
  expect(box.state.statements.size).to.equal(0);
});

for (const isLate of [false, true]) {
  test(`a box tells others of a server that leaves by the registry only after it missed an answer: ${isLate}`, () => {
    const fleet = createFleet({ boxes: 3, zones: ['zone-a'] });
    fleet.pass(500);
    const [reader, ...others] = [...fleet.boxes.values()] as [TestBox, ...TestBox[]];
    const entry = server('records-1', { state: ServerState.leaving });
    const changes = [{ id: entry.id, entry }];
    const read = { whole: false, changes, revision: 1, isLate };
    reader.take({ type: 'serversRead', ...read, source: 'store' });
    fleet.pass(100);
    for (const { state } of others) {
      expect(state.servers.get(entry.id)?.leaving).to.equal(isLate);
    }
  });
}
