/** Follows a collection of the store: the whole once, then its changes by long polls. */
import type { Feed } from '../adapter.js';
import { PROCESS_CLOCK, type Clock } from './clock.js';

/** Longest wait for an answer beyond the time it may be held, in ms: the store's answer takes 4 ms, a slow one 250. */
const ANSWER_MARGIN_MS = 700;
/** Pause before asking again whether a feed is needed, in ms: short against the users' 2 s. */
const NOT_NEEDED_PAUSE_MS = 200;
/** Pause after a call that failed, in ms; doubled up to the longest. */
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 500;

/** What a follower tells. */
export interface FeedListener<T> {
  onPage: (page: { items: readonly T[]; whole: boolean; newestRevision: number }) => void;
  onStoreClock: (storeNowMs: number) => void;
  onContact: (reachable: boolean, reason: string) => void;
  /** Asked before each call once the whole has been read; while it says no, nothing is asked. */
  isNeeded?: () => boolean;
  /** Longest pause after calls that failed, in ms; each failed call is paid for as well. */
  longestPauseMs?: number;
  /** Pause after a page with changes, in ms, so that a burst of changes comes in few pages. */
  pauseAfterPageMs?: number;
}

/** Follows until told to stop. */
export function followFeed<T>(
  feed: Feed<T>,
  waitMs: number,
  listener: FeedListener<T>,
  clock: Clock = PROCESS_CLOCK,
): { stop: () => void } {
  let stopped = false;
  let position: number | undefined;
  let pauseMs = FIRST_PAUSE_MS;

  const step = async (): Promise<void> => {
    if (position !== undefined && listener.isNeeded?.() === false) {
      await clock.pause(NOT_NEEDED_PAUSE_MS);
      return;
    }
    const whole = position === undefined;
    const answer =
      position === undefined
        ? await feed.readAll(ANSWER_MARGIN_MS)
        : await feed.follow({
            afterRevision: position,
            waitMs,
            timeoutMs: waitMs + ANSWER_MARGIN_MS,
          });
    if (stopped) return;
    switch (answer.kind) {
      case 'page': {
        const { items, revision, newestRevision, storeNowMs } = answer.page;
        pauseMs = FIRST_PAUSE_MS;
        position = revision;
        listener.onContact(true, '');
        if (storeNowMs !== undefined) listener.onStoreClock(storeNowMs);
        if (!whole && items.length === 0) return;
        listener.onPage({ items, whole, newestRevision });
        if (listener.pauseAfterPageMs !== undefined) await clock.pause(listener.pauseAfterPageMs);
        return;
      }
      case 'historyGone':
        position = undefined;
        return;
      case 'unavailable':
        listener.onContact(false, answer.reason);
        await clock.pause(pauseMs);
        pauseMs = Math.min(listener.longestPauseMs ?? LONGEST_PAUSE_MS, pauseMs * 2);
        return;
    }
  };

  const run = async (): Promise<void> => {
    while (!stopped) await step();
  };
  void run();
  return {
    stop() {
      stopped = true;
    },
  };
}
