import { expect } from 'chai';
import fc from 'fast-check';
import {
  createServingBox,
  facts,
  ofType,
  server,
  type TestBox,
  NO_STATEMENTS,
  limitStatement,
  statementsEvent,
} from '../../../__tests__/__fixtures__/box.js';
import type { Effect } from '../../../types/effect.js';
import type { EventBody } from '../../../types/event.js';
import { ServerState } from '../../../types/server.js';

const IDS = ['records-1', 'records-2'] as const;

/** An event about a server or a request; they occur in any order. */
type GeneratedStep =
  | { kind: 'entry'; id: string; bornAtMs: number; leaving: boolean }
  | { kind: 'gone'; id: string }
  | { kind: 'news'; id: string; bornAtMs: number; perSecond: number | null; ageMs: number }
  | { kind: 'request' }
  | { kind: 'end'; turn: number; how: 'answer' | 'refuse' | 'lose' | 'leave'; limit: number }
  | { kind: 'pass'; ms: number };

const id = fc.constantFrom(...IDS);
const bornAtMs = fc.integer({ min: 1, max: 4 });
const generatedStep: fc.Arbitrary<GeneratedStep> = fc.oneof(
  fc.record({ kind: fc.constant('entry' as const), id, bornAtMs, leaving: fc.boolean() }),
  fc.record({ kind: fc.constant('gone' as const), id }),
  fc.record({
    kind: fc.constant('news' as const),
    id,
    bornAtMs,
    perSecond: fc.constantFrom(null, 1, 5),
    ageMs: fc.integer({ min: 1, max: 500 }),
  }),
  fc.record({ kind: fc.constant('request' as const) }),
  fc.record({ kind: fc.constant('request' as const) }),
  fc.record({
    kind: fc.constant('end' as const),
    turn: fc.nat(9),
    how: fc.constantFrom('answer' as const, 'refuse' as const, 'lose' as const, 'leave' as const),
    limit: fc.constantFrom(0, 2),
  }),
  fc.record({ kind: fc.constant('pass' as const), ms: fc.integer({ min: 1, max: 900 }) }),
);

interface OpenSend {
  exchangeId: number;
  attemptId: number;
}

/** Runs generated steps, and checks the invariants of server incarnations after each one. */
function playSteps(steps: readonly GeneratedStep[]): void {
  const box = createServingBox();
  const latest = new Map<string, number>();
  let open: OpenSend[] = [];
  let nextExchangeId = 1;
  let revision = 1;
  const take = (event: EventBody): void => {
    const effects: Effect[] = box.take(event);
    for (const { exchangeId, attemptId } of ofType(effects, 'send')) {
      open.push({ exchangeId, attemptId });
    }
    const ended = new Set(ofType(effects, 'cancelAttempt').map(({ attemptId }) => attemptId));
    open = open.filter(({ attemptId }) => !ended.has(attemptId));
  };
  for (const step of steps) {
    switch (step.kind) {
      case 'entry': {
        const state = step.leaving ? ServerState.leaving : ServerState.ready;
        const entry = server(step.id, { bornAtMs: step.bornAtMs, state });
        revision += 1;
        const changes = [{ id: step.id, entry }];
        take({ type: 'serversRead', whole: false, changes, revision, source: 'store' });
        latest.set(step.id, Math.max(latest.get(step.id) ?? 0, step.bornAtMs));
        break;
      }
      case 'gone': {
        revision += 1;
        const changes = [{ id: step.id, entry: undefined }];
        take({ type: 'serversRead', whole: false, changes, revision, source: 'store' });
        break;
      }
      case 'news': {
        const ages = { sentAgeMs: step.ageMs, receivedAgeMs: step.ageMs };
        const statement = limitStatement(step.perSecond ?? undefined, ages);
        const before = limitOf(box, step.id);
        take(statementsEvent({ serverId: step.id, bornAtMs: step.bornAtMs, statement }));
        if (isOfOtherIncarnation(box, step)) expect(limitOf(box, step.id)).to.equal(before);
        break;
      }
      case 'request': {
        const exchangeId = nextExchangeId;
        nextExchangeId += 1;
        const request = facts({ requestId: `r${exchangeId}`, deadlineMs: 600 });
        take({ type: 'requestArrived', exchangeId, facts: request });
        break;
      }
      case 'end': {
        const sent = open[step.turn % Math.max(1, open.length)];
        if (sent === undefined) break;
        open = open.filter((other) => other !== sent);
        endSend(take, sent, step);
        break;
      }
      case 'pass':
        box.nowMs += step.ms;
        take({ type: 'tick' });
        break;
    }
    checkIncarnations(box, latest);
  }
}

function endSend(
  take: (event: EventBody) => void,
  ids: OpenSend,
  { how, limit }: Extract<GeneratedStep, { kind: 'end' }>,
): void {
  if (how === 'leave') return take({ type: 'callerGone', exchangeId: ids.exchangeId });
  if (how === 'lose') return take({ type: 'attemptLost', ...ids, reason: 'reset' });
  const statedLimit =
    limit > 0 ? { kind: 'limit' as const, perSecond: limit } : { kind: 'none' as const };
  take({ type: 'answerBegun', ...ids, statements: { ...NO_STATEMENTS, limit: statedLimit } });
  const verdict = how === 'answer' ? ('success' as const) : ('notRun' as const);
  take({ type: 'attemptAnswered', ...ids, verdict, status: how === 'answer' ? 200 : 503 });
}

function limitOf(box: TestBox, serverId: string): number | undefined {
  return box.state.servers.get(serverId)?.statements?.limit?.perSecond;
}

function isOfOtherIncarnation(box: TestBox, news: { id: string; bornAtMs: number }): boolean {
  const known = box.state.servers.get(news.id)?.entry.bornAtMs;
  return known !== undefined && known !== news.bornAtMs;
}

function checkIncarnations(box: TestBox, latest: ReadonlyMap<string, number>): void {
  const attempts = [...box.state.requests.values()].flatMap((record) => record.attempts);
  for (const view of box.state.servers.values()) {
    const own = attempts.filter(({ open, life }) => open && life === view.life);
    expect(view.running, `running at ${view.entry.id}`).to.equal(own.length);
    const { bornAtMs: known } = view.entry;
    const newest = latest.get(view.entry.id);
    if (newest !== undefined) expect(known, view.entry.id).to.equal(newest);
  }
}

test('500 generated orders of entries, answers and gossip never mix up incarnations', () => {
  fc.assert(
    fc.property(fc.array(generatedStep, { minLength: 5, maxLength: 60 }), (steps) =>
      playSteps(steps),
    ),
    { numRuns: 500, seed: 33 },
  );
});
