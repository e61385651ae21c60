import { expect } from 'chai';
import {
  configuration,
  createServingBox,
  facts,
  ofType,
  only,
  route,
  settings,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { RouteKind, type WorkspaceSpec } from '../../../types/configuration.js';
import type { Effect } from '../../../types/effect.js';
import type { RequestFacts } from '../../../types/request.js';
import { recordWork } from '../workSums.js';

const BOTH = { shareCapacity: true, spreadRetries: true };
const WORKSPACES = ['flood', 'usual'];

/** Creates a box with an urgent and a heavy route, and workspaces far below their limits. */
function createSharingBox(load: Parameters<typeof settings>[1] = BOTH): TestBox {
  const box = createServingBox(settings({}, load));
  const base = configuration();
  const stream = {
    kind: RouteKind.stream,
    timeoutMs: 8000,
    targets: [{ service: 'engines', weight: 1 }],
  };
  const limit = { ratePerSecond: 1e8, burst: 1e8 };
  const spec = (name: string): WorkspaceSpec => {
    return { ...(base.workspaces[0] as WorkspaceSpec), name, keys: [name], ...limit };
  };
  const changed = configuration({
    version: 2,
    routes: [
      route({ name: 'urgent', pathPrefix: '/urgent/', ...stream, targetMs: 400, priority: 0 }),
      route({ name: 'heavy', pathPrefix: '/heavy/', ...stream, targetMs: 2000, priority: 2 }),
    ],
    workspaces: WORKSPACES.map(spec),
  });
  box.take({ type: 'configurationRead', configuration: changed, source: 'store' });
  // A new box assumes earlier admissions; they leave the limits' window within this time.
  box.pass(20_000);
  return box;
}

/** Makes prompts of the most urgent kind wait at all engines. */
function occupy(box: TestBox, params: { running: number; tokens: number; urgency?: number }): void {
  const { running, tokens, urgency = 0 } = params;
  for (const view of box.state.servers.values()) {
    if (view.entry.service !== 'engines') continue;
    view.running = running;
    view.prefillTokens = tokens;
    view.unreadByUrgency = Array.from({ length: urgency + 1 }, (_, index) =>
      index === urgency ? tokens : 0,
    );
  }
}

/** Records a flood that was refused in part, beside usual requests that were all admitted. */
function recordFlood(box: TestBox): void {
  const record = (workspace: string, work: number, isAdmitted: boolean): void => {
    const requestFacts = facts({ promptTokens: work, maxOutputTokens: 0 });
    const request = { service: 'engines', workspace, facts: requestFacts };
    recordWork(box.state, request, { prefillTokens: work, isAdmitted }, box.nowMs);
  };
  record('flood', 100_000, false);
  record('flood', 50_000, true);
  record('usual', 20_000, true);
  box.pass(50);
}

let lastExchange = 0;

function ask(box: TestBox, kind: string, changes: Partial<RequestFacts> = {}): Effect[] {
  lastExchange += 1;
  const requestId = `request-${lastExchange}`;
  const prompt = { promptTokens: 800, maxOutputTokens: 10, deadlineMs: 8000 };
  return box.take({
    type: 'requestArrived',
    exchangeId: lastExchange,
    facts: facts({ requestId, digest: requestId, path: `/${kind}/1`, ...prompt, ...changes }),
  });
}

const isSent = (effects: readonly Effect[]): boolean => ofType(effects, 'send').length > 0;

function retryAfterOf(effects: readonly Effect[]): number {
  return only(effects, 'refuse').retryAfterMs ?? 0;
}

// 60 tokens per ms by the initial model: 15,000 tokens wait for 250 ms, 30,000 for 500 ms.

test('a workspace over its share is refused at a wait at which the others are served', () => {
  const box = createSharingBox();
  recordFlood(box);
  occupy(box, { running: 4, tokens: 15_000 });
  expect(isSent(ask(box, 'urgent', { key: 'flood' }))).to.equal(false);
  expect(isSent(ask(box, 'urgent', { key: 'usual' }))).to.equal(true);
});

test('a workspace under its share is served even if late, and the other one is refused', () => {
  const box = createSharingBox();
  recordFlood(box);
  occupy(box, { running: 4, tokens: 60_000 });
  for (const kind of ['urgent', 'heavy']) {
    expect(isSent(ask(box, kind, { key: 'usual' }))).to.equal(true);
  }
  expect(isSent(ask(box, 'urgent', { key: 'flood' }))).to.equal(false);
});

test('nobody over its share is served right after one under its share was refused', () => {
  const box = createSharingBox();
  recordFlood(box);
  occupy(box, { running: 4, tokens: 300_000 });
  expect(isSent(ask(box, 'urgent', { key: 'usual' }))).to.equal(false);
  occupy(box, { running: 4, tokens: 12_000 });
  expect(isSent(ask(box, 'urgent', { key: 'flood' }))).to.equal(false);
  expect(isSent(ask(box, 'urgent', { key: 'usual' }))).to.equal(true);
});

test('a heavy request is refused while a more urgent one of the same workspace is', () => {
  const box = createSharingBox();
  occupy(box, { running: 4, tokens: 30_000 });
  expect(isSent(ask(box, 'urgent'))).to.equal(false);
  expect(isSent(ask(box, 'heavy'))).to.equal(false);
  // Of itself it would start within its target.
  const before = createSharingBox({});
  occupy(before, { running: 4, tokens: 30_000 });
  expect(isSent(ask(before, 'heavy', { key: 'usual' }))).to.equal(true);
});

test('in a flood a heavy request is refused where the typical urgent one would be, also without a refusal before', () => {
  const box = createSharingBox();
  expect(isSent(ask(box, 'urgent', { key: 'flood' }))).to.equal(true);
  recordFlood(box);
  occupy(box, { running: 4, tokens: 30_000 });
  expect(isSent(ask(box, 'heavy', { key: 'flood' }))).to.equal(false);
});

test('a heavy request is served at a busy server while the service has admitted all that was requested', () => {
  const box = createSharingBox();
  expect(isSent(ask(box, 'urgent', { key: 'usual' }))).to.equal(true);
  occupy(box, { running: 4, tokens: 30_000 });
  expect(isSent(ask(box, 'heavy', { key: 'usual' }))).to.equal(true);
});

test('an urgent request that is late for its own size holds back nobody', () => {
  const box = createSharingBox();
  occupy(box, { running: 4, tokens: 1000 });
  const large = { key: 'usual', promptTokens: 60_000 };
  expect(isSent(ask(box, 'urgent', large))).to.equal(false);
  expect(isSent(ask(box, 'heavy', { key: 'usual' }))).to.equal(true);
});

test('while half of the slots are free, only a workspace over its share is refused, and only if it would be late', () => {
  const box = createSharingBox();
  recordFlood(box);
  for (const tokens of [1000, 300_000]) {
    occupy(box, { running: 0, tokens });
    expect(isSent(ask(box, 'urgent', { key: 'usual' }))).to.equal(true);
    occupy(box, { running: 0, tokens });
    expect(isSent(ask(box, 'urgent', { key: 'flood' }))).to.equal(tokens === 1000);
  }
});

test('a large request of a workspace over its share is served where nothing waits before it', () => {
  const box = createSharingBox();
  recordFlood(box);
  occupy(box, { running: 0, tokens: 0 });
  const large = { key: 'flood', promptTokens: 60_000 };
  expect(isSent(ask(box, 'urgent', large))).to.equal(true);
});

test('while half of the slots are free, nothing is refused if no workspace is under its share', () => {
  const box = createSharingBox();
  const record = { service: 'engines', workspace: 'flood', facts: facts({ promptTokens: 9 }) };
  for (const isAdmitted of [true, false]) {
    recordWork(box.state, record, { prefillTokens: 50_000, isAdmitted }, box.nowMs);
  }
  for (const kind of ['urgent', 'heavy']) {
    occupy(box, { running: 0, tokens: 300_000 });
    expect(isSent(ask(box, kind, { key: 'flood' }))).to.equal(true);
  }
});

test('one workspace alone is refused at the same waits as without shares', () => {
  for (let tokens = 0; tokens <= 60_000; tokens += 1500) {
    const [before, after] = [createSharingBox({}), createSharingBox()].map((box) => {
      const record = { service: 'engines', workspace: 'flood', facts: facts({ promptTokens: 9 }) };
      for (const isAdmitted of [true, false]) {
        recordWork(box.state, record, { prefillTokens: 50_000, isAdmitted }, box.nowMs);
      }
      occupy(box, { running: 4, tokens });
      return isSent(ask(box, 'urgent', { key: 'flood' }));
    });
    expect(after).to.equal(before);
  }
});

test('callers that are refused together are told different times', () => {
  const box = createSharingBox({ spreadRetries: true });
  recordFlood(box);
  occupy(box, { running: 4, tokens: 400_000 });
  const heavy = Array.from({ length: 5 }, () => ask(box, 'heavy', { key: 'usual' })).map(
    retryAfterOf,
  );
  const sorted = [...heavy].sort((a, b) => a - b);
  for (const [index, atMs] of sorted.entries()) {
    if (index > 0) expect(atMs).to.be.greaterThan(sorted[index - 1] ?? 0);
  }
});

test('an urgent caller is not placed after less urgent ones, and they are placed after it', () => {
  const timeOf = (kinds: readonly string[]): number => {
    const box = createSharingBox({ spreadRetries: true });
    recordFlood(box);
    // Short enough that all callers return: the urgent one after some 2 s of its 8 s.
    occupy(box, { running: 4, tokens: 140_000 });
    // The jitter depends on the request's id, so all requests have the same.
    const times = kinds.map((kind, index) => {
      const changes = { key: 'usual', requestId: 'request-same', digest: `digest-${index}` };
      return retryAfterOf(ask(box, kind, changes));
    });
    return times.at(-1) ?? 0;
  };
  expect(timeOf(['heavy', 'heavy', 'heavy', 'urgent'])).to.equal(timeOf(['urgent']));
  expect(timeOf(['urgent', 'heavy'])).to.be.greaterThan(timeOf(['urgent']));
  expect(timeOf(['heavy'])).to.be.lessThan(timeOf(['urgent', 'heavy']));
});

test('a caller that would not wait so long is told the true time, and takes no place in the schedule', () => {
  const box = createSharingBox({ spreadRetries: true });
  occupy(box, { running: 4, tokens: 400_000 });
  const hasty = { key: 'usual', deadlineMs: 1000 };
  const told = Array.from({ length: 20 }, () => retryAfterOf(ask(box, 'urgent', hasty)));
  expect(Math.min(...told)).to.be.greaterThan(1000 / 3);
  const times = box.state.workspaceShares.get('engines')?.retryTimes.get('');
  expect(times?.size).to.equal(0);
});

test('a caller that repeats at once gets no other time, no better treatment and no larger demand', () => {
  const box = createSharingBox();
  recordFlood(box);
  occupy(box, { running: 4, tokens: 16_000 });
  const same = { key: 'flood', digest: 'digest-same' };
  const first = retryAfterOf(ask(box, 'urgent', same));
  const requested = (): number =>
    box.state.workspaceShares.get('engines')?.own.get('flood')?.requested ?? 0;
  const before = requested();
  box.pass(100);
  const repeat = ask(box, 'urgent', { ...same, deadlineMs: 7000 });
  expect(retryAfterOf(repeat)).to.be.closeTo(first - 100, 1);
  expect(requested()).to.be.at.most(before);
});

test('a caller that returns at its time is served where a new one is refused', () => {
  const box = createSharingBox();
  recordFlood(box);
  occupy(box, { running: 4, tokens: 14_000 });
  const same = { key: 'flood', digest: 'digest-returns' };
  const retryAfterMs = retryAfterOf(ask(box, 'urgent', same));
  box.pass(Math.ceil(retryAfterMs));
  recordFlood(box);
  occupy(box, { running: 4, tokens: 14_000 });
  const returned = ask(box, 'urgent', { ...same, deadlineMs: 8000 - retryAfterMs - 400 });
  expect(isSent(returned)).to.equal(true);
  occupy(box, { running: 4, tokens: 14_000 });
  expect(isSent(ask(box, 'urgent', { key: 'flood' }))).to.equal(false);
});

test('a refusal is logged with the standing, the limit and the age of the sums', () => {
  const box = createSharingBox();
  recordFlood(box);
  occupy(box, { running: 4, tokens: 15_000 });
  const lines = ofType(ask(box, 'urgent', { key: 'flood' }), 'log');
  const late = lines.find(({ event }) => event === 'requestTooLate');
  expect(late?.fields).to.include({ workspace: 'flood', standing: 'over', yieldsTo: '' });
  expect(late?.fields['sumsAgeMs']).to.be.a('number');
});
