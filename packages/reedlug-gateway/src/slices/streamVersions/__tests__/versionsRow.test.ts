import { expect } from 'chai';
import {
  configuration,
  ofType,
  only,
  peerMessage,
  takeContacts,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import type { Effect } from '../../../types/effect.js';
import { ServerState } from '../../../types/server.js';
import { streamStartsKey, type ServedVersionsRow } from '../../../types/streamVersion.js';
import { confirmationNeed } from '../attemptConfirmations.js';
import {
  addPeer,
  listEngines,
  passWithoutStall,
  request,
  takeUp,
  versionOf,
} from './__fixtures__/takenUpStreams.js';
import {
  answerRead,
  answerWrite,
  awaitListing,
  createBox,
  ERA,
  passUntilWrite,
  REVISION,
  rowOf,
  writesOf,
} from './__fixtures__/versionsRowBox.js';

/** Longest version of an entry, in characters, and number of versions of a service that the row holds. */
const MAX_VERSION_LENGTH = 200;
const MAX_VERSIONS_IN_ROW = 32;
/** Longest time for which a box that has just started holds a first event, in ms. */
const MAX_WAIT_MS = 800;

/** Adds a service with a server and a route of streams. */
function addWriters(box: TestBox): void {
  const { routes, services, ...others } = configuration();
  const draft = routes.find(({ name }) => name === 'draft');
  const engines = services.find(({ name }) => name === 'engines');
  if (draft === undefined || engines === undefined) throw new Error('no route of streams');
  const target = { service: 'writers', weight: 1 };
  const write = { ...draft, name: 'write', pathPrefix: '/write/', targets: [target] };
  const writers = { ...engines, name: 'writers' };
  const next = {
    ...others,
    version: 2,
    routes: [...routes, write],
    services: [...services, writers],
  };
  box.take({ type: 'configurationRead', configuration: next, source: 'store' });
  listEngines(box, { 'writer-1': { service: 'writers', version: 'w1', bornAtMs: 1 } });
}

test('a version that serves alone is written too, and once', () => {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v1' });
  const effects = passUntilWrite(box);
  const { services, era } = writesOf(effects)[0]?.value as ServedVersionsRow;
  expect({ engines: services['engines'], era }).to.deep.equal({ engines: { v1: null }, era: ERA });
  answerWrite(box, effects);
  expect(passUntilWrite(box)).to.have.length(0);
});

test('the first event of a stream waits until the version of its server is listed', () => {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v1' });
  const { attemptId, effects } = awaitListing(box);
  expect(ofType(effects, 'listingEnded')).to.have.length(0);
  expect(writesOf(effects)).to.have.length(1);
  expect(only(answerWrite(box, effects), 'listingEnded').attemptId).to.equal(attemptId);
});

test('the longest version that an entry may have is listed, and the row is not written again', () => {
  const version = 'v'.repeat(MAX_VERSION_LENGTH);
  const box = createBox({ 'engine-1': version, 'engine-2': version });
  const { effects } = awaitListing(box);
  expect(ofType(answerWrite(box, effects), 'listingEnded')).to.have.length(1);
  expect(passUntilWrite(box)).to.have.length(0);
});

test('more versions of one service than the row holds do not keep streams of others from waiting', () => {
  const old = Array.from({ length: MAX_VERSIONS_IN_ROW }, (_, index) => `v${index}`);
  const engines = old.map((version, index) => [`engine-${index + 1}`, version] as const);
  const box = createBox(Object.fromEntries(engines));
  const state = ServerState.leaving;
  for (const [id, version] of engines) listEngines(box, { [id]: { version, bornAtMs: 1, state } });
  listEngines(box, { 'engine-next': { version: 'next', bornAtMs: 1 } });
  expect(ofType(answerWrite(box, awaitListing(box).effects), 'listingEnded')).to.have.length(0);
  expect(ofType(box.pass(MAX_WAIT_MS), 'listingEnded')).to.have.length(1);
  addWriters(box);
  const { effects } = awaitListing(box, { exchangeId: 2, path: '/write/1' });
  expect(ofType(effects, 'listingEnded')).to.have.length(0);
});

test('a store that does not answer holds a stream for 300 ms, and the next ones not at all', () => {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v1' });
  awaitListing(box);
  expect(ofType(box.pass(250), 'listingEnded')).to.have.length(0);
  expect(ofType(box.pass(50), 'listingEnded')).to.have.length(1);
  expect(ofType(awaitListing(box).effects, 'listingEnded')).to.have.length(1);
});

test('a box without memory goes on with a stream at the version of the row, not at the one that it sees', () => {
  const box = createBox({ 'engine-1': 'v2', 'engine-2': 'v2' });
  takeUp(box, 1, 'request-9');
  const effects = answerRead(box, [rowOf({ services: { engines: { v1: null } } })]);
  expect(only(effects, 'refuse').reason).to.equal('noServerOfVersion');
});

test('a stream of the lost version goes on at its servers that are left', () => {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v2' });
  takeUp(box, 1, 'request-9');
  const effects = answerRead(box, [rowOf({ services: { engines: { v1: null } } })]);
  expect(versionOf(box, only(effects, 'send').order.serverId)).to.equal('v1');
});

test('boxes that have just started are no witness that one version has served', () => {
  const box = createBox({ 'engine-1': 'v2', 'engine-2': 'v2' });
  addPeer(box);
  takeUp(box, 1, 'request-9');
  const message = {
    kind: 'streamStartAnswered' as const,
    ...{ boxId: 'box-2', key: 'tiger/request-9', start: null, versions: ['v2'] },
  };
  expect(ofType(box.take({ type: 'streamStartAnswered', message }), 'send')).to.have.length(0);
  expect(only(answerRead(box, []), 'refuse').reason).to.equal('streamVersionUnknown');
});

function takeUpAfterListing(listedAgoMs: number): Effect[] {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v2' });
  addPeer(box);
  const { nowMs } = box;
  box.take({ type: 'storeClock', storeNowMs: nowMs });
  // The peer has heard the same lives for 200 ms, this box for 300.
  box.take({ type: 'peerMessage', message: peerMessage({ sequence: 5, sameLivesForMs: 200 }) });
  box.state.startedAtMs = nowMs - 700;
  takeUp(box, 1, 'request-9');
  const message = {
    kind: 'streamStartAnswered' as const,
    ...{ boxId: 'box-2', key: 'tiger/request-9', start: null, versions: ['v1'] },
  };
  box.take({ type: 'streamStartAnswered', message });
  const listedAtMs = { engines: { v1: nowMs - 90_000, v2: nowMs - listedAgoMs } };
  return answerRead(box, [rowOf({ services: { engines: { v1: null, v2: null } }, listedAtMs })]);
}

test('a version that was listed since the last end of a box began no stream that no box knows', () => {
  expect(only(takeUpAfterListing(100), 'send').order.serverId).to.equal('engine-1');
  expect(only(takeUpAfterListing(350), 'refuse').reason).to.equal('streamVersionUnknown');
});

test('a box that stood still does not vouch for what was listed meanwhile', () => {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v2' });
  const services = { engines: { v1: null, v2: null } };
  box.take({ type: 'storeClock', storeNowMs: box.nowMs });
  box.state.startedAtMs = box.nowMs - 60_000;
  const listedAtMs = { engines: { v2: box.nowMs + 1000 } };
  box.pass(5000);
  takeUp(box, 1, 'request-9');
  expect(ofType(answerRead(box, [rowOf({ services, listedAtMs })]), 'send')).to.have.length(0);
});

test('an answer that goes on with a stream is confirmed also where one version has served', () => {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v1' });
  const { attemptId } = only(request(box, 1), 'send');
  box.take({ type: 'attemptAnswered', exchangeId: 1, attemptId, verdict: 'success', status: 200 });
  const lost = box.take({ type: 'attemptLost', exchangeId: 1, attemptId, reason: 'reset' });
  const further = only(lost, 'send');
  const ids = { exchangeId: 1, attemptId: further.attemptId };
  expect(confirmationNeed(box.state, ids)).to.equal('goesOn');
});

test('a box that learns the row from another one does not write it', () => {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v1' });
  const services = { engines: { v1: null }, records: { '': null } };
  const message = {
    kind: 'versionsListed' as const,
    ...{ boxId: 'box-2', revision: REVISION, knownForMs: 0, services },
  };
  box.take({ type: 'versionsListed', message: { ...message, era: ERA } });
  expect(passUntilWrite(box)).to.have.length(0);
  const { attemptId, effects } = awaitListing(box);
  expect(only(effects, 'listingEnded').attemptId).to.equal(attemptId);
});

test('a read that is full of rows of boxes does not show that no version is listed', () => {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v1' });
  const versions = rowOf({ services: { engines: { v1: null } } });
  const scan = only(takeUp(box, 1, 'request-8'), 'requestTable').op;
  if (scan.kind !== 'scan') throw new Error('the rows are not scanned');
  const ofBoxes = Array.from({ length: 120 }, (_, index) => {
    const key = streamStartsKey(`box-${1000 + index}`);
    return { key, version: 3, value: { storeNowMs: 0, starts: [] } };
  });
  // The store returns rows by their keys, up to the limit.
  const rows = [...ofBoxes, versions].slice(0, scan.limit);
  const effects = answerRead(box, rows);
  expect(ofType(effects, 'refuse')).to.have.length(0);
  expect(only(effects, 'requestTable').op.kind).to.equal('read');
  expect(ofType(answerRead(box, [versions]), 'send')).to.have.length(1);
});

/** A version whose name is as long as the registry allows. */
const LONG_VERSION = 'v'.repeat(200);

test('a version with a long name is listed, so that its streams wait once', () => {
  const box = createBox({ 'engine-1': LONG_VERSION, 'engine-2': LONG_VERSION });
  const { attemptId, effects } = awaitListing(box);
  expect(only(answerWrite(box, effects), 'listingEnded').attemptId).to.equal(attemptId);
});

test('a version with a long name may have begun a stream that nobody knows', () => {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v1' });
  takeUp(box, 1, 'request-9');
  const services = { engines: { v1: null, [LONG_VERSION]: box.nowMs } };
  const effects = answerRead(box, [rowOf({ services })]);
  expect(ofType(effects, 'send').map(({ order }) => order.serverId)).to.deep.equal([]);
  expect(only(effects, 'refuse').reason).to.equal('streamVersionUnknown');
});

/** Takes up a stream at a box that has run for 100 s, after which another box has not written its row for some time; v2 was listed 40 s ago. */
function takeUpBesideRowOf(box7AgoMs: number): Effect[] {
  const box = createBox({ 'engine-1': 'v1', 'engine-2': 'v2' });
  passWithoutStall(box, 100_000);
  const { nowMs } = box;
  box.take({ type: 'storeClock', storeNowMs: nowMs });
  takeContacts(box, true);
  takeUp(box, 1, 'request-9');
  const listedAtMs = { engines: { v1: -50_000, v2: nowMs - 40_000 } };
  const versions = rowOf({ services: { engines: { v1: null, v2: null } }, listedAtMs });
  const value = { storeNowMs: nowMs - box7AgoMs, starts: [] };
  const rows = [{ key: streamStartsKey('box-7'), version: 3, value }, versions];
  return box.take({
    type: 'tableAnswered',
    purpose: { kind: 'streamRows', call: 'read' },
    answer: { kind: 'done', rows },
    sentAtMs: nowMs,
  });
}

test('the row of a box that left long ago does not count as the end of a life just now', () => {
  expect(only(takeUpBesideRowOf(1000), 'refuse').reason).to.equal('streamVersionUnknown');
  expect(only(takeUpBesideRowOf(60_000), 'send').order.serverId).to.equal('engine-1');
});
