/**
 * Follows a collection of the store: the whole once, then its changes by long polls, and the whole
 * again where the changes are no longer kept or the store came back from a copy: a position of one
 * era means nothing in the next.
 */
import { eraOf } from 'reedlug-coordination';
import type { Feed, FeedAnswer, FeedPage } from '../adapter.js';
import { PROCESS_CLOCK, type Clock } from './clock.js';

/** Longest wait for an answer beyond the time it may be held, in ms: the store's answer takes 4 ms, a slow one 250. */
const ANSWER_MARGIN_MS = 700;
/** Pause before asking again whether a feed is needed, in ms: short against the users' 2 s. */
const NOT_NEEDED_PAUSE_MS = 200;
/** Pause after a call that failed, in ms; doubled up to the longest. */
const INITIAL_PAUSE_MS = 100;
const MAX_PAUSE_MS = 500;

/** What a follower tells. */
export interface FeedListener<T> {
  onPage: (page: { items: readonly T[]; whole: boolean; newestRevision: number }) => void;
  onStoreClock: (storeNowMs: number) => void;
  onContact: (reachable: boolean, reason: string) => void;
  /** The latest era of the store that is known; an answer of an earlier one comes too late. */
  storeEra?: () => number | undefined;
  /** Asked before each call once the whole has been read; while it says no, nothing is asked. */
  isNeeded?: () => boolean;
  /** Longest pause after calls that failed, in ms; each failed call is paid for as well. */
  maxPauseMs?: number;
  /** Pause after a page with changes, in ms, so that a burst of changes comes in few pages. */
  pauseAfterPageMs?: number;
}

/** A feed that is followed. */
export interface FollowedFeed {
  /** Drops the position and the call that waits, and reads the whole anew. */
  restart: () => void;
  stop: () => void;
}

/** One reading of the whole and what follows it; the answer of a call that was given up is dropped. */
interface FollowRun {
  isCancelled: boolean;
  call: AbortController;
}

/** Follows until told to stop. */
export function followFeed<T>(
  feed: Feed<T>,
  waitMs: number,
  listener: FeedListener<T>,
  clock: Clock = PROCESS_CLOCK,
): FollowedFeed {
  let current: FollowRun = { isCancelled: false, call: new AbortController() };
  let hasReadWhole = false;
  let position: number | undefined;
  let pauseMs = INITIAL_PAUSE_MS;

  const requestPage = (signal: AbortSignal): Promise<FeedAnswer<T>> => {
    if (position === undefined) return feed.readAll(ANSWER_MARGIN_MS);
    const timeoutMs = waitMs + ANSWER_MARGIN_MS;
    return feed.follow({ afterRevision: position, waitMs, timeoutMs, signal });
  };

  const applyPage = async (page: FeedPage<T>): Promise<void> => {
    const { items, revision, newestRevision, storeNowMs } = page;
    if (eraOf(revision) < (listener.storeEra?.() ?? 0)) return fail('answer of an earlier era');
    const whole = position === undefined;
    if (position !== undefined && eraOf(revision) !== eraOf(position)) {
      position = undefined;
      return;
    }
    pauseMs = INITIAL_PAUSE_MS;
    position = revision;
    hasReadWhole = true;
    listener.onContact(true, '');
    if (storeNowMs !== undefined) listener.onStoreClock(storeNowMs);
    if (!whole && items.length === 0) return;
    listener.onPage({ items, whole, newestRevision });
    if (listener.pauseAfterPageMs !== undefined) await clock.pause(listener.pauseAfterPageMs);
  };

  const fail = async (reason: string): Promise<void> => {
    listener.onContact(false, reason);
    await clock.pause(pauseMs);
    pauseMs = Math.min(listener.maxPauseMs ?? MAX_PAUSE_MS, pauseMs * 2);
  };

  const step = async (following: FollowRun): Promise<void> => {
    if (hasReadWhole && listener.isNeeded?.() === false) {
      return clock.pause(NOT_NEEDED_PAUSE_MS);
    }
    following.call = new AbortController();
    const answer = await requestPage(following.call.signal);
    if (following.isCancelled) return;
    switch (answer.kind) {
      case 'page':
        return applyPage(answer.page);
      case 'historyGone':
        position = undefined;
        return;
      case 'unavailable':
        return fail(answer.reason);
    }
  };

  const run = async (following: FollowRun): Promise<void> => {
    while (!following.isCancelled) await step(following);
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
