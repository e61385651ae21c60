/** A box and the row of the versions as the table holds it. */
import type { TableRow } from 'reedlug-coordination';
import {
  createServingBox,
  ofType,
  only,
  type TestBox,
} from '../../../../__tests__/__fixtures__/box.js';
import type { Effect } from '../../../../types/effect.js';
import { SERVED_VERSIONS_KEY, type ServedVersionsRow } from '../../../../types/streamVersion.js';
import { listEngines, request } from './takenUpStreams.js';

/** Era of the store, and revision of the row. */
export const ERA = 3;
export const REVISION = 9;

export function createBox(engines: Readonly<Record<string, string>>): TestBox {
  const box = createServingBox();
  box.take({ type: 'storeEra', era: ERA });
  const entries = Object.entries(engines).map(([id, version]) => [id, { version, bornAtMs: 1 }]);
  listEngines(box, Object.fromEntries(entries) as Record<string, { version: string }>);
  // The entries without a version, with which the box was created.
  box.state.streamVersions.served.get('engines')?.delete('');
  return box;
}

export function rowOf(value: Partial<ServedVersionsRow>) {
  const present = { era: ERA, services: {}, ...value };
  return { key: SERVED_VERSIONS_KEY, version: REVISION, value: present };
}

export function answerRead(box: TestBox, rows: readonly TableRow[]): Effect[] {
  return box.take({
    type: 'tableAnswered',
    purpose: { kind: 'streamRows', call: 'read' },
    answer: { kind: 'done', rows },
    sentAtMs: box.nowMs,
  });
}

/** Answers the last write of the row: it is done, or finds another row. */
export function answerWrite(
  box: TestBox,
  effects: readonly Effect[],
  found?: ReturnType<typeof rowOf>,
) {
  const [write] = writesOf(effects);
  const rows = [found ?? { key: SERVED_VERSIONS_KEY, version: REVISION, value: write?.value }];
  return box.take({
    type: 'tableAnswered',
    purpose: { kind: 'streamRows', call: 'writeVersions' },
    answer:
      found === undefined ? { kind: 'done', rows } : { kind: 'refused', reason: 'conflict', rows },
    sentAtMs: box.nowMs,
  });
}

export function writesOf(effects: readonly Effect[]) {
  return ofType(effects, 'requestTable').flatMap(({ purpose, op }) =>
    purpose.kind === 'streamRows' && purpose.call === 'writeVersions' && op.kind === 'transact'
      ? op.writes
      : [],
  );
}

export function passUntilWrite(box: TestBox): Effect[] {
  for (let passedMs = 0; passedMs < 3000; passedMs += 50) {
    const effects = box.pass(50);
    if (writesOf(effects).length > 0) return effects;
  }
  return [];
}

/** Begins a stream up to the head of its answer, and returns what the wait for its version requests. */
export function awaitListing(
  box: TestBox,
  { exchangeId = 1, path = '/draft/1' }: { exchangeId?: number; path?: string } = {},
): { attemptId: number; effects: Effect[] } {
  const { attemptId } = only(request(box, exchangeId, { path }), 'send');
  const effects = box.take({ type: 'listingAwaited', exchangeId, attemptId });
  return { attemptId, effects };
}
