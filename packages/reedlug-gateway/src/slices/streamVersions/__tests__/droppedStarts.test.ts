import { expect } from 'chai';
import {
  createServingBox,
  ofType,
  only,
  peerMessage,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { GossipScope } from '../../../types/peer.js';
import {
  SERVED_VERSIONS_KEY,
  type StreamStartAnsweredMessage,
  type StreamStartRow,
} from '../../../types/streamVersion.js';
import { sameLivesGossip } from '../../peers/lifeEnds.js';
import { addPeer, listEngines, passWithoutStall, takeUp } from './__fixtures__/takenUpStreams.js';

const KEY_OF_STREAM = 'tiger/request-9';
/** Time for which a request is held at most while its stream is looked for, in ms. */
const MAX_LOOKUP_MS = 300;
/** Time for which the box that is asked has run, in ms. */
const WITNESS_RUN_MS = 60_000;

function createBox(): TestBox {
  const box = createServingBox();
  listEngines(box, {
    'engine-1': { version: 'v1', bornAtMs: 1 },
    'engine-2': { version: 'v2', bornAtMs: 1 },
  });
  box.state.streamVersions.served.get('engines')?.delete('');
  return box;
}

function announce(box: TestBox, starts: readonly StreamStartRow[]): void {
  box.take({ type: 'streamStarts', message: { kind: 'streamStarts', boxId: 'box-3', starts } });
}

/** Returns a box that knows a stream at v2, and then as many later ones as given. */
function createWitness(laterStreams: number): TestBox {
  const box = createBox();
  passWithoutStall(box, WITNESS_RUN_MS);
  announce(box, [[KEY_OF_STREAM, 'engines', 'v2', 20_000]]);
  const later = Array.from({ length: laterStreams }, (_, index): StreamStartRow => {
    return [`tiger/later-${index}`, 'engines', 'v1', 20_000];
  });
  announce(box, later);
  return box;
}

/** Asks the witness for the stream as a box does that has just started. */
function ask(witness: TestBox): StreamStartAnsweredMessage | undefined {
  const asker = { boxId: 'box-1', host: '127.0.0.1', port: 7000 };
  witness.state.settings = {
    ...witness.state.settings,
    box: { ...witness.state.settings.box, id: 'box-2' },
  };
  const message = {
    kind: 'streamStartAsked' as const,
    ...asker,
    key: KEY_OF_STREAM,
    service: 'engines',
  };
  const [sent] = ofType(witness.take({ type: 'streamStartAsked', message }), 'sendPeers');
  return sent?.message as StreamStartAnsweredMessage | undefined;
}

/** Takes the stream up at a box that has just started, with what the witness states and answers. */
function takeUpAfterStart(witness: TestBox) {
  const box = createBox();
  addPeer(box);
  box.take({ type: 'storeClock', storeNowMs: 100_000 });
  box.state.startedAtMs = box.nowMs - 700;
  const stated = sameLivesGossip(witness.state, GossipScope.box, witness.nowMs);
  box.take({ type: 'peerMessage', message: peerMessage({ sequence: 5, ...stated }) });
  takeUp(box, 1, 'request-9');
  const message = ask(witness);
  const answered = message === undefined ? [] : box.take({ type: 'streamStartAnswered', message });
  const value = {
    services: { engines: { v1: null, v2: null } },
    listedAtMs: { engines: { v1: 100_000 - 2 * WITNESS_RUN_MS, v2: 100_000 - 20_000 } },
  };
  const rows = [{ key: SERVED_VERSIONS_KEY, version: 9, value: { era: 0, ...value } }];
  const read = box.take({
    type: 'tableAnswered',
    purpose: { kind: 'streamRows', call: 'read' },
    answer: { kind: 'done', rows },
    sentAtMs: box.nowMs,
  });
  return [...answered, ...read, ...box.pass(MAX_LOOKUP_MS)];
}

test('a stream that another box knows goes on at its version after a start', () => {
  const { order } = only(takeUpAfterStart(createWitness(10)), 'send');
  expect(order.serverId).to.equal('engine-2');
});

test('a stream that all boxes have dropped for their number does not go on at an earlier version', () => {
  const effects = takeUpAfterStart(createWitness(50_000));
  expect(ofType(effects, 'send').map(({ order }) => order.serverId)).to.deep.equal([]);
  expect(only(effects, 'refuse').reason).to.equal('streamVersionUnknown');
});
