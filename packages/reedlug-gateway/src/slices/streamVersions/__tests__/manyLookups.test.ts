import { expect } from 'chai';
import {
  listBoxes,
  ofType,
  peerMessage,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { createBoxWithTwoVersions, takeUp } from './__fixtures__/takenUpStreams.js';

const STREAMS = 100;
const PEERS = Array.from({ length: 15 }, (_, index) => {
  const host = `127.0.1.${index + 1}`;
  return { boxId: `peer-${index}`, host, port: 7000, zone: 'zone-a', processorCores: 1 };
});
/** Looks of a decision at what is known of one stream, for each stream: a few when it arrives, and when its answers are in. */
const MAX_LOOKS_PER_STREAM = 130;

/** Returns a box whose callers take up streams that it does not know, in a fleet that it has heard. */
function createAskingBox(): TestBox {
  const box = createBoxWithTwoVersions();
  listBoxes(box, PEERS);
  for (const peer of PEERS) box.take({ type: 'peerMessage', message: peerMessage(peer) });
  for (let index = 0; index < STREAMS; index += 1) takeUp(box, index, `request-${1000 + index}`);
  return box;
}

function answerOf(boxId: string, index: number) {
  const message = { kind: 'streamStartAnswered' as const, boxId, versions: ['v1', 'v2'] };
  const key = `tiger/request-${1000 + index}`;
  return { type: 'streamStartAnswered' as const, message: { ...message, key, start: null } };
}

function countLooks(box: TestBox): { count: number } {
  const looks = { count: 0 };
  const { starts } = box.state.streamVersions;
  const get = starts.get.bind(starts);
  starts.get = (key) => {
    looks.count += 1;
    return get(key);
  };
  return looks;
}

test('the answers of boxes about many streams are not each decided on for all streams', () => {
  const box = createAskingBox();
  const looks = countLooks(box);
  for (const { boxId } of PEERS) {
    for (let index = 0; index < STREAMS; index += 1) box.take(answerOf(boxId, index));
  }
  expect(looks.count / STREAMS).to.be.at.most(MAX_LOOKS_PER_STREAM);
});

test('a stream goes on with the answer that names its version, while others are looked for', () => {
  const box = createAskingBox();
  const event = answerOf('peer-0', 7);
  const start = [event.message.key, 'engines', 'v2', 5000] as const;
  const effects = box.take({ ...event, message: { ...event.message, start } });
  expect(ofType(effects, 'send').map(({ exchangeId }) => exchangeId)).to.deep.equal([7]);
});
