import { expect } from 'chai';
import {
  configuration,
  createServingBox,
  facts,
  ofType,
  only,
  route,
  server,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import type { AnswerVerdict, RequestFacts } from '../../../types/request.js';
import { CONNECTION_REFUSED_REASON } from '../../../types/serverLink.js';

function sendRequest(box: TestBox, changes: Partial<RequestFacts> = {}) {
  return only(box.take({ type: 'requestArrived', exchangeId: 1, facts: facts(changes) }), 'send');
}

function answer(box: TestBox, attemptId: number, verdict: AnswerVerdict, status = 200) {
  return box.take({ type: 'attemptAnswered', exchangeId: 1, attemptId, verdict, status });
}

function lose(box: TestBox, attemptId: number) {
  return box.take({ type: 'attemptLost', exchangeId: 1, attemptId, reason: 'ECONNRESET' });
}

test('an answer goes to the caller', () => {
  const box = createServingBox();
  const { attemptId } = sendRequest(box);
  expect(only(answer(box, attemptId, 'success'), 'relay').part).to.equal('whole');
  expect(box.state.requests.size).to.equal(0);
});

test('a notice whose connection is lost is never sent again', () => {
  const box = createServingBox();
  const { attemptId } = sendRequest(box, { path: '/notice/1' });
  const effects = lose(box, attemptId);
  expect(ofType(effects, 'send')).to.have.length(0);
  expect(only(effects, 'refuse').status).to.equal(502);
});

test('a notice that its server refused may be sent to another server', () => {
  const box = createServingBox();
  const { attemptId, order } = sendRequest(box, { path: '/notice/1' });
  const again = only(answer(box, attemptId, 'notRun', 503), 'send');
  expect(again.order.serverId).not.to.equal(order.serverId);
});

test('a notice that every server refused is answered as not run', () => {
  const box = createServingBox();
  const { attemptId } = sendRequest(box, { path: '/notice/1' });
  const again = only(answer(box, attemptId, 'notRun', 503), 'send');
  const refusal = only(answer(box, again.attemptId, 'notRun', 503), 'refuse');
  expect(refusal.status).to.equal(503);
  expect(refusal.retryAfterMs).to.be.greaterThan(0);
});

test('a look-up whose connection is lost goes to the other server, with less time', () => {
  const box = createServingBox();
  const first = sendRequest(box);
  box.pass(100);
  const again = only(lose(box, first.attemptId), 'send');
  expect(again.order.serverId).not.to.equal(first.order.serverId);
  expect(again.order.deadlineMs).to.equal(first.order.deadlineMs - 100);
});

test('a look-up goes to no more servers than its route allows', () => {
  const box = createServingBox();
  const changes = [{ id: 'records-3', entry: server('records-3') }];
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
  const again = only(lose(box, sendRequest(box).attemptId), 'send');
  const effects = lose(box, again.attemptId);
  expect(ofType(effects, 'send')).to.have.length(0);
  expect(only(effects, 'refuse').status).to.equal(502);
});

test('a stream that may be resumed continues after its last event', () => {
  const box = createServingBox();
  const { attemptId } = sendRequest(box, { path: '/draft/1', deadlineMs: 8000 });
  answer(box, attemptId, 'success');
  box.take({ type: 'eventsRelayed', exchangeId: 1, attemptId, lastEventId: 4 });
  const again = only(lose(box, attemptId), 'send');
  expect(again.order.resumeAfterEventId).to.equal(4);
});

test('a stream that may not be resumed is cut when its server is lost', () => {
  const box = createServingBox();
  const { attemptId } = sendRequest(box, { path: '/review/1', deadlineMs: 8000 });
  answer(box, attemptId, 'success');
  const effects = lose(box, attemptId);
  expect(ofType(effects, 'send')).to.have.length(0);
  expect(ofType(effects, 'cutCaller')).to.have.length(1);
});

test('a caller that disconnects cancels its attempt at once', () => {
  const box = createServingBox();
  const { attemptId } = sendRequest(box);
  const effects = box.take({ type: 'callerGone', exchangeId: 1 });
  expect(only(effects, 'cancelAttempt').attemptId).to.equal(attemptId);
});

test('at its deadline a request gets a final answer', () => {
  const box = createServingBox();
  sendRequest(box);
  const effects = box.pass(600);
  expect(only(effects, 'refuse').status).to.equal(504);
  expect(ofType(effects, 'cancelAttempt')).to.have.length(1);
});

test('a server whose address another server has taken over is removed', () => {
  const box = createServingBox();
  const { attemptId, order } = sendRequest(box);
  answer(box, attemptId, 'otherServer', 421);
  expect(box.state.servers.has(order.serverId)).to.equal(false);
});

test('the retry budget limits retries when every send is lost', () => {
  const box = createServingBox();
  let repeats = 0;
  for (let exchangeId = 1; exchangeId <= 400; exchangeId += 1) {
    const request = facts({ requestId: `request-${exchangeId}` });
    box.state.quotas.clear();
    const first = only(box.take({ type: 'requestArrived', exchangeId, facts: request }), 'send');
    const { attemptId } = first;
    const lost = { type: 'attemptLost', exchangeId, attemptId, reason: 'ECONNRESET' } as const;
    const again = ofType(box.take(lost), 'send')[0];
    if (again === undefined) continue;
    repeats += 1;
    box.take({ ...lost, attemptId: again.attemptId });
  }
  expect(repeats).to.be.at.most(400 * 0.2 + 50);
  expect(repeats).to.be.at.least(20);
});

test('a removed route gets 404, and an unknown key 401', () => {
  const box = createServingBox();
  const take = (changes: Partial<RequestFacts>) =>
    only(box.take({ type: 'requestArrived', exchangeId: 1, facts: facts(changes) }), 'refuse');
  expect(take({ path: '/elsewhere/1' }).status).to.equal(404);
  expect(take({ key: 'no such key' }).status).to.equal(401);
  const routes = [route({ pathPrefix: '/other/' })];
  const next = configuration({ version: 2, routes });
  box.take({ type: 'configurationRead', configuration: next, source: 'store' });
  expect(take({}).status).to.equal(404);
});

/** Sends a draft request, which opens a stream, and returns its first send. */
function sendDraft(box: TestBox, exchangeId: number, path = '/draft/1') {
  const request = facts({
    requestId: `draft-${exchangeId}`,
    path,
    deadlineMs: 8000,
    promptTokens: 400,
    maxOutputTokens: 10,
  });
  return only(box.take({ type: 'requestArrived', exchangeId, facts: request }), 'send');
}

function passTicks(box: TestBox, ms: number) {
  return Array.from({ length: ms / 50 }, () => box.pass(50)).flat();
}

test('a stream whose server stays silent is sent to another one', () => {
  const box = createServingBox();
  const first = sendDraft(box, 1);
  expect(ofType(passTicks(box, 400), 'send')).to.have.length(0);
  const effects = passTicks(box, 1000);
  const again = only(effects, 'send');
  expect(again.order.serverId).not.to.equal(first.order.serverId);
  expect(only(effects, 'cancelAttempt').attemptId).to.equal(first.attemptId);
});

test('a stream that goes silent midway is resumed after its last event', () => {
  const box = createServingBox();
  const { attemptId } = sendDraft(box, 1);
  answer(box, attemptId, 'success');
  box.take({ type: 'eventsRelayed', exchangeId: 1, attemptId, lastEventId: 4 });
  const again = only(passTicks(box, 2000), 'send');
  expect(again.order.resumeAfterEventId).to.equal(4);
});

test('a slow request stays while its server still answers other requests', () => {
  const box = createServingBox();
  const first = sendDraft(box, 1);
  let other = sendDraft(box, 2);
  for (let exchangeId = 3; other.order.serverId !== first.order.serverId; exchangeId += 1) {
    other = sendDraft(box, exchangeId);
  }
  const exchangeId = [...box.state.requests.values()].find(({ attempts }) =>
    attempts.some(({ attemptId }) => attemptId === other.attemptId),
  )?.exchangeId;
  const otherAttempt = { exchangeId: exchangeId ?? 0, attemptId: other.attemptId };
  box.take({ type: 'attemptAnswered', ...otherAttempt, verdict: 'success', status: 200 });
  for (let lastEventId = 1; lastEventId < 40; lastEventId += 1) {
    const moved = ofType(box.pass(50), 'cancelAttempt');
    expect(moved.some(({ attemptId }) => attemptId === first.attemptId)).to.equal(false);
    box.take({ type: 'eventsRelayed', ...otherAttempt, lastEventId });
  }
});

test('a request that may not be repeated stays with its silent server', () => {
  const box = createServingBox();
  sendDraft(box, 1, '/review/1');
  expect(ofType(passTicks(box, 3000), 'send')).to.have.length(0);
});

test('a silent server gets no more requests while another one answers', () => {
  const box = createServingBox();
  const first = sendDraft(box, 1, '/review/1');
  box.pass(600);
  for (let exchangeId = 2; exchangeId < 6; exchangeId += 1) {
    const { order, attemptId } = sendDraft(box, exchangeId);
    expect(order.serverId).not.to.equal(first.order.serverId);
    box.take({ type: 'attemptAnswered', exchangeId, attemptId, verdict: 'success', status: 200 });
    box.take({ type: 'attemptEnded', exchangeId, attemptId });
  }
});

/** Sends requests that stay open, and returns the servers that they are sent to. */
function serversOfOpenRequests(box: TestBox): Set<string> {
  const ids = Array.from({ length: 12 }, (_, index) => index + 10);
  const sends = ids.map((exchangeId) => {
    const requestId = `open-${exchangeId}`;
    const request = facts({ requestId, digest: requestId });
    return only(box.take({ type: 'requestArrived', exchangeId, facts: request }), 'send');
  });
  return new Set(sends.map(({ order }) => order.serverId));
}

test('a server that refused one connection gets no more requests while another one is up', () => {
  const box = createServingBox();
  const { attemptId, order } = sendRequest(box);
  const reason = CONNECTION_REFUSED_REASON;
  box.take({ type: 'attemptNotSent', exchangeId: 1, attemptId, reason });
  expect([...serversOfOpenRequests(box)]).to.not.include(order.serverId);
});

test('a server that another box saw crash gets no more requests while another one is up', () => {
  const box = createServingBox();
  const { bornAtMs } = box.state.servers.get('records-1')?.entry ?? {};
  const recent = [['records-1', bornAtMs ?? null, 200, 100]] as const;
  const message = { kind: 'crashSuspects', boxId: 'box-2', suspects: [], recent } as const;
  box.take({ type: 'crashSuspects', message });
  expect([...serversOfOpenRequests(box)]).to.deep.equal(['records-2']);
});

test('a server that answered after the crash that another box reports is used', () => {
  const box = createServingBox();
  const { attemptId, order } = sendRequest(box);
  answer(box, attemptId, 'success');
  const { bornAtMs } = box.state.servers.get(order.serverId)?.entry ?? {};
  const recent = [[order.serverId, bornAtMs ?? null, 200, 100]] as const;
  const message = { kind: 'crashSuspects', boxId: 'box-2', suspects: [], recent } as const;
  box.take({ type: 'crashSuspects', message });
  expect([...serversOfOpenRequests(box)]).to.include(order.serverId);
});

test('only successful answers count for the performance model', () => {
  const recordedSends = (verdict: AnswerVerdict, status: number): number => {
    const box = createServingBox();
    const { attemptId } = sendRequest(box, { path: '/notice/1' });
    box.pass(80);
    answer(box, attemptId, verdict, status);
    return box.state.ownSends.get('records')?.sums.sends ?? 0;
  };
  expect(recordedSends('failure', 500)).to.equal(0);
  expect(recordedSends('notRun', 503)).to.equal(0);
  expect(recordedSends('invalid', 200)).to.equal(0);
  expect(recordedSends('success', 200)).to.equal(1);
});

test('an answer that was read late does not make its server look slow', () => {
  const slownessAfter = (isReadLate: boolean): number => {
    const box = createServingBox();
    const { attemptId, order } = sendRequest(box);
    box.pass(400);
    const ids = { exchangeId: 1, attemptId };
    box.take({ type: 'attemptAnswered', ...ids, verdict: 'success', status: 200, isReadLate });
    return box.state.servers.get(order.serverId)?.slowness ?? 0;
  };
  expect(slownessAfter(true)).to.equal(1);
  expect(slownessAfter(false)).to.be.greaterThan(1);
});

test('the time for which a request was held counts against its deadline', () => {
  const sendAfter = (heldMs: number) => {
    const box = createServingBox();
    const arrived = { type: 'requestArrived', exchangeId: 1, facts: facts({}), heldMs } as const;
    return only(box.take(arrived), 'send').order.deadlineMs;
  };
  expect(sendAfter(80)).to.equal(sendAfter(0) - 80);
});

test('a request that was held for too long is refused as not run, with a time to come back', () => {
  const box = createServingBox();
  const refusal = only(
    box.take({ type: 'requestHeldTooLong', exchangeId: 1, facts: facts({}) }),
    'refuse',
  );
  expect(refusal).to.include({ status: 503, reason: 'boxBehind' });
  expect(refusal.retryAfterMs).to.be.at.least(500);
});
