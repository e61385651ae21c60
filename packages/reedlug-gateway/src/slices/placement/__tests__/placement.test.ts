/** Placement by size at a box: speeds from its state, loads from its peers, log fields, and learning. */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  configuration,
  createBox,
  facts,
  listBoxes,
  ofType,
  only,
  peerMessage,
  server,
  settings,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { chooseServer, type Choice } from '../../../policy/chooseServer.js';
import { recordFirstEvent } from '../../engines/engineModels.js';

const ENGINES = 30;
/** One engine in ten is fast, so that two thirds of the samples of four have none. */
const speedOfEngine = (index: number): number => (index % 10 === 0 ? 1.7 : 0.9);
const isFast = (id: string | undefined): boolean => /0$/.test(id ?? '');

function createBoxOfEngines(speed: (index: number) => number = speedOfEngine): TestBox {
  const box = createBox(settings({}, { learnServerSpeeds: true, placeBySize: true }));
  const ids = Array.from({ length: ENGINES }, (_, index) => `engine-${index}`);
  const changes = ids.map((id) => ({ id, entry: server(id, { service: 'engines', slots: 12 }) }));
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  setSpeeds(box, speed);
  return box;
}

function setSpeeds(box: TestBox, speed: (index: number) => number): void {
  const byServer = new Map(
    [...box.state.servers.keys()].map((id, index) => [
      id,
      { bornAtMs: undefined, speed: speed(index) },
    ]),
  );
  const speeds = { inUse: true, evidenceMs: 1000, computedAtMs: box.nowMs, byServer };
  box.state.serverSpeeds.services.set('engines', speeds);
}

/** Chooses for a prompt; 60 tokens take a millisecond by the initial model. */
function choose(box: TestBox, promptTokens: number, index = 0): Choice | undefined {
  const requestId = `request-${index}`;
  return chooseServer(box.state, {
    service: 'engines',
    facts: facts({ requestId, promptTokens, maxOutputTokens: 10 }),
    ...{ urgency: 0, targetMs: 1000, nowMs: box.nowMs, excludedServers: new Set<string>() },
  });
}

test('a long prompt goes to a fast engine, whichever ones it samples', () => {
  const box = createBoxOfEngines();
  for (let index = 0; index < 100; index += 1) {
    const choice = choose(box, 55_000, index);
    expect(isFast(choice?.view.entry.id)).to.equal(true);
    expect(choice?.expectedMs).to.be.at.most(1000);
  }
});

test('with fast engines draining, failing or full, a long prompt goes to the others', () => {
  const spoil: ((box: TestBox, id: string) => void)[] = [
    (box, id) => box.state.servers.delete(id),
    (box, id) => Object.assign(box.state.servers.get(id) ?? {}, { leaving: true }),
    (box, id) =>
      Object.assign(box.state.servers.get(id) ?? {}, { failureScore: 9, failureAtMs: box.nowMs }),
    (box, id) => Object.assign(box.state.servers.get(id) ?? {}, { running: 60 }),
  ];
  for (const change of spoil) {
    const box = createBoxOfEngines();
    for (const id of [...box.state.servers.keys()].filter(isFast)) change(box, id);
    const choice = choose(box, 55_000);
    expect(choice).not.to.equal(undefined);
    expect(isFast(choice?.view.entry.id)).to.equal(false);
  }
});

test('loads of any age from peers count, and the age is told', () => {
  const drawnLoads = fc.array(fc.integer({ min: 0, max: 200_000 }), {
    minLength: ENGINES,
    maxLength: ENGINES,
  });
  fc.assert(
    fc.property(drawnLoads, fc.integer({ min: 0, max: 900 }), (tokens, ageMs) => {
      const box = createBoxOfEngines();
      const loads = Object.fromEntries(
        tokens.map((prefillTokens, index) => [
          `engine-${index}`,
          { running: 1, prefillTokens, unread: 1, unreadByUrgency: [prefillTokens] },
        ]),
      );
      box.take({ type: 'peerMessage', message: peerMessage({ loads }) });
      box.nowMs += ageMs;
      setSpeeds(box, speedOfEngine);
      const choice = choose(box, 50_000);
      expect(choice?.placement?.loadAgeMs).to.equal(ageMs);
      const hasRoom = tokens.some(
        (ahead, index) => isFast(`engine-${index}`) && (ahead + 50_000) / 60 / 1.7 + 30 < 1000,
      );
      if (hasRoom) expect(choice?.waitMs).to.be.at.most(1000);
    }),
  );
});

/** Sends a draft at a box that serves, and returns the log fields of the send. */
function sendDraft(box: TestBox, promptTokens: number) {
  box.take({ type: 'configurationRead', configuration: configuration(), source: 'store' });
  listBoxes(box);
  const request = facts({ path: '/draft/1', promptTokens, maxOutputTokens: 10, deadlineMs: 8000 });
  const effects = box.take({ type: 'requestArrived', exchangeId: 1, facts: request });
  only(effects, 'send');
  return ofType(effects, 'log').find(({ event }) => event === 'requestSent')?.fields;
}

test('the log of a send tells what the request needed and what was found', () => {
  const fields = sendDraft(createBoxOfEngines(), 6000);
  expect(fields).to.include({ placement: 'inTime', neededSpeed: '0.00', leavesRoom: false });
  expect(fields).to.include({ targetLeftMs: 1200, loadAgeMs: 0 });
  const equal = sendDraft(
    createBoxOfEngines(() => 1),
    6000,
  );
  expect(equal).not.to.have.property('placement');
});

/** Sends a draft, records its first event after a share of the model time, and returns the box's state. */
function receiveAfter(promptTokens: number, timeShare: number): TestBox {
  const box = createBoxOfEngines();
  sendDraft(box, promptTokens);
  const record = box.state.requests.get(1);
  const attempt = record?.attempts[0];
  if (record === undefined || attempt === undefined) throw new Error('not sent');
  const nowMs = box.nowMs + attempt.modelMs * timeShare;
  recordFirstEvent(
    box.state,
    { nowMs, wallClockMs: nowMs, effects: [], faults: [] },
    record,
    attempt,
  );
  return box;
}

test('the model records a time as at speed 1, so that long prompts on fast engines do not change it', () => {
  const box = receiveAfter(6000, 1 / 1.7);
  const { waitMs = 0, sends } = box.state.ownSends.get('engines')?.sums ?? {};
  const attempt = box.state.requests.get(1)?.attempts[0];
  const speed = isFast(attempt?.serverId) ? 1.7 : 0.9;
  expect(sends).to.equal(1);
  expect(waitMs).to.be.closeTo(((attempt?.modelMs ?? 0) / 1.7) * speed, 1e-6);
});

test('the speed of a server is learned from long prompts, not from short ones', () => {
  // Short prompts take as long at fast engines as at slow ones, and would make them look alike.
  expect(receiveAfter(6000, 1).state.serverSpeeds.own.size).to.equal(1);
  expect(receiveAfter(600, 1).state.serverSpeeds.own.size).to.equal(0);
});
