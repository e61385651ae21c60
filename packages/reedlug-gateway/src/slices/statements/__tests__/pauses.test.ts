import { expect } from 'chai';
import fc from 'fast-check';
import {
  createServingBox,
  facts,
  NO_STATEMENTS,
  ofType,
  only,
  pauseStatement,
  server,
  statementsEvent,
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
  box.take({ type: 'answerBegun', ...ids, statements: NO_STATEMENTS });
  box.take({ type: 'attemptAnswered', ...ids, verdict: 'success', status: 200 });
}

function refuse(box: EventReceiver, { exchangeId, attemptId }: Sent, pauseMs: number): void {
  const ids = { exchangeId, attemptId };
  box.take({ type: 'answerBegun', ...ids, statements: { ...NO_STATEMENTS, pauseMs } });
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

/** Attempts sends from all boxes for a time and returns how many were made. */
function sendsIn(fleet: TestFleet, ms: number): number {
  let sends = 0;
  for (let passedMs = 0; passedMs < ms; passedMs += 500) {
    fleet.pass(500);
    for (const boxId of fleet.boxes.keys()) if (send(boxOf(fleet, boxId)) !== undefined) sends += 1;
  }
  return sends;
}

for (const pauseS of [3, 10, 55]) {
  test(`a pause of ${pauseS} s is kept to its end by all boxes`, () => {
    const fleet = createStableFleet(6);
    refuse(boxOf(fleet, 'box-3'), send(boxOf(fleet, 'box-3')) as Sent, pauseS * 1000);
    expect(sendsIn(fleet, (pauseS - 1) * 1000)).to.equal(0);
    fleet.pass(1500);
    expect(send(boxOf(fleet, 'box-3'))?.serverId).to.equal('records-1');
    expect(send(boxOf(fleet, 'box-1'))?.serverId).to.equal('records-1');
  });
}

for (const pauseS of [3600, 1e9]) {
  test(`in a pause of ${pauseS} s the fleet sends one probe`, () => {
    const fleet = createStableFleet(6);
    refuse(boxOf(fleet, 'box-3'), send(boxOf(fleet, 'box-3')) as Sent, pauseS * 1000);
    expect(sendsIn(fleet, 59_000)).to.equal(0);
    expect(sendsIn(fleet, 120_000)).to.equal(1);
  });
}

test('a served probe lifts a long pause for the boxes that were not asked for it', () => {
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

test('a box that starts receives a pause in force', () => {
  const fleet = createStableFleet(6);
  refuse(boxOf(fleet, 'box-3'), send(boxOf(fleet, 'box-3')) as Sent, 20_000);
  fleet.pass(2000);
  fleet.restart('box-5');
  fleet.pass(1500);
  expect(send(boxOf(fleet, 'box-5'))).to.equal(undefined);
});

test('a pause survives a relisting of its server and ends with its incarnation', () => {
  const box = createServingBox();
  const entry = server('records-1', { bornAtMs: 5 });
  const read = (changed: typeof entry | undefined): void => {
    const revision = box.state.serversRevision + 1;
    const changes = [{ id: 'records-1', entry: changed }];
    box.take({ type: 'serversRead', whole: false, changes, revision, source: 'store' });
  };
  const isPaused = (): boolean =>
    (box.state.servers.get('records-1')?.statements?.rest?.untilMs ?? 0) > box.nowMs;
  read(entry);
  box.take(
    statementsEvent({ serverId: 'records-1', bornAtMs: 5, statement: pauseStatement(9000) }),
  );
  expect(isPaused()).to.equal(true);
  read(undefined);
  read({ ...entry, state: ServerState.ready });
  expect(isPaused()).to.equal(true);
  read({ ...entry, bornAtMs: 6 });
  expect(isPaused()).to.equal(false);
});

test('pauses received in any order are kept to the latest end', () => {
  const pausesArbitrary = fc.array(fc.record({ leftMs: fc.integer({ min: 400, max: 90_000 }) }), {
    minLength: 1,
    maxLength: 6,
  });
  fc.assert(
    fc.property(pausesArbitrary, (pauses) => {
      const ends = [pauses, [...pauses].reverse()].map((order) => {
        const box = createServingBox();
        for (const { leftMs } of order) {
          const statement = pauseStatement(leftMs);
          box.take(statementsEvent({ serverId: 'records-1', bornAtMs: undefined, statement }));
        }
        return box.state.servers.get('records-1')?.statements?.rest?.untilMs;
      });
      expect(ends[0]).to.equal(ends[1]);
      expect(ends[0]).to.equal(Math.max(...pauses.map(({ leftMs }) => leftMs)));
    }),
    { numRuns: 100, seed: 43 },
  );
});

test('a request for which all servers are paused is refused with the earliest end as its retry time', () => {
  const box = createServingBox();
  for (const [serverId, leftMs] of [
    ['records-1', 30_000] as const,
    ['records-2', 20_000] as const,
  ]) {
    box.take(statementsEvent({ serverId, bornAtMs: undefined, statement: pauseStatement(leftMs) }));
  }
  const request = facts({ requestId: 'late', path: '/lookup/1', deadlineMs: 8000 });
  const effects = box.take({ type: 'requestArrived', exchangeId: 9, facts: request });
  const { status, retryAfterMs } = only(effects, 'refuse');
  expect(status).to.equal(503);
  expect(retryAfterMs).to.be.within(20_000, 25_000);
});

test('a box that learns of a refusal without a pause sends to other servers', () => {
  const box = createServingBox();
  const refusals = [900, 300].map((ageMs) => ({ kind: 'refusal' as const, ageMs }));
  for (const statement of refusals) {
    box.take(statementsEvent({ serverId: 'records-1', bornAtMs: undefined, statement }));
  }
  for (let round = 0; round < 20; round += 1) {
    const sent = send(box) as Sent;
    expect(sent.serverId).to.equal('records-2');
    serve(box, sent);
  }
});

test('refusals of a server within half a second count as one', () => {
  const box = createServingBox();
  for (const ageMs of [900, 800, 700]) {
    const statement = { kind: 'refusal' as const, ageMs };
    box.take(statementsEvent({ serverId: 'records-1', bornAtMs: undefined, statement }));
  }
  expect(box.state.servers.get('records-1')?.failureScore).to.equal(1);
});
