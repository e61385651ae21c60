import { expect } from 'chai';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { CallerExchange } from '../callerServer.js';
import { createHeldRequests, type HeldRequests } from '../heldRequests.js';
import { createReadProgress, MAX_LATE_MS } from '../readProgress.js';

interface Scene {
  held: HeldRequests;
  lateMs: number;
  nowMs: number;
  log: string[];
  /** Called with each request that is handed on. */
  onServed: () => void;
}

function createScene(): Scene {
  const scene: Scene = {
    held: undefined as unknown as HeldRequests,
    lateMs: MAX_LATE_MS + 1,
    nowMs: 0,
    log: [],
    onServed: () => undefined,
  };
  const reads = createReadProgress(() => scene.lateMs);
  scene.held = createHeldRequests(
    reads,
    {
      deadlineMsOf: () => undefined,
      onServable({ id }) {
        scene.log.push(`served ${id}`);
        scene.onServed();
      },
      onRefused: ({ id }) => scene.log.push(`refused ${id}`),
      onDropped: ({ id }) => scene.log.push(`dropped ${id}`),
      onBacklog: (closes) => scene.log.push(closes ? 'closes' : 'accepts'),
    },
    { nowMs: () => scene.nowMs },
  );
  return scene;
}

const exchangeOf = (id: number, isGone = false): CallerExchange =>
  ({ id, isCallerGone: () => isGone }) as CallerExchange;

async function playTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) await nextTurn();
}

test('a box on time hands requests on at once', () => {
  const scene = createScene();
  scene.lateMs = 0;
  scene.held.add(exchangeOf(1));
  expect(scene.log).to.deep.equal(['served 1']);
});

test('a box that is behind drops requests of callers that have left, and serves the newest first', async () => {
  const scene = createScene();
  scene.held.add(exchangeOf(1));
  scene.nowMs += 1;
  scene.held.add(exchangeOf(2, true));
  scene.held.add(exchangeOf(3));
  await playTurns(3);
  expect(scene.log).to.deep.equal(['dropped 2', 'served 3', 'served 1']);
});

test('what came at once is served although the box is slow, and in a standing queue refused', async () => {
  const scene = createScene();
  scene.onServed = () => {
    scene.nowMs += 60;
  };
  for (const id of [1, 2, 3, 4]) scene.held.add(exchangeOf(id));
  await playTurns(6);
  expect(scene.log, 'a burst').to.deep.equal(['served 4', 'served 3', 'served 2', 'served 1']);
  for (let id = 5; id < 30; id += 1) scene.held.add(exchangeOf(id));
  await playTurns(12);
  const refused = scene.log.filter((line) => line.startsWith('refused'));
  expect(refused, 'more than there is time for').to.have.length.of.at.least(15);
  scene.log.length = 0;
  for (const id of [31, 32, 33, 34]) scene.held.add(exchangeOf(id));
  await playTurns(6);
  expect(scene.log.filter((line) => line.startsWith('served'))).to.have.length.of.at.most(2);
  expect(scene.log).to.have.length(4);
});

test('connections that wait to be accepted come first, and are closed unread if they wait for long', async () => {
  const scene = createScene();
  scene.held.add(exchangeOf(1));
  for (let turn = 0; turn < 8; turn += 1) {
    scene.held.onConnection();
    scene.nowMs += 10;
    await nextTurn();
  }
  expect(scene.log, 'accepting comes first').to.deep.equal([]);
  for (let turn = 0; turn < 200; turn += 1) {
    scene.held.onConnection();
    scene.nowMs += 10;
    await nextTurn();
  }
  expect(scene.log).to.include('closes');
  await playTurns(4);
  expect(scene.log.at(-1)).to.equal('accepts');
});
