/**
 * Guards against a limit that is spent twice where a box ends before the list states that it holds its share.
 *
 * Its next incarnation, and after a loss of all boxes all of its peers, know nothing of the earlier use:
 * that nobody reports a share does not show that nobody has used one.
 */
import { expect } from 'chai';
import {
  configuration,
  createBox,
  facts,
  ofType,
  peerMessage,
  server,
  settings,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import type { LimitShareGossip } from '../../../types/limitShare.js';
import type { PeerChange } from '../../../types/event.js';
import { maxUnitsInWindow } from './__fixtures__/unitsInWindow.js';

const TICK_MS = 50;
/** Time for which each incarnation runs, in ms; a share is acquired after three seconds. */
const LIFE_MS = 5000;
const UNITS_PER_REQUEST = 200;

interface Sent {
  atMs: number;
  units: number;
}

function list(box: TestBox, hasOwnEntry: boolean): void {
  const { id: boxId, ip: host, zone, processorCores } = box.state.settings.box;
  const own = { boxId, host, port: 0, zone, processorCores };
  const { boxId: otherId, ...address } = { ...own, boxId: 'box-2', host: '127.0.0.2' };
  const other = { boxId: otherId, address: { ...address, boxId: otherId }, revision: 2 };
  const ownEntry: PeerChange = { boxId, address: own, holdsPart: false, revision: 5 };
  const changes: PeerChange[] = hasOwnEntry ? [other, ownEntry] : [other];
  box.take({ type: 'peersListed', changes, whole: true, revision: hasOwnEntry ? 5 : 2 });
}

/** Runs an incarnation whose callers ask for more than the limit, beside a peer that reports its share. */
function runIncarnation(params: {
  startMs: number;
  isFirst: boolean;
  peerShare: Partial<LimitShareGossip>;
}): Sent[] {
  const { startMs, isFirst, peerShare } = params;
  const box = createBox(settings({ limitOverShare: 0 }));
  box.nowMs = startMs;
  box.state.startedAtMs = startMs;
  box.state.processStartedAtMs = startMs;
  box.take({ type: 'configurationRead', configuration: configuration(), source: 'store' });
  const changes = [{ id: 'records-1', entry: server('records-1', { slots: 10_000 }) }];
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  list(box, !isFirst);
  // The box enters itself once it has read the list.
  if (isFirst) list(box, true);
  const sent: Sent[] = [];
  let exchangeId = 1;
  for (let passedMs = 0; passedMs < LIFE_MS; passedMs += TICK_MS) {
    const part = { boxes: 1, listRevision: 5, dividedForMs: undefined, ...peerShare };
    box.take({
      type: 'peerMessage',
      message: peerMessage({ sequence: box.nowMs + 1, part }),
    });
    box.pass(TICK_MS);
    for (let count = 0; count < 20; count += 1, exchangeId += 1) {
      const request = facts({ requestId: `${startMs}-${exchangeId}` });
      const done = box.take({ type: 'requestArrived', exchangeId, facts: request });
      if (ofType(done, 'send').length > 0) {
        sent.push({ atMs: box.nowMs, units: UNITS_PER_REQUEST });
      }
    }
  }
  return sent;
}

/** Returns the units of this box's share of a window. */
function ownShare(): number {
  const { limitWindowMs } = settings().bounds;
  const [workspace] = configuration().workspaces;
  const { ratePerSecond = 0, burst = 0 } = workspace ?? {};
  return ((ratePerSecond * limitWindowMs) / 1000 + burst) / 2;
}

function unitsOfTwoIncarnations(peerShare: Partial<LimitShareGossip>): number {
  const first = runIncarnation({ startMs: 0, isFirst: true, peerShare });
  const second = runIncarnation({ startMs: LIFE_MS, isFirst: false, peerShare });
  return maxUnitsInWindow([...first, ...second]);
}

test('a loss of all boxes before the list states their shares does not renew a limit', () => {
  expect(unitsOfTwoIncarnations({ dividedForMs: undefined })).to.be.at.most(ownShare());
});

test('a joining box that ends before the list states its share does not spend it twice', () => {
  expect(unitsOfTwoIncarnations({ dividedForMs: 60_000 })).to.be.at.most(ownShare());
});

test('a box that reads an empty list and then its own entry has its whole burst', () => {
  const box = createBox();
  box.take({ type: 'peersListed', changes: [], whole: true, revision: 0 });
  list(box, true);
  box.pass(LIFE_MS);
  expect(box.state.part.hadEarlierLife).to.equal(false);
});

test('a box that enters the list for the first time has its whole burst', () => {
  const sent = runIncarnation({ startMs: 0, isFirst: true, peerShare: {} });
  const units = sent.reduce((sum, one) => sum + one.units, 0);
  expect(units).to.be.at.least(ownShare() / 2);
});
