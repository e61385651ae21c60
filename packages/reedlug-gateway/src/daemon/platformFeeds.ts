/** Follows the store's collections and enters this box among the boxes. */
import type { OperatorEntry, PlatformStore } from '../adapter.js';
import type { Logger } from '../observe/logger.js';
import type { GatewayState } from '../state.js';
import type { EventBody, PeerChange } from '../types/event.js';
import type { GatewaySettings } from '../types/settings.js';
import { followsStore, ownAddress, startDelayMs } from '../slices/fleet.js';
import { maintainBoxEntry } from './boxEntry.js';
import type { Clock } from './clock.js';
import { followFeed, type FeedListener } from './feedFollower.js';

/** How long a poll of configuration or registry is held, in ms: a lost answer is noticed within the users' 2 s. */
const POLL_WAIT_MS = 2000;
/** How long a poll of the boxes is held, in ms: the longest that the users' store holds one; boxes also hear of each other directly. */
const BOXES_POLL_WAIT_MS = 30_000;
/** Pause after a change of the boxes, in ms: at a start all of them enter themselves at once, and each would wake all others. */
const BOXES_PAUSE_MS = 1000;
/** Longest pause of that poll after failed ones, in ms: nothing of a box depends on it for a while; at half a second each box that is turned away for 9 s asks 20 times, so 7. */
const BOXES_MAX_PAUSE_MS = 4000;
/** Pause after a change of the registry, in ms: dozens of engines come and go within a second, and members hear of them each 0.2 s anyway. */
const SERVERS_PAUSE_MS = 200;

/** A box as its feeds need it. */
export interface FeedRuntime {
  settings: GatewaySettings;
  store: PlatformStore;
  state: GatewayState;
  clock: Clock;
  logger: Logger;
  emit: (body: EventBody) => void;
}

/** The store's collections, followed. */
export interface PlatformFeeds {
  /** Reads all of them anew, since the store came back from a copy. */
  restart: () => void;
  stop: () => void;
}

/** Starts to follow. */
export function followPlatform(runtime: FeedRuntime): PlatformFeeds {
  const { store, emit, logger, settings, clock } = runtime;
  const entry = maintainBoxEntry({
    store,
    clock,
    logger,
    address: ownAddress(runtime.state),
    holdsPart: () => runtime.state.part.opening !== undefined,
  });
  const common = (name: string): Omit<FeedListener<never>, 'onPage'> => ({
    onStoreClock: (storeNowMs) => emit({ type: 'storeClock', storeNowMs }),
    storeEra: () => runtime.state.storeEra,
    onContact(reachable, reason) {
      if (!reachable) logger('feedFault', { feed: name, reason });
    },
  });
  const isNeeded = (): boolean => followsStore(runtime.state, clock.nowMs());
  const operators = followFeed(
    store.operators,
    POLL_WAIT_MS,
    {
      ...common('operators'),
      isNeeded,
      onContact(reachable, reason) {
        emit({ type: 'storeContact', reachable });
        if (!reachable) logger('feedFault', { feed: 'operators', reason });
      },
      onPage({ items }) {
        for (const item of rolloutsFirst(items)) emitOperatorEntry(runtime, item);
      },
    },
    clock,
  );
  const servers = followFeed(
    store.servers,
    POLL_WAIT_MS,
    {
      ...common('servers'),
      isNeeded,
      pauseAfterPageMs: SERVERS_PAUSE_MS,
      onPage({ items, whole, newestRevision }) {
        const revision = newestRevision;
        emit({ type: 'serversRead', whole, changes: items, revision, source: 'store' });
      },
    },
    clock,
  );
  const boxes = followFeed(
    store.boxes,
    BOXES_POLL_WAIT_MS,
    {
      ...common('boxes'),
      pauseAfterPageMs: BOXES_PAUSE_MS,
      maxPauseMs: BOXES_MAX_PAUSE_MS,
      onPage({ items, whole, newestRevision }) {
        const revision = newestRevision;
        if (whole || items.length > 0)
          emit({ type: 'peersListed', changes: items, whole, revision });
        entry.onListed({ items, whole });
      },
    },
    clock,
  );
  const { listen, seeds } = settings;
  const seedPeers = seeds.map(({ host }) => seedPeer(host, listen.peersPort));
  if (seedPeers.length > 0) emit({ type: 'peersListed', changes: seedPeers });
  let isStopped = false;
  return {
    restart() {
      operators.restart();
      servers.restart();
      // Every box of a large fleet follows the list of boxes, and nothing waits for it.
      void clock.pause(startDelayMs(runtime.state)).then(() => {
        if (!isStopped) boxes.restart();
      });
    },
    stop() {
      isStopped = true;
      entry.stop();
      operators.stop();
      servers.stop();
      boxes.stop();
    },
  };
}

/** A box that begins to serve with a configuration must know of the roll-outs by then. */
function rolloutsFirst(items: readonly OperatorEntry[]): readonly OperatorEntry[] {
  const isFirst = ({ kind }: OperatorEntry): boolean => kind !== 'configuration';
  return [...items.filter(isFirst), ...items.filter((item) => !isFirst(item))];
}

function emitOperatorEntry({ emit, logger }: FeedRuntime, entry: OperatorEntry): void {
  switch (entry.kind) {
    case 'configuration': {
      const { configuration } = entry;
      return emit({ type: 'configurationRead', configuration, source: 'store' });
    }
    case 'rollout':
      return emit({ type: 'rolloutOrdered', order: entry.order });
    case 'unreadable':
      return logger('operatorEntryUnreadable', { key: entry.key, reason: entry.reason });
  }
}

/** A box of which the settings tell only the address; its real name replaces the address once it is known. */
function seedPeer(host: string, port: number): PeerChange {
  return { boxId: host, address: { boxId: host, host, port, zone: undefined, processorCores: 0 } };
}
