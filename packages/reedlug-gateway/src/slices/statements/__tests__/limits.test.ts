import { expect } from 'chai';
import {
  createServingBox,
  facts,
  ofType,
  only,
  server,
  type TestBox,
  NO_STATEMENTS,
  limitStatement,
  statementsEvent,
} from '../../../__tests__/__fixtures__/box.js';
import { createFleet, type TestFleet } from '../../../__tests__/__fixtures__/fleet.js';
import { eventOfDatagram } from '../../../daemon/datagramEvent.js';
import { decodeDatagram, encoder } from '../../../daemon/peerWire.js';
import type { Effect } from '../../../types/effect.js';
import type { LimitStatement } from '../../../types/serverStatement.js';

let nextExchangeId = 1;

function requestOf(path = '/lookup/1') {
  const exchangeId = nextExchangeId;
  nextExchangeId += 1;
  const request = facts({ requestId: `r${exchangeId}`, path, deadlineMs: 8000 });
  return { type: 'requestArrived' as const, exchangeId, facts: request };
}

interface Sent {
  exchangeId: number;
  attemptId: number;
  serverId: string;
}

function sentOf(effects: readonly Effect[]): Sent | undefined {
  const sent = ofType(effects, 'send')[0];
  if (sent === undefined) return undefined;
  const { exchangeId, attemptId, order } = sent;
  return { exchangeId, attemptId, serverId: order.serverId };
}

function answer({ exchangeId, attemptId }: Sent, limit: LimitStatement) {
  const ids = { exchangeId, attemptId };
  return [
    { type: 'answerBegun' as const, ...ids, statements: { ...NO_STATEMENTS, limit } },
    { type: 'attemptAnswered' as const, ...ids, verdict: 'success' as const, status: 200 },
  ];
}

const NONE: LimitStatement = { kind: 'none' };

/** Sends one look-up request and answers it with the limit of the chosen server; returns the id of that server. */
function sendAndAnswer(
  box: TestBox,
  limits: Readonly<Record<string, LimitStatement>>,
): string | undefined {
  const sent = sentOf(box.take(requestOf()));
  if (sent === undefined) return undefined;
  for (const event of answer(sent, limits[sent.serverId] ?? NONE)) box.take(event);
  return sent.serverId;
}

/** Simulates look-up requests to all boxes every few ms, with servers that name the given limit in each answer. */
function simulate(
  fleet: TestFleet,
  params: { forMs: number; everyMs: number; limit: () => LimitStatement },
): { atMs: number; refusedMs: number[]; sentAtMs: number[] } {
  const ids = [...fleet.boxes.keys()];
  const refusedMs: number[] = [];
  const sentAtMs: number[] = [];
  let round = 0;
  for (let atMs = 0; atMs < params.forMs; atMs += 50) {
    fleet.pass(50);
    for (let since = 0; since < 50; since += params.everyMs) {
      round += 7;
      const boxId = ids[round % ids.length] ?? '';
      const effects = fleet.take(boxId, requestOf());
      const sent = sentOf(effects);
      for (const { retryAfterMs = 0 } of ofType(effects, 'refuse')) refusedMs.push(retryAfterMs);
      if (sent === undefined) continue;
      sentAtMs.push(atMs);
      for (const event of answer(sent, params.limit())) fleet.take(boxId, event);
    }
  }
  return { atMs: params.forMs, refusedMs, sentAtMs };
}

function maxInWindow(sentAtMs: readonly number[], fromMs: number): number {
  const counted = sentAtMs.filter((atMs) => atMs >= fromMs);
  const windows = counted.map(
    (endMs) => counted.filter((atMs) => atMs > endMs - 4000 && atMs <= endMs).length,
  );
  return Math.max(0, ...windows);
}

test('a limit that one box receives is soon known to all, also through hubs', () => {
  for (const boxes of [6, 24, 69]) {
    const fleet = createFleet({ boxes, zones: ['zone-a', 'zone-b', 'zone-c'] });
    fleet.pass(4000);
    const sent = sentOf(fleet.take('box-4', requestOf())) as Sent;
    for (const event of answer(sent, { kind: 'limit', perSecond: 2 })) fleet.take('box-4', event);
    fleet.pass(300);
    for (const [boxId, { state }] of fleet.boxes) {
      const limit = state.servers.get(sent.serverId)?.statements?.limit;
      expect(limit?.perSecond, `${boxId} of ${boxes}`).to.equal(2);
    }
  }
});

test('all boxes together keep to a limit in each four seconds, and use most of it', () => {
  for (const boxes of [6, 24, 69]) {
    for (const perSecond of [0.4, 1, 8, 50]) {
      const fleet = createFleet({ boxes, zones: ['zone-a', 'zone-b', 'zone-c'] });
      fleet.pass(4000);
      const limit = (): LimitStatement => ({ kind: 'limit', perSecond });
      const { sentAtMs } = simulate(fleet, { forMs: 16_000, everyMs: 5, limit });
      const label = `${boxes} boxes, ${perSecond} a second`;
      expect(maxInWindow(sentAtMs, 1000), label).to.be.at.most(perSecond * 5 + 1);
      const used = sentAtMs.filter((atMs) => atMs >= 4000).length / (perSecond * 12);
      expect(used, label).to.be.at.least(0.8);
    }
  }
});

test('the share of a box that is lost, restarts or shuts down passes on without being used twice', () => {
  const fleet = createFleet({ boxes: 6, zones: ['zone-a', 'zone-b', 'zone-c'] });
  fleet.pass(4000);
  const limit = (): LimitStatement => ({ kind: 'limit', perSecond: 1 });
  const sentAtMs: number[] = [];
  let elapsedMs = 0;
  const continueSimulation = (): void => {
    const { sentAtMs: sent } = simulate(fleet, { forMs: 5000, everyMs: 10, limit });
    sentAtMs.push(...sent.map((atMs) => elapsedMs + atMs));
    elapsedMs += 5000;
  };
  continueSimulation();
  const senders = [...fleet.boxes].filter(
    ([, { state }]) =>
      state.servers.get('records-1')?.statements?.limit?.sends.sharingSinceMs !== undefined,
  );
  expect(senders.length).to.equal(2);
  fleet.kill(senders[0]?.[0] ?? '');
  continueSimulation();
  fleet.take(senders[1]?.[0] ?? '', { type: 'stopAsked' });
  continueSimulation();
  expect(maxInWindow(sentAtMs, 3000)).to.be.at.most(6);
  expect(sentAtMs.filter((atMs) => atMs > 12_000).length).to.be.at.least(2);
});

test('a box that starts receives the limits in force and keeps to them', () => {
  const fleet = createFleet({ boxes: 6, zones: ['zone-a', 'zone-b', 'zone-c'] });
  fleet.pass(4000);
  simulate(fleet, { forMs: 2000, everyMs: 10, limit: () => ({ kind: 'limit', perSecond: 1 }) });
  fleet.restart('box-2');
  fleet.pass(500);
  expect(
    fleet.boxes.get('box-2')?.state.servers.get('records-1')?.statements?.limit?.perSecond,
  ).to.equal(1);
});

test('when a limit ends all boxes use the server again, at a growing rate', () => {
  const fleet = createFleet({ boxes: 6, zones: ['zone-a', 'zone-b', 'zone-c'] });
  fleet.pass(4000);
  let limit: LimitStatement = { kind: 'limit', perSecond: 1 };
  simulate(fleet, { forMs: 4000, everyMs: 10, limit: () => limit });
  limit = NONE;
  const { sentAtMs } = simulate(fleet, { forMs: 8000, everyMs: 25, limit: () => limit });
  const sentIn = (fromMs: number, untilMs: number): number =>
    sentAtMs.filter((atMs) => atMs >= fromMs && atMs < untilMs).length;
  expect(sentIn(0, 1000)).to.be.below(sentIn(1000, 2500));
  expect(sentIn(6000, 7000)).to.equal(40);
});

test('a request that no server accepts is refused at once, with accurate and distinct retry times', () => {
  const box = createServingBox();
  const limited: LimitStatement = { kind: 'limit', perSecond: 0.5 };
  const limits = { 'records-1': limited, 'records-2': limited };
  box.pass(4000);
  for (let round = 0; round < 4; round += 1) sendAndAnswer(box, limits);
  const refusals = [1, 2, 3].map(() => only(box.take(requestOf()), 'refuse'));
  for (const { status, reason } of refusals) {
    expect(status).to.equal(503);
    expect(reason).to.equal('serversLimited');
  }
  const times = refusals.map(({ retryAfterMs = 0 }) => retryAfterMs);
  expect(new Set(times).size).to.equal(3);
  for (const ms of times) expect(ms).to.be.within(100, 6250);
});

test('no request waits for a limited server while another server accepts requests', () => {
  const box = createServingBox();
  box.pass(4000);
  const limits = { 'records-1': { kind: 'limit', perSecond: 0.4 } } as const;
  const asked = Array.from({ length: 40 }, () => sendAndAnswer(box, limits));
  expect(asked.filter((id) => id === 'records-1').length).to.be.at.most(2);
  expect(asked.filter((id) => id === 'records-2').length).to.be.at.least(38);
});

test('malformed limits change nothing and are logged', () => {
  const box = createServingBox();
  const odd: LimitStatement = { kind: 'odd', value: 'x'.repeat(500) };
  const sent = sentOf(box.take(requestOf())) as Sent;
  const effects = answer(sent, odd).flatMap((event) => box.take(event));
  const lines = ofType(effects, 'log').filter(({ event }) => event === 'serverLimitOdd');
  expect(lines.map(({ fields }) => String(fields['value']).length)).to.deep.equal([40]);
  expect(box.state.servers.get(sent.serverId)?.statements?.limit).to.equal(undefined);
});

test('a malformed limit does not end a limit in force', () => {
  const box = createServingBox();
  box.pass(4000);
  const limits: Record<string, LimitStatement> = { 'records-1': { kind: 'limit', perSecond: 50 } };
  for (let round = 0; round < 5; round += 1) sendAndAnswer(box, limits);
  limits['records-1'] = { kind: 'odd', value: '' };
  box.pass(1000);
  for (let round = 0; round < 5; round += 1) sendAndAnswer(box, limits);
  expect(box.state.servers.get('records-1')?.statements?.limit?.perSecond).to.equal(50);
});

test('a limit belongs to one incarnation of its server', () => {
  const box = createServingBox();
  const entry = server('records-1', { bornAtMs: 1 });
  const change = (bornAtMs: number) => ({ id: entry.id, entry: { ...entry, bornAtMs } });
  const read = { type: 'serversRead' as const, whole: false, source: 'store' as const };
  box.take({ ...read, changes: [change(1)], revision: 2 });
  const statement = limitStatement(2, { sentAgeMs: 10, receivedAgeMs: 5 });
  const news = statementsEvent({ serverId: 'records-1', bornAtMs: 1, statement });
  box.take(news);
  expect(box.state.servers.get('records-1')?.statements?.limit?.perSecond).to.equal(2);
  box.take({ ...read, changes: [change(9)], revision: 3 });
  expect(box.state.servers.get('records-1')?.statements?.limit).to.equal(undefined);
  box.take(news);
  expect(box.state.servers.get('records-1')?.statements?.limit).to.equal(undefined);
});

test('malformed statements in a datagram change nothing', () => {
  const box = createServingBox();
  const odd: unknown[] = [
    undefined,
    [],
    ['records-1'],
    ['records-1', null, -1, 1, 1],
    ['records-1', null, 'many', 1, 1],
    ['records-1', null, 1, Number.NaN, 1],
    ['records-1', {}, 1, 1, 1],
  ];
  const rows = { kind: 'serverFacts', boxId: 'box-2', limits: odd, pauses: odd };
  const message = decodeDatagram(encoder.encode(rows));
  if (message === undefined) throw new Error('the datagram is well formed');
  box.take(eventOfDatagram(message));
  expect(box.state.statements.size).to.equal(0);
});

test('a server that refuses and asks for a pause gets no request from any box until its end', () => {
  const fleet = createFleet({ boxes: 24, zones: ['zone-a', 'zone-b', 'zone-c'] });
  fleet.pass(4000);
  const { exchangeId, attemptId } = sentOf(fleet.take('box-3', requestOf())) as Sent;
  const ids = { exchangeId, attemptId };
  const statements = { ...NO_STATEMENTS, pauseMs: 2000 };
  fleet.take('box-3', { type: 'answerBegun', ...ids, statements });
  fleet.take('box-3', { type: 'attemptAnswered', ...ids, verdict: 'notRun', status: 503 });
  fleet.pass(300);
  for (const boxId of ['box-3', 'box-11', 'box-20']) {
    const { status, retryAfterMs } = only(fleet.take(boxId, requestOf()), 'refuse');
    expect(status).to.equal(503);
    expect(retryAfterMs).to.be.within(1000, 6250);
  }
  fleet.pass(2000);
  for (const boxId of ['box-3', 'box-11', 'box-20']) {
    expect(sentOf(fleet.take(boxId, requestOf()))?.serverId).to.equal('records-1');
  }
});

test('a server that refuses without asking for a pause is tried again at once', () => {
  const box = createServingBox();
  const { exchangeId, attemptId, serverId } = sentOf(box.take(requestOf())) as Sent;
  const refusal = { verdict: 'notRun' as const, status: 503 };
  box.take({ type: 'attemptAnswered', exchangeId, attemptId, ...refusal });
  expect(box.state.servers.get(serverId)?.statements?.rest).to.equal(undefined);
});

test('in a small fleet only the box that received a change sends it, twice', () => {
  const fleet = createFleet({ boxes: 6, zones: ['zone-a', 'zone-b', 'zone-c'] });
  fleet.pass(4000);
  const sent = sentOf(fleet.take('box-4', requestOf())) as Sent;
  for (const event of answer(sent, { kind: 'limit', perSecond: 2 })) fleet.take('box-4', event);
  const senders: string[] = [];
  for (let passed = 0; passed < 3000; passed += 50) {
    fleet.pass(50);
    for (const [boxId, effects] of fleet.effects) {
      const sent = ofType(effects, 'sendPeers').filter(
        ({ message }) => message.kind === 'serverStatements',
      );
      senders.push(...sent.map(() => boxId));
    }
  }
  expect(senders).to.deep.equal(['box-4', 'box-4']);
});
