import { expect } from 'chai';
import { only } from '../../__tests__/__fixtures__/box.js';
import type { EventBody } from '../../types/event.js';
import {
  begin,
  createBoxWithTwoVersions,
  takeUp,
} from '../../slices/streamVersions/__tests__/__fixtures__/takenUpStreams.js';
import { createAnswerHolds } from '../answerHolds.js';

/** Holds an answer that goes on with a stream until the registry was read; each read takes `readMs`. */
async function confirmAnswer(results: readonly boolean[], readMs: number) {
  const box = createBoxWithTwoVersions();
  begin(box, 1);
  const { attemptId } = only(takeUp(box, 2, 'request-1'), 'send');
  const events: EventBody[] = [];
  let [nowMs, reads] = [0, 0];
  const readNow = (): Promise<boolean> => {
    nowMs += readMs;
    reads += 1;
    return Promise.resolve(results[reads - 1] ?? false);
  };
  const clock = { nowMs: () => nowMs, pause: () => Promise.resolve() };
  const emit = (event: EventBody) => void events.push(event);
  const holds = createAnswerHolds({ state: box.state, registry: { readNow }, clock, emit });
  await holds.untilRelayable({ exchangeId: 2, attemptId });
  const [confirmed] = events.flatMap((event) => (event.type === 'attemptConfirmed' ? [event] : []));
  return { isRegistryRead: confirmed?.isRegistryRead, reads };
}

test('an answer that goes on is confirmed although connections to the store are replaced during two reads', async () => {
  const confirmed = await confirmAnswer([false, false, true], 380);
  expect(confirmed).to.deep.equal({ isRegistryRead: true, reads: 3 });
});

test('a silent store holds an answer that goes on for two reads, one that refuses at once for four', async () => {
  expect(await confirmAnswer([], 700)).to.deep.equal({ isRegistryRead: false, reads: 2 });
  expect(await confirmAnswer([], 1)).to.deep.equal({ isRegistryRead: false, reads: 4 });
});
