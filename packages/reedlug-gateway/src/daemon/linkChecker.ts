/** Checks by connections to other servers whether this box's own links are up. */
import { serversToCheck } from '../slices/servers/linkChecks.js';
import type { GatewayState } from '../state.js';
import { ConnectOutcome, LinkState, type ConnectionTry } from '../types/serverLink.js';
import type { ServerView } from '../types/views.js';
import { openSocket } from './openSocket.js';

/** Time in which a connection has to come up, in ms; a peer that asks waits for longer. */
const CHECK_TIMEOUT_MS = 250;

/** Checks the links of a box, one check at a time. */
export interface LinkChecker {
  /** Returns whether a connection to a server other than the given one came up since `sinceMs`, or comes up now. */
  check: (params: { sinceMs: number; exceptServerId?: string }) => Promise<LinkState>;
}

/** Creates a checker without a check in progress. */
export function createLinkChecker(context: {
  state: GatewayState;
  onTried: (attempt: ConnectionTry) => void;
}): LinkChecker {
  const { state, onTried } = context;
  let running: Promise<LinkState> | undefined;

  const start = async (exceptServerId: string | undefined): Promise<LinkState> => {
    const views = serversToCheck(state, exceptServerId);
    const isAnyUp = await anyOf(views.map((view) => connects(view, onTried)));
    if (isAnyUp) return LinkState.up;
    return views.length === 0 ? LinkState.unknown : LinkState.down;
  };

  return {
    check({ sinceMs, exceptServerId }) {
      if (state.serverLinks.openedAtMs >= sinceMs) return Promise.resolve(LinkState.up);
      // A check that throws does not stand in the way of the next one.
      return (running ??= start(exceptServerId).finally(() => (running = undefined)));
    },
  };
}

/** Resolves with true as soon as one resolves so, and with false once all have resolved otherwise. */
async function anyOf(outcomes: readonly Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve) => {
    for (const outcome of outcomes) void outcome.then((isTrue) => isTrue && resolve(true));
    void Promise.all(outcomes).then((all) => resolve(all.includes(true)));
  });
}

function connects(
  { entry: { id: serverId, address } }: ServerView,
  onTried: (attempt: ConnectionTry) => void,
): Promise<boolean> {
  return new Promise((resolve) => {
    openSocket(address, CHECK_TIMEOUT_MS, (result) => {
      const { outcome, tookMs } = result;
      if (result.outcome === ConnectOutcome.opened) result.socket.destroy();
      const path = { kind: 'direct' } as const;
      onTried({ serverId, address, path, outcome, tookMs, requestId: '' });
      resolve(outcome === ConnectOutcome.opened);
    });
  });
}
