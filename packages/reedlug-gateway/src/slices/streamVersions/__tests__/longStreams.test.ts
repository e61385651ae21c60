import { expect } from 'chai';
import {
  configuration,
  createBox,
  facts,
  listBoxes,
  ofType,
  only,
  server,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { SERVED_VERSIONS_KEY, type ServedVersionsRow } from '../../../types/streamVersion.js';
import { possibleVersions, streamRetentionMs } from '../servedVersions.js';
import { passWithoutStall } from './__fixtures__/takenUpStreams.js';

/** Timeout of the route, longer than half of the shortest time for which versions are kept. */
const TIMEOUT_MS = 100_000;
const STORE_NOW_MS = 1_000_000;
/** A version that ended 50 s ago, so that its streams may still be taken up, and one that serves. */
const SERVICES = { engines: { v1: STORE_NOW_MS - 50_000, v2: null } };

/** Starts a box that ticks before it knows its configuration. */
function startBox(): TestBox {
  const box = createBox();
  listBoxes(box);
  box.take({ type: 'storeEra', era: 1 });
  box.take({ type: 'storeClock', storeNowMs: STORE_NOW_MS });
  const entry = server('engine-1', { service: 'engines', version: 'v2' });
  const changes = [{ id: 'engine-1', entry }];
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  box.pass(20);
  return box;
}

function readConfiguration(box: TestBox, version = 1, timeoutMs = TIMEOUT_MS): void {
  const routes = configuration().routes.map((route) => ({ ...route, timeoutMs }));
  const changed = configuration({ version, routes });
  box.take({ type: 'configurationRead', configuration: changed, source: 'store' });
}

function readRow(box: TestBox) {
  const value: ServedVersionsRow = { services: SERVICES, era: 1 };
  return box.take({
    type: 'tableAnswered',
    purpose: { kind: 'streamRows', call: 'read' },
    answer: { kind: 'done', rows: [{ key: SERVED_VERSIONS_KEY, version: 9, value }] },
    sentAtMs: box.nowMs,
  });
}

test('right after a start, a version may have begun a stream for as long as the routes of the configuration allow', () => {
  const box = startBox();
  readConfiguration(box);
  const takenUp = { requestId: 'request-2', lastEventId: 3, resumedRequestId: 'request-1' };
  const request = facts({ path: '/draft/1', deadlineMs: TIMEOUT_MS, ...takenUp });
  box.take({ type: 'requestArrived', exchangeId: 1, facts: request });
  const effects = readRow(box);
  expect(ofType(effects, 'send').map(({ order }) => order.serverId)).to.deep.equal([]);
  expect(only(effects, 'refuse').reason).to.equal('streamVersionUnknown');
});

test('a box that does not know how long streams last drops no version from the row', () => {
  const box = startBox();
  readRow(box);
  const entry = server('engine-2', { service: 'engines', version: 'v3' });
  const changes = [{ id: 'engine-2', entry }];
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
  const effects = Array.from({ length: 100 }, () => box.pass(50)).flat();
  readConfiguration(box);
  effects.push(...Array.from({ length: 60 }, () => box.pass(50)).flat());
  const writes = ofType(effects, 'requestTable').flatMap(({ op }) =>
    op.kind === 'transact' ? op.writes.filter(({ key }) => key === SERVED_VERSIONS_KEY) : [],
  );
  expect(writes).to.have.length.greaterThan(0);
  for (const { value } of writes) {
    const { services } = value as ServedVersionsRow;
    expect(Object.keys(services['engines'] ?? {})).to.include('v1');
  }
});

test('a row that was read before the configuration names the versions of long streams', () => {
  const box = startBox();
  readRow(box);
  readConfiguration(box);
  expect([...possibleVersions(box.state, 'engines')]).to.have.members(['v1', 'v2']);
});

test('a configuration with shorter timeouts holds for streams that begin under it', () => {
  const box = startBox();
  readConfiguration(box);
  readRow(box);
  readConfiguration(box, 2, 8000);
  box.pass(600);
  expect([...possibleVersions(box.state, 'engines')]).to.have.members(['v1', 'v2']);
  // The last stream of the earlier configuration is over.
  passWithoutStall(box, 2 * TIMEOUT_MS);
  expect([...possibleVersions(box.state, 'engines')]).to.have.members(['v2']);
  expect(streamRetentionMs(box.state)).to.equal(30_000);
});
