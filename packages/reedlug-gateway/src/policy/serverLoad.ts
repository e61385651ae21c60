/** Open work at a server: this box's own, and summed up over boxes. */
import type { ServerLoad } from '../types/peer.js';
import type { Attempt } from '../types/request.js';
import type { ServerView } from '../types/views.js';

/** Adds the work of two boxes, or takes the second one alone. */
export function addLoads(first: ServerLoad | undefined, second: ServerLoad): ServerLoad {
  if (first === undefined) return second;
  return {
    running: first.running + second.running,
    prefillTokens: first.prefillTokens + second.prefillTokens,
    unread: (first.unread ?? 0) + (second.unread ?? 0),
    unreadByUrgency: addByUrgency(first.unreadByUrgency, second.unreadByUrgency),
  };
}

function addByUrgency(
  first: readonly number[] | undefined,
  second: readonly number[] | undefined,
): readonly number[] | undefined {
  if (first === undefined || second === undefined) return first ?? second;
  const [long, short] = first.length >= second.length ? [first, second] : [second, first];
  return long.map((tokens, urgency) => tokens + (short[urgency] ?? 0));
}

/** Prompt tokens at a server that are read before those of a request that comes now. */
export function tokensAhead(load: ServerLoad, urgency: number): number {
  const { unreadByUrgency, prefillTokens } = load;
  if (unreadByUrgency === undefined) return prefillTokens;
  return unreadByUrgency.slice(0, urgency + 1).reduce((sum, tokens) => sum + tokens, 0);
}

/** An attempt's prompt is to be read by the server. */
export function addUnreadPrompt(view: ServerView, attempt: Attempt): void {
  changeUnread(view, attempt, 1);
}

/** The server has read an attempt's prompt, or need not any more. */
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
