/**
 * Follows a collection of the store: reads it completely once, then reads its changes by long polls.
 * It reads the collection completely again if the store no longer keeps the changes, or if the store
 * was restored from a backup. Each restore starts a new era, and positions of an earlier era are not
 * valid in a later one.
 */
import { eraOf } from 'reedlug-coordination';
import type { Feed, FeedAnswer, FeedPage } from '../adapter.js';
import {
  createAnswerMargin,
  recordAnswerTime,
  recordMissingAnswer,
  type AnswerMargin,
} from '../policy/answerMargin.js';
import type { FeedContact } from '../types/storeFeed.js';
import { PROCESS_CLOCK, type Clock } from './clock.js';
import { withinLimit } from './withinLimit.js';

/** Time limit of each call of a complete read, and of the whole of it, in ms. */
const READ_TIMEOUT_MS = 700;
const MAX_READ_MS = 10_000;
/** Pause before checking again whether a feed is needed, in ms; short compared to the 2 s within which the users expect changes to apply. */
const NOT_NEEDED_PAUSE_MS = 200;
/**
 * Shortest time from the start of a failed call to the next call, in ms, which is also the pause after each further
 * failure; doubled with each one up to the maximum. So a single lost answer costs no pause on top of its time limit.
 */
const INITIAL_PAUSE_MS = 100;
const MAX_PAUSE_MS = 500;

/**
 * Bounds of the time between two checks of whether an open poll can still be relied on, in ms. The shorter one leaves time to read
 * what arrived while the process stood still.
 */
const MIN_TRUST_CHECK_MS = 50;
const MAX_TRUST_CHECK_MS = 1000;

/** Page of a followed feed. */
export interface FollowedPage<T> {
  items: readonly T[];
  /** Whether it is the complete collection. */
  whole: boolean;
  /** Revision of the store up to which the collection has been read. */
  revision: number;
  newestRevision: number;
  /** Whether the call before brought no answer. */
  isLate: boolean;
}

/** Receives the pages of a followed feed and controls how it is followed. */
export interface FeedListener<T> {
  onPage: (page: FollowedPage<T>) => void;
  onStoreClock: (storeNowMs: number) => void;
  onContact: (contact: FeedContact) => void;
  /** Called for an exception in following the feed, which goes on with a complete read. */
  onFault?: (error: unknown) => void;
  /** Returns the latest known era of the store; answers of an earlier era are rejected. */
  storeEra?: () => number | undefined;
  /** Checked before each call once the collection has been read completely; while it returns false, no call is made. */
  isNeeded?: () => boolean;
  /** Maximum pause after failed calls, in ms; failed calls cost money too. */
  maxPauseMs?: number;
  /** Pause after a page with changes, in ms, so that a burst of changes is read in few pages. */
  pauseAfterPageMs?: number;
}

/** Feed that is being followed. */
export interface FollowedFeed {
  /** Aborts the pending call, drops the position, and reads the whole collection again. */
  restart: () => void;
  stop: () => void;
}

/** One complete read and the polls after it; the answer of an aborted call is dropped. */
interface FollowRun {
  isCancelled: boolean;
  call: AbortController;
}

/** Answer of a call with its duration; `waitMs` is how long it was allowed to wait for a change, undefined for a complete read. */
interface TimedAnswer<T> {
  answer: FeedAnswer<T>;
  tookMs: number;
  waitMs: number | undefined;
}

/** Follows a feed until it is stopped. */
export function followFeed<T>(params: {
  feed: Feed<T>;
  /** Returns how long the next poll may wait at the store, in ms. */
  nextWaitMs: () => number;
  /** Returns for how long an open poll may go on, in ms; it is ended early once that is not above 0. By default it is not. */
  trustedMs?: () => number;
  /** Shared by the feeds of one store, since an idle one learns more of its answers than a busy one. */
  margin?: AnswerMargin;
  listener: FeedListener<T>;
  clock?: Clock;
}): FollowedFeed {
  const {
    feed,
    nextWaitMs,
    trustedMs = () => Number.POSITIVE_INFINITY,
    margin = createAnswerMargin(),
    listener,
  } = params;
  const { clock = PROCESS_CLOCK } = params;
  let current: FollowRun = { isCancelled: false, call: new AbortController() };
  let hasReadWhole = false;
  let position: number | undefined;
  let pauseMs = INITIAL_PAUSE_MS;

  const limited = async (
    call: () => Promise<FeedAnswer<T>>,
    timeoutMs: number,
  ): Promise<FeedAnswer<T>> => {
    const abandoned = { kind: 'unavailable', reason: 'the call outlived its time limit' } as const;
    let fault: FeedAnswer<T> | undefined;
    const onFault = (error: unknown): void => {
      fault = { kind: 'unavailable', reason: `the call failed: ${String(error)}` };
    };
    const answer = await withinLimit(clock, call, { timeoutMs, abandoned, onFault });
    return fault ?? answer;
  };

  /** Resolves once an open poll can no longer be relied on; never if it ends before. */
  const whenDoubtful = async (signal: AbortSignal): Promise<FeedAnswer<T>> => {
    while (!signal.aborted) {
      const restMs = trustedMs();
      const pauseMs = Math.min(MAX_TRUST_CHECK_MS, Math.max(MIN_TRUST_CHECK_MS, restMs));
      await clock.pause(pauseMs, signal);
      if (restMs <= 0 && trustedMs() <= 0 && !signal.aborted) {
        return { kind: 'unavailable', reason: 'no peer shows that nothing has changed' };
      }
    }
    return new Promise(() => undefined);
  };

  const requestPage = async (poll: AbortController): Promise<TimedAnswer<T>> => {
    const startedAtMs = clock.nowMs();
    if (position === undefined) {
      const answer = await limited(() => feed.readAll(READ_TIMEOUT_MS), MAX_READ_MS);
      return { answer, tookMs: clock.nowMs() - startedAtMs, waitMs: undefined };
    }
    // Where changes may have been missed, the store can say at once.
    const waitMs = pauseMs > INITIAL_PAUSE_MS || trustedMs() <= 0 ? 0 : nextWaitMs();
    const timeoutMs = waitMs + Math.round(margin.marginMs);
    const followed = { afterRevision: position, waitMs, timeoutMs, signal: poll.signal };
    const call = () => feed.follow(followed);
    const ends = [limited(call, timeoutMs)];
    if (waitMs > 0) ends.push(whenDoubtful(poll.signal));
    const answer = await Promise.race(ends);
    poll.abort();
    return { answer, tookMs: clock.nowMs() - startedAtMs, waitMs };
  };

  /** Learns from the time of an answer; that of a poll with changes does not tell how long its answer took. */
  const learnMargin = ({ answer, tookMs, waitMs }: TimedAnswer<T>): void => {
    if (waitMs === undefined) return;
    const isMissing = answer.kind === 'unavailable' && tookMs >= waitMs + margin.marginMs;
    const isEmpty = answer.kind === 'page' && answer.page.items.length === 0;
    if (isMissing) recordMissingAnswer(margin);
    else if (isEmpty && tookMs >= waitMs) recordAnswerTime(margin, tookMs - waitMs);
  };

  const applyPage = async (page: FeedPage<T>, tookMs: number): Promise<void> => {
    const { items, revision, newestRevision, storeNowMs } = page;
    if (eraOf(revision) < (listener.storeEra?.() ?? 0)) {
      return fail('answer of an earlier era', tookMs);
    }
    const whole = position === undefined;
    if (position !== undefined && eraOf(revision) !== eraOf(position)) {
      position = undefined;
      return;
    }
    const isLate = pauseMs > INITIAL_PAUSE_MS;
    pauseMs = INITIAL_PAUSE_MS;
    position = revision;
    hasReadWhole = true;
    listener.onContact({ reachable: true, readTo: revision });
    if (storeNowMs !== undefined) listener.onStoreClock(storeNowMs);
    if (!whole && items.length === 0) return;
    listener.onPage({ items, whole, revision, newestRevision, isLate });
    if (listener.pauseAfterPageMs !== undefined) await clock.pause(listener.pauseAfterPageMs);
  };

  const fail = async (reason: string, tookMs: number): Promise<void> => {
    listener.onContact({ reachable: false, reason, tookMs });
    const isFirstFailure = pauseMs === INITIAL_PAUSE_MS;
    const currentPauseMs = pauseMs;
    pauseMs = Math.min(listener.maxPauseMs ?? MAX_PAUSE_MS, pauseMs * 2);
    if (!isFirstFailure || tookMs < currentPauseMs) await clock.pause(currentPauseMs);
  };

  const step = async (following: FollowRun): Promise<void> => {
    if (hasReadWhole && listener.isNeeded?.() === false) {
      return clock.pause(NOT_NEEDED_PAUSE_MS);
    }
    following.call = new AbortController();
    const timed = await requestPage(following.call);
    if (following.isCancelled) return;
    learnMargin(timed);
    const { answer, tookMs } = timed;
    switch (answer.kind) {
      case 'page':
        return applyPage(answer.page, tookMs);
      case 'historyGone':
        position = undefined;
        return;
      case 'unavailable':
        return fail(answer.reason, tookMs);
    }
  };

  /** What was applied of a page is not known after an exception, so that the collection is read again as a whole. */
  const onStepFailed = async (following: FollowRun, error: unknown): Promise<void> => {
    if (following.isCancelled) return;
    position = undefined;
    pauseMs = listener.maxPauseMs ?? MAX_PAUSE_MS;
    listener.onFault?.(error);
    await clock.pause(pauseMs);
  };

  const run = async (following: FollowRun): Promise<void> => {
    while (!following.isCancelled) {
      try {
        await step(following);
      } catch (error) {
        await onStepFailed(following, error);
      }
    }
  };
  const cancel = (): void => {
    current.isCancelled = true;
    current.call.abort();
  };
  void run(current);
  return {
    restart() {
      if (current.isCancelled) return;
      cancel();
      current = { isCancelled: false, call: new AbortController() };
      position = undefined;
      pauseMs = INITIAL_PAUSE_MS;
      void run(current);
    },
    stop: cancel,
  };
}
