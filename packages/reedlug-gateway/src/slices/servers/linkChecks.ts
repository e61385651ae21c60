/**
 * Checks of this box's own links: a connection that fails may be the fault of its server, or of the box.
 *
 * A box whose links fail must know that before it says anything of a server, and before its callers meet it.
 * So it connects to other servers as soon as one fails, or as it hears that other boxes have lost their links.
 */
import { isCutOff } from '../../policy/connectPlan.js';
import type { GatewayState, Step } from '../../state.js';
import type { ServerView } from '../../types/views.js';

/** Shortest interval between checks, in ms. */
const CHECK_INTERVAL_MS = 500;

/** Requests a check, unless there was one just now. */
export function requestLinkCheck({ serverLinks }: GatewayState, step: Step): void {
  if (step.nowMs - serverLinks.checkedAtMs < CHECK_INTERVAL_MS) return;
  serverLinks.checkedAtMs = step.nowMs;
  step.effects.push({ type: 'checkLinks' });
}

/** Checks the links while this box is cut off, and once others say that they are. */
export function linkChecksTick(state: GatewayState, step: Step): void {
  const { doubtedAtMs, openedAtMs } = state.serverLinks;
  if (isCutOff(state.serverLinks) || doubtedAtMs > openedAtMs) requestLinkCheck(state, step);
}

/**
 * Returns the servers that show best whether this box's links are up: one that it heard lately, and one of
 * another zone. Servers to which connections failed come last, the one first that was tried longest ago.
 */
export function serversToCheck(state: GatewayState, exceptServerId?: string): ServerView[] {
  const first = bestServer(state, ({ entry }) => entry.id !== exceptServerId);
  if (first === undefined) return [];
  const isOther = ({ entry }: ServerView): boolean =>
    entry.id !== exceptServerId && entry.id !== first.entry.id;
  const second =
    bestServer(state, (view) => isOther(view) && view.entry.zone !== first.entry.zone) ??
    bestServer(state, isOther);
  return second === undefined ? [first] : [first, second];
}

function bestServer(
  { servers }: GatewayState,
  isIncluded: (view: ServerView) => boolean,
): ServerView | undefined {
  let best: ServerView | undefined;
  for (const view of servers.values()) {
    if (isIncluded(view) && (best === undefined || isBetter(view, best))) best = view;
  }
  return best;
}

function isBetter(view: ServerView, best: ServerView): boolean {
  if (view.link === undefined || best.link === undefined) {
    if (view.link !== best.link) return view.link === undefined;
    return view.receivedAtMs > best.receivedAtMs;
  }
  return view.link.triedAtMs < best.link.triedAtMs;
}
