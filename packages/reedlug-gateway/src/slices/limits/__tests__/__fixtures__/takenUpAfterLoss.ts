/** A fleet that loses all boxes while a workspace has streams under way, which its callers take up beside new ones. */
import type { TableOp } from 'reedlug-coordination';
import { facts, ofType, server, type TestBox } from '../../../../__tests__/__fixtures__/box.js';
import {
  createFaultyStore,
  type FaultyStore,
} from '../../../../__tests__/__fixtures__/faultyStore.js';
import { createFleet, type TestFleet } from '../../../../__tests__/__fixtures__/fleet.js';
import { createRandom } from '../../../../__tests__/__fixtures__/random.js';
import { eventsOfTable } from '../../../../daemon/tableEvents.js';
import { recordReceivedStart } from '../../../streamVersions/streamStarts.js';
import { streamStartsKey } from '../../../../types/streamVersion.js';
import type { Effect } from '../../../../types/effect.js';

const TICK_MS = 50;
const BOXES = 4;
const ZONES = ['zone-a', 'zone-b'] as const;
/** Time before the loss, in ms: a window of the limit. */
const BEFORE_MS = 9000;
const MAX_OUTPUT_TOKENS = 20;
/** Times after the start of the boxes at which most callers come back, in ms. */
const BACK_AT_ONCE = { fromMs: 40, untilMs: 700 };

/** What callers ask for. */
export interface TakenUpScene {
  seed: number;
  /** Streams under way at the loss. */
  underWay: number;
  newPerSecond: number;
  unitsEach: number;
  /** Time after the start of the boxes for which new streams are counted, in ms. */
  countedMs: number;
  /** Times after the start of the boxes at which callers come back, in ms; at once if omitted. */
  back?: { fromMs: number; untilMs: number };
  /** Whether each box finds the streams that it relayed in its row. */
  areNamedInRows?: boolean;
}

/** How many streams were asked for and sent. */
export interface TakenUpResult {
  takenUp: { asked: number; sent: number };
  begun: { asked: number; sent: number };
  sent: { atMs: number; units: number }[];
}

function enlargeEngines(box: TestBox): void {
  const changes = ['engine-1', 'engine-2'].map((id) => ({
    id,
    entry: server(id, { service: 'engines', slots: 10_000 }),
  }));
  box.take({ type: 'serversRead', whole: false, changes, revision: 2, source: 'store' });
}

/** Restarts a box whose process starts now. */
function restart(fleet: TestFleet, boxId: string): void {
  fleet.restart(boxId);
  const box = fleet.boxes.get(boxId);
  if (box === undefined) return;
  box.state.startedAtMs = box.nowMs;
  box.state.processStartedAtMs = box.nowMs;
  box.state.part.opening = { kind: 'earlierLife', atMs: box.nowMs };
}

/** Executes the calls about the reserve of the given effects, and those that follow. */
function answerReserve(box: TestBox, effects: readonly Effect[], store: FaultyStore): Effect[] {
  const done: Effect[] = [];
  const calls = ofType(effects, 'requestTable').filter(
    ({ purpose }) => purpose.kind === 'limitReserve',
  );
  for (const { purpose, op, sentAtMs } of calls) {
    const reply = store.execute(op as TableOp, box.nowMs);
    if (reply.era !== undefined) box.take({ type: 'storeEra', era: reply.era });
    for (const event of eventsOfTable(box.state, { purpose, sentAtMs, reply })) {
      const next = box.take(event);
      done.push(...next, ...answerReserve(box, next, store));
    }
  }
  return done;
}

/** Answers the read of a box's row, which names streams of its earlier life. */
function readOwnRow(box: TestBox, streams: readonly { id: string }[], units: number): void {
  const starts = streams.map(({ id }) => [`tiger/${id}`, 'engines', '', 8000, units]);
  const key = streamStartsKey(box.state.settings.box.id);
  box.take({
    type: 'tableAnswered',
    purpose: { kind: 'streamRows', call: 'read' },
    answer: { kind: 'done', rows: [{ key, version: 1, value: { storeNowMs: 0, starts } }] },
    sentAtMs: box.nowMs,
  });
}

/** Plays a scene. */
export function simulate(scene: TakenUpScene): TakenUpResult {
  const { seed, underWay, newPerSecond, unitsEach, countedMs } = scene;
  const { fromMs, untilMs } = scene.back ?? BACK_AT_ONCE;
  const random = createRandom(seed);
  const store = createFaultyStore();
  const fleet: TestFleet = createFleet({
    boxes: BOXES,
    zones: ZONES,
    load: { restartReserve: true },
  });
  const ids = [...fleet.boxes.keys()];
  const result: TakenUpResult = {
    takenUp: { asked: 0, sent: 0 },
    begun: { asked: 0, sent: 0 },
    sent: [],
  };
  const open = new Map<string, { counts: { sent: number } | undefined }>();
  let exchangeId = 0;
  let pending = 0;

  const record = (boxId: string, effects: readonly Effect[], nowMs: number): void => {
    for (const effect of effects) {
      if (effect.type !== 'send' && effect.type !== 'refuse') continue;
      const key = `${boxId} ${effect.exchangeId}`;
      const asked = open.get(key);
      if (asked === undefined) continue;
      open.delete(key);
      if (effect.type === 'refuse') continue;
      result.sent.push({ atMs: nowMs, units: unitsEach });
      if (asked.counts !== undefined) asked.counts.sent += 1;
    }
  };
  const pass = (): void => {
    fleet.pass(TICK_MS);
    for (const [boxId, box] of fleet.boxes) {
      const done = [...(fleet.effects.get(boxId) ?? []), ...(fleet.answered.get(boxId) ?? [])];
      record(boxId, [...done, ...answerReserve(box, done, store)], box.nowMs);
    }
  };
  const ask = (
    resumedRequestId: string | undefined,
    counts: TakenUpResult['begun'] | undefined,
  ) => {
    const boxId = ids[Math.floor(random() * ids.length)] ?? '';
    exchangeId += 1;
    if (counts !== undefined) counts.asked += 1;
    open.set(`${boxId} ${exchangeId}`, { counts });
    const request = facts({
      requestId: `r${exchangeId}`,
      path: '/draft/1',
      deadlineMs: 8000,
      promptTokens: unitsEach - MAX_OUTPUT_TOKENS,
      maxOutputTokens: MAX_OUTPUT_TOKENS,
      ...(resumedRequestId === undefined ? {} : { resumedRequestId, lastEventId: 3 }),
    });
    const nowMs = fleet.boxes.get(boxId)?.nowMs ?? 0;
    record(boxId, fleet.take(boxId, { type: 'requestArrived', exchangeId, facts: request }), nowMs);
  };
  const askNew = (counts: TakenUpResult['begun'] | undefined): void => {
    for (pending += (newPerSecond * TICK_MS) / 1000; pending >= 1; pending -= 1) {
      ask(undefined, counts);
    }
  };

  for (const box of fleet.boxes.values()) enlargeEngines(box);
  for (let passedMs = 0; passedMs < BEFORE_MS; passedMs += TICK_MS) {
    askNew(undefined);
    pass();
  }
  for (const boxId of ids) restart(fleet, boxId);
  const back = Array.from({ length: underWay }, (_, index) => ({
    id: `old-${index}`,
    atMs: fromMs + random() * (untilMs - fromMs),
  }));
  for (const [index, box] of [...fleet.boxes.values()].entries()) {
    enlargeEngines(box);
    const step = { nowMs: box.nowMs, wallClockMs: 0, effects: [], faults: [] };
    const own = back.filter((_, stream) => stream % ids.length === index);
    if (scene.areNamedInRows === true) readOwnRow(box, own, unitsEach);
    for (const { id } of back) {
      const origin = { source: 'table', isOwn: false, asOfMs: box.nowMs };
      recordReceivedStart(box.state, step, [`tiger/${id}`, 'engines', '', 8000], origin);
    }
  }
  for (let passedMs = 0; passedMs < countedMs; passedMs += TICK_MS) {
    const due = back.filter(({ atMs }) => atMs >= passedMs && atMs < passedMs + TICK_MS);
    // Callers of both kinds come in no order.
    for (const { id } of due.slice(0, due.length / 2)) ask(id, result.takenUp);
    askNew(result.begun);
    for (const { id } of due.slice(due.length / 2)) ask(id, result.takenUp);
    pass();
  }
  for (let passedMs = 0; passedMs < 500; passedMs += TICK_MS) pass();
  return result;
}
