import { expect } from 'chai';
import { createServingBox, server, type TestBox } from '../../__tests__/__fixtures__/box.js';
import type { FeedAnswer } from '../../adapter.js';
import type { ServerChange } from '../../types/server.js';
import { PROCESS_CLOCK } from '../clock.js';
import { createRegistryReader, type RegistryReader } from '../registryReader.js';

interface Scene {
  box: TestBox;
  reader: RegistryReader;
  /** Answers of the calls that have not ended, in their order. */
  answers: ((answer: FeedAnswer<ServerChange>) => void)[];
  positions: number[];
  /** Exceptions of calls. */
  faults: string[];
}

function startScene(): Scene {
  const box = createServingBox();
  const answers: Scene['answers'] = [];
  const positions: number[] = [];
  const faults: string[] = [];
  const servers = {
    readAll: () => Promise.reject(new Error('the whole registry is not read')),
    follow({ afterRevision }: { afterRevision: number }): Promise<FeedAnswer<ServerChange>> {
      positions.push(afterRevision);
      return new Promise((resolve) => answers.push(resolve));
    },
  };
  const reader = createRegistryReader({
    store: { servers },
    state: box.state,
    clock: PROCESS_CLOCK,
    emit: (body) => void box.take(body),
    onFault: (error) => void faults.push(String(error)),
  });
  return { box, reader, answers, positions, faults };
}

function pageWith(id: string, revision: number): FeedAnswer<ServerChange> {
  const items = [{ id, entry: server(id) }];
  return { kind: 'page', page: { items, revision, newestRevision: revision, storeNowMs: 0 } };
}

/** Lets the calls that wait for an answer go on. */
async function settle(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

test('a read that is asked for during another one begins after it, and is one for all that wait', async () => {
  const { reader, answers, positions, box } = startScene();
  const readTo = box.state.serversReadTo;
  const first = reader.readNow();
  const waiting = [reader.readNow(), reader.readNow()];
  expect(positions).to.deep.equal([readTo]);
  answers[0]?.(pageWith('new-1', readTo + 1));
  await first;
  await settle();
  expect(positions).to.deep.equal([readTo, readTo + 1]);
  answers[1]?.(pageWith('new-2', readTo + 2));
  await Promise.all(waiting);
  expect(box.state.servers.has('new-1') && box.state.servers.has('new-2')).to.equal(true);
});

test('changes that were read before later ones were applied are dropped', async () => {
  const { reader, answers, box } = startScene();
  const readTo = box.state.serversReadTo;
  const read = reader.readNow();
  const removed = { id: 'engine-1', entry: undefined };
  const entry = { id: 'engine-1', entry: server('engine-1', { bornAtMs: 9000 }) };
  const shared = { type: 'serversRead', whole: false, source: 'store' } as const;
  box.take({ ...shared, changes: [entry], revision: readTo + 2, readTo: readTo + 2 });
  const items = [removed];
  const page = { items, revision: readTo + 1, newestRevision: readTo + 1, storeNowMs: 0 };
  answers[0]?.({ kind: 'page', page });
  await read;
  expect(box.state.servers.has('engine-1')).to.equal(true);
});

test('changes that the poll brings after later ones were read are overtaken, until the whole is read', async () => {
  const { reader, answers, box } = startScene();
  const readTo = box.state.serversReadTo;
  const read = reader.readNow();
  answers[0]?.(pageWith('new-1', readTo + 5));
  await read;
  expect(reader.isOvertaken(readTo + 4)).to.equal(true);
  expect(reader.isOvertaken(readTo + 5)).to.equal(false);
  reader.onWholeRead();
  expect(reader.isOvertaken(readTo + 4)).to.equal(false);
});

test('a read without an answer ends, and the next one begins anew', async () => {
  const { reader, answers, positions } = startScene();
  const first = reader.readNow();
  answers[0]?.({ kind: 'unavailable', reason: 'refused' });
  await first;
  void reader.readNow();
  expect(positions.length).to.equal(2);
});

test('streams that wait for a read go on, and the next read is made, when a call throws', async () => {
  const { reader, answers, positions, faults } = startScene();
  const { push } = positions;
  positions.push = () => {
    throw new Error('broken');
  };
  await reader.readNow();
  expect(faults).to.deep.equal(['Error: broken']);
  positions.push = push;
  const next = reader.readNow();
  answers[0]?.({ kind: 'unavailable', reason: 'silent' });
  await next;
  expect(positions.length).to.equal(1);
});

test('an answer that is older than what the box has read does not count as a read', async () => {
  const { reader, answers, box } = startScene();
  const readTo = box.state.serversReadTo;
  const first = reader.readNow();
  // An answer that was cut to an empty one states no revision.
  answers[0]?.({
    kind: 'page',
    page: { items: [], revision: readTo - 1, newestRevision: 0, storeNowMs: 0 },
  });
  expect(await first).to.equal(false);
  const second = reader.readNow();
  answers[1]?.({
    kind: 'page',
    page: { items: [], revision: readTo, newestRevision: 0, storeNowMs: 0 },
  });
  expect(await second).to.equal(true);
});
