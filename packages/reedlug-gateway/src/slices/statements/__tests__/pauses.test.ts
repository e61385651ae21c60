import { expect } from 'chai';
import fc from 'fast-check';
import {
  createServingBox,
  facts,
  NOTHING_SAID,
  ofType,
  only,
  restStatement,
  server,
  statementNews,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { createFleet, type TestFleet } from '../../../__tests__/__fixtures__/fleet.js';
import { ServerState } from '../../../types/server.js';

let nextExchangeId = 1;

interface Sent {
  exchangeId: number;
  attemptId: number;
  serverId: string;
}

type EventReceiver = Pick<TestBox, 'take'>;

function send(box: EventReceiver): Sent | undefined {
  const exchangeId = nextExchangeId;
  nextExchangeId += 1;
  const request = facts({ requestId: `r${exchangeId}`, path: '/lookup/1', deadlineMs: 8000 });
  const sent = ofType(box.take({ type: 'requestArrived', exchangeId, facts: request }), 'send')[0];
  return sent && { exchangeId, attemptId: sent.attemptId, serverId: sent.order.serverId };
}

function serve(box: EventReceiver, { exchangeId, attemptId }: Sent): void {
  const ids = { exchangeId, attemptId };
  box.take({ type: 'answerBegun', ...ids, statements: NOTHING_SAID });
  box.take({ type: 'attemptAnswered', ...ids, verdict: 'success', status: 200 });
}

function refuse(box: EventReceiver, { exchangeId, attemptId }: Sent, pauseMs: number): void {
  const ids = { exchangeId, attemptId };
  box.take({ type: 'answerBegun', ...ids, statements: { ...NOTHING_SAID, pauseMs } });
  box.take({ type: 'attemptAnswered', ...ids, verdict: 'notRun', status: 503 });
}

function boxOf(fleet: TestFleet, boxId: string): EventReceiver {
  return { take: (event) => fleet.take(boxId, event) };
}

function createStableFleet(boxes: number): TestFleet {
  const fleet = createFleet({ boxes, zones: ['zone-a', 'zone-b', 'zone-c'] });
  fleet.pass(4000);
  return fleet;
}

/** Sends while nothing may be: gives how many sends were made in a time, from all boxes. */
function sendsIn(fleet: TestFleet, ms: number): number {
  let sends = 0;
  for (let passedMs = 0; passedMs < ms; passedMs += 500) {
    fleet.pass(500);
    for (const boxId of fleet.boxes.keys()) if (send(boxOf(fleet, boxId)) !== undefined) sends += 1;
  }
  return sends;
}

for (const restS of [3, 10, 55]) {
  test(`a rest of ${restS} s is kept to its end by all boxes`, () => {
    const fleet = createStableFleet(6);
    refuse(boxOf(fleet, 'box-3'), send(boxOf(fleet, 'box-3')) as Sent, restS * 1000);
    expect(sendsIn(fleet, (restS - 1) * 1000)).to.equal(0);
    fleet.pass(1500);
    expect(send(boxOf(fleet, 'box-3'))?.serverId).to.equal('records-1');
    expect(send(boxOf(fleet, 'box-1'))?.serverId).to.equal('records-1');
  });
}

for (const restS of [3600, 1e9]) {
  test(`in a rest of ${restS} s the fleet sends one request to learn whether it stands`, () => {
    const fleet = createStableFleet(6);
    refuse(boxOf(fleet, 'box-3'), send(boxOf(fleet, 'box-3')) as Sent, restS * 1000);
    expect(sendsIn(fleet, 59_000)).to.equal(0);
    expect(sendsIn(fleet, 120_000)).to.equal(1);
  });
}

test('boxes that were not asked use a server again that served the probe of a long rest', () => {
  const fleet = createStableFleet(6);
  refuse(boxOf(fleet, 'box-3'), send(boxOf(fleet, 'box-3')) as Sent, 3_600_000);
  let probe: { boxId: string; sent: Sent } | undefined;
  for (let passedMs = 0; passedMs < 130_000 && probe === undefined; passedMs += 500) {
    fleet.pass(500);
    for (const boxId of fleet.boxes.keys()) {
      const sent: Sent | undefined = probe === undefined ? send(boxOf(fleet, boxId)) : undefined;
      if (sent !== undefined) probe = { boxId, sent };
    }
  }
  if (probe === undefined) throw new Error('no box tried');
  serve(boxOf(fleet, probe.boxId), probe.sent);
  fleet.pass(300);
  for (const boxId of fleet.boxes.keys()) {
    const isUsed = send(boxOf(fleet, boxId)) !== undefined;
    expect(isUsed, boxId).to.equal(boxId !== 'box-3');
  }
});

test('a box that starts is told of a rest that stands', () => {
  const fleet = createStableFleet(6);
  refuse(boxOf(fleet, 'box-3'), send(boxOf(fleet, 'box-3')) as Sent, 20_000);
  fleet.pass(2000);
  fleet.restart('box-5');
  fleet.pass(1500);
  expect(send(boxOf(fleet, 'box-5'))).to.equal(undefined);
});

test('a rest outlives a view of its server that is made anew, and ends with its life', () => {
  const box = createServingBox();
  const entry = server('records-1', { bornAtMs: 5 });
  const read = (changed: typeof entry | undefined): void => {
    const revision = box.state.serversRevision + 1;
    const changes = [{ id: 'records-1', entry: changed }];
    box.take({ type: 'serversRead', whole: false, changes, revision, source: 'store' });
  };
  const rests = (): boolean =>
    (box.state.servers.get('records-1')?.statements?.rest?.untilMs ?? 0) > box.nowMs;
  read(entry);
  box.take(statementNews({ serverId: 'records-1', bornAtMs: 5, statement: restStatement(9000) }));
  expect(rests()).to.equal(true);
  read(undefined);
  read({ ...entry, state: ServerState.ready });
  expect(rests()).to.equal(true);
  read({ ...entry, bornAtMs: 6 });
  expect(rests()).to.equal(false);
});

test('whichever rest comes first, boxes keep them all to the last end', () => {
  const rests = fc.array(fc.record({ leftMs: fc.integer({ min: 400, max: 90_000 }) }), {
    minLength: 1,
    maxLength: 6,
  });
  fc.assert(
    fc.property(rests, (pauses) => {
      const ends = [pauses, [...pauses].reverse()].map((order) => {
        const box = createServingBox();
        for (const { leftMs } of order) {
          const statement = restStatement(leftMs);
          box.take(statementNews({ serverId: 'records-1', bornAtMs: undefined, statement }));
        }
        return box.state.servers.get('records-1')?.statements?.rest?.untilMs;
      });
      expect(ends[0]).to.equal(ends[1]);
      expect(ends[0]).to.equal(Math.max(...pauses.map(({ leftMs }) => leftMs)));
    }),
    { numRuns: 100, seed: 43 },
  );
});

test('a request that all servers rest from is refused with the time of the first that comes back', () => {
  const box = createServingBox();
  for (const [serverId, leftMs] of [
    ['records-1', 30_000] as const,
    ['records-2', 20_000] as const,
  ]) {
    box.take(statementNews({ serverId, bornAtMs: undefined, statement: restStatement(leftMs) }));
  }
  const request = facts({ requestId: 'late', path: '/lookup/1', deadlineMs: 8000 });
  const effects = box.take({ type: 'requestArrived', exchangeId: 9, facts: request });
  const { status, retryAfterMs } = only(effects, 'refuse');
  expect(status).to.equal(503);
  expect(retryAfterMs).to.be.within(20_000, 25_000);
});

test('all boxes hear that a server refuses without a time, and send to others', () => {
  const box = createServingBox();
  const refusals = [900, 300].map((ageMs) => ({ kind: 'refusal' as const, ageMs }));
  for (const statement of refusals) {
    box.take(statementNews({ serverId: 'records-1', bornAtMs: undefined, statement }));
  }
  for (let round = 0; round < 20; round += 1) {
    const sent = send(box) as Sent;
    expect(sent.serverId).to.equal('records-2');
    serve(box, sent);
  }
});

test('refusals of a server within half a second are told as one', () => {
  const box = createServingBox();
  for (const ageMs of [900, 800, 700]) {
    const statement = { kind: 'refusal' as const, ageMs };
    box.take(statementNews({ serverId: 'records-1', bornAtMs: undefined, statement }));
  }
  expect(box.state.servers.get('records-1')?.failureScore).to.equal(1);
});
