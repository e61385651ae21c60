/** Tracks the open work at a server: this box's own, and sums over several boxes. */
import type { ServerLoad } from '../types/peer.js';
import type { Attempt } from '../types/request.js';
import type { PeerWithMessage } from '../slices/peers/fleet.js';
import type { ServerView } from '../types/views.js';

/** Adds the work of two boxes; returns the second one if the first one is undefined. */
export function addLoads(first: ServerLoad | undefined, second: ServerLoad): ServerLoad {
  if (first === undefined) return second;
  return {
    running: first.running + second.running,
    prefillTokens: first.prefillTokens + second.prefillTokens,
    unread: (first.unread ?? 0) + (second.unread ?? 0),
    unreadByUrgency: addByUrgency(first.unreadByUrgency, second.unreadByUrgency),
  };
}

/** Returns the open work at a server: this box's own and the work last reported by peers. */
export function totalLoad(view: ServerView, peers: readonly PeerWithMessage[]): ServerLoad {
  let total: ServerLoad = view;
  for (const peer of peers) {
    const load = peer.message.loads[view.entry.id];
    if (load !== undefined) total = addLoads(total, load);
  }
  return total;
}

function addByUrgency(
  first: readonly number[] | undefined,
  second: readonly number[] | undefined,
): readonly number[] | undefined {
  if (first === undefined || second === undefined) return first ?? second;
  const [long, short] = first.length >= second.length ? [first, second] : [second, first];
  return long.map((tokens, urgency) => tokens + (short[urgency] ?? 0));
}

/**
 * Returns the prompt tokens that a server processes before those of a new request of the given
 * urgency.
 */
export function tokensAhead(load: ServerLoad, urgency: number): number {
  const { unreadByUrgency, prefillTokens } = load;
  if (unreadByUrgency === undefined) return prefillTokens;
  return unreadByUrgency.slice(0, urgency + 1).reduce((sum, tokens) => sum + tokens, 0);
}

/** Adds an attempt's prompt to those that the server has yet to process. */
export function addUnreadPrompt(view: ServerView, attempt: Attempt): void {
  changeUnread(view, attempt, 1);
}

/** Removes an attempt's prompt once it is processed or no longer needed. */
export function removeUnreadPrompt(view: ServerView, attempt: Attempt): void {
  changeUnread(view, attempt, -1);
}

function changeUnread(view: ServerView, attempt: Attempt, sign: 1 | -1): void {
  const { prefillTokens, urgency } = attempt;
  view.prefillTokens += sign * prefillTokens;
  view.unread += sign;
  while (view.unreadByUrgency.length <= urgency) view.unreadByUrgency.push(0);
  view.unreadByUrgency[urgency] = (view.unreadByUrgency[urgency] ?? 0) + sign * prefillTokens;
}
