import { expect } from 'chai';
import { setTimeout as delay } from 'node:timers/promises';
import { storeRevision } from 'reedlug-coordination';
import type { Feed, FeedAnswer } from '../../adapter.js';
import { followFeed, type FeedListener } from '../feedFollower.js';

/** Wait of polls that are answered at once. */
const noWait = (): number => 0;

interface Calls {
  fullReads: number;
  /** Positions after which changes were requested. */
  followPositions: number[];
}

/** Creates a feed that answers immediately: the whole collection at revision 10, then the results of `answer`. */
function createFeed(calls: Calls, answer: (call: number) => FeedAnswer<string>): Feed<string> {
  return {
    readAll() {
      calls.fullReads += 1;
      return Promise.resolve(page(['whole'], 10));
    },
    async follow({ afterRevision }) {
      calls.followPositions.push(afterRevision);
      await delay(5);
      return answer(calls.followPositions.length);
    },
  };
}

function page(items: readonly string[], revision: number): FeedAnswer<string> {
  return {
    kind: 'page',
    page: { items, revision, newestRevision: revision, storeNowMs: undefined },
  };
}

function listener(changes: Partial<FeedListener<string>> = {}): FeedListener<string> {
  return {
    onPage: () => undefined,
    onStoreClock: () => undefined,
    onContact: () => undefined,
    ...changes,
  };
}

test('a feed that is not needed is read once, and followed only when it is needed', async () => {
  const calls: Calls = { fullReads: 0, followPositions: [] };
  let isNeeded = false;
  const feed = createFeed(calls, () => page([], 11));
  const following = followFeed({
    feed,
    nextWaitMs: noWait,
    listener: listener({ isNeeded: () => isNeeded }),
  });
  await delay(300);
  expect(calls).to.deep.equal({ fullReads: 1, followPositions: [] });
  isNeeded = true;
  await delay(300);
  following.stop();
  expect(calls.followPositions[0]).to.equal(10);
});

test('an answer of another era causes a complete read, and answers of an earlier era are dropped', async () => {
  const inEra = (era: number, version: number): number => storeRevision({ era, version });
  let storeEra = 1;
  const fullReads = [page(['of era 1'], inEra(1, 90)), page(['late'], inEra(1, 95))];
  const feed: Feed<string> = {
    readAll: () => Promise.resolve(fullReads.shift() ?? page(['of era 2'], inEra(2, 60))),
    async follow({ afterRevision, signal }) {
      if (afterRevision >= inEra(2, 0)) await delay(10_000, undefined, { signal }).catch(() => 0);
      storeEra = 2;
      return page(['change of another history'], inEra(2, 100));
    },
  };
  const read: string[] = [];
  const onPage = ({ items }: { items: readonly string[] }) => void read.push(...items);
  const following = followFeed({
    feed,
    nextWaitMs: noWait,
    listener: listener({ onPage, storeEra: () => storeEra }),
  });
  await delay(300);
  following.stop();
  expect(read).to.deep.equal(['of era 1', 'of era 2']);
});

test('a restarted feed aborts its pending call', async () => {
  const calls: Calls = { fullReads: 0, followPositions: [] };
  let ended = 0;
  const feed: Feed<string> = {
    readAll() {
      calls.fullReads += 1;
      return Promise.resolve(page(['whole'], 10));
    },
    async follow({ signal }) {
      await delay(10_000, undefined, { signal }).catch(() => (ended += 1));
      return page(['late'], 11);
    },
  };
  const read: string[] = [];
  const onPage = ({ items }: { items: readonly string[] }) => void read.push(...items);
  const following = followFeed({ feed, nextWaitMs: () => 10_000, listener: listener({ onPage }) });
  await delay(20);
  following.restart();
  await delay(20);
  following.stop();
  expect({ fullReads: calls.fullReads, ended, read }).to.deep.equal({
    fullReads: 2,
    ended: 1,
    read: ['whole', 'whole'],
  });
});

test('after a gap in the history the collection is read completely again', async () => {
  const calls: Calls = { fullReads: 0, followPositions: [] };
  const pages: boolean[] = [];
  const feed = createFeed(calls, (call) =>
    call === 1 ? { kind: 'historyGone' } : page(['change'], 12),
  );
  const onPage: FeedListener<string>['onPage'] = ({ whole }) => void pages.push(whole);
  const following = followFeed({ feed, nextWaitMs: noWait, listener: listener({ onPage }) });
  await delay(60);
  following.stop();
  expect(calls.fullReads).to.equal(2);
  expect(pages.slice(0, 3)).to.deep.equal([true, true, false]);
});

test('a burst of changes is read in few pages if the listener pauses', async () => {
  const calls: Calls = { fullReads: 0, followPositions: [] };
  const feed = createFeed(calls, (call) => page(['change'], 10 + call));
  const following = followFeed({
    feed,
    nextWaitMs: noWait,
    listener: listener({ pauseAfterPageMs: 100 }),
  });
  await delay(350);
  following.stop();
  expect(calls.followPositions.length).to.be.within(1, 4);
});

test('a feed with a longer maximum pause makes fewer calls while the store refuses them', async () => {
  const callsWith = async (maxPauseMs: number): Promise<number> => {
    let calls = 0;
    let nowMs = 0;
    const unavailable: FeedAnswer<string> = { kind: 'unavailable', reason: 'status 503' };
    const feed: Feed<string> = {
      readAll() {
        calls += 1;
        return Promise.resolve(unavailable);
      },
      follow: () => Promise.resolve(unavailable),
    };
    const clock = {
      nowMs: () => nowMs,
      pause(ms: number, limit?: AbortSignal) {
        // All calls are answered within their limits.
        if (limit !== undefined) return new Promise<void>(() => undefined);
        nowMs += ms;
        if (nowMs >= 9000) following.stop();
        return Promise.resolve();
      },
    };
    const following = followFeed({
      feed,
      nextWaitMs: noWait,
      listener: listener({ maxPauseMs }),
      clock,
    });
    await delay(20);
    return calls;
  };
  expect(await callsWith(500)).to.equal(20);
  expect(await callsWith(4000)).to.equal(7);
});

test('a poll that outlives its time limit is abandoned, and its feed goes on', async () => {
  const calls: Calls = { fullReads: 0, followPositions: [] };
  const feed = createFeed(calls, () => page([], 11));
  const lost: AbortSignal[] = [];
  const follow: Feed<string>['follow'] = ({ signal }) => {
    if (signal !== undefined) lost.push(signal);
    return new Promise(() => undefined);
  };
  const isFirst = (): boolean => lost.length === 0;
  const losesFirst: Feed<string> = {
    readAll: feed.readAll,
    follow: (position) => (isFirst() ? follow(position) : feed.follow(position)),
  };
  const faults: number[] = [];
  const onContact: FeedListener<string>['onContact'] = (contact) => {
    if (!contact.reachable) faults.push(contact.tookMs);
  };
  const following = followFeed({
    feed: losesFirst,
    nextWaitMs: noWait,
    listener: listener({ onContact }),
  });
  await delay(800);
  following.stop();
  expect(calls.followPositions.length).to.be.greaterThan(5);
  expect(faults).to.have.length(1);
  expect(lost[0]?.aborted).to.equal(true);
});

test('an open poll is ended once nothing shows that it can be relied on, and asked again without a wait', async () => {
  const waits: number[] = [];
  const faults: string[] = [];
  let trustedUntilMs = performance.now() + 100;
  const feed: Feed<string> = {
    readAll: () => Promise.resolve(page(['whole'], 10)),
    async follow({ waitMs, signal }) {
      waits.push(waitMs);
      if (waitMs > 0) await delay(10_000, undefined, { signal }).catch(() => undefined);
      else trustedUntilMs = Number.POSITIVE_INFINITY;
      return page([], 10);
    },
  };
  const following = followFeed({
    feed,
    nextWaitMs: () => 2000,
    trustedMs: () => trustedUntilMs - performance.now(),
    listener: listener({
      onContact: (contact) => void (contact.reachable || faults.push(contact.reason)),
    }),
  });
  await delay(400);
  following.stop();
  expect(waits).to.deep.equal([2000, 0, 2000]);
  expect(faults).to.have.length(1);
});

test('a feed is followed on when a call or the handling of a page throws', async () => {
  const calls: Calls = { fullReads: 0, followPositions: [] };
  const feed = createFeed(calls, (call) => page([`change ${call}`], 10 + call));
  const { follow } = feed;
  let throwsIn: 'call' | 'page' | undefined = 'call';
  feed.follow = (position) => {
    if (throwsIn === 'call') throw new Error('broken');
    return follow(position);
  };
  const reasons: string[] = [];
  const faults: string[] = [];
  const read: string[] = [];
  const following = followFeed({
    feed,
    nextWaitMs: noWait,
    listener: listener({
      maxPauseMs: 20,
      onContact: (contact) => void (contact.reachable || reasons.push(contact.reason)),
      onFault: (error) => void faults.push(String(error)),
      onPage({ items, whole }) {
        if (throwsIn === 'page' && !whole) throw new Error('broken');
        read.push(...items);
      },
    }),
  });
  await delay(50);
  expect(reasons[0]).to.equal('the call failed: Error: broken');
  throwsIn = 'page';
  await delay(200);
  expect(faults[0]).to.equal('Error: broken');
  throwsIn = undefined;
  const readBefore = calls.fullReads;
  await delay(200);
  following.stop();
  // What was applied of the page that threw is not known.
  expect(calls.fullReads).to.be.greaterThan(1);
  expect(calls.fullReads - readBefore).to.be.at.most(1);
  expect(read.at(-1)).to.match(/^change/);
});
