/** Follows the store's collections and enters this box among the boxes. */
import type { PlatformStore } from '../adapter.js';
import type { Logger } from '../observe/logger.js';
import type { GatewayState } from '../state.js';
import type { EventBody } from '../types/event.js';
import type { GatewaySettings } from '../types/settings.js';
import type { Clock } from './clock.js';
import type { PeerChange } from '../types/event.js';
import { followsStore, ownAddress } from '../slices/fleet.js';
import { followFeed, type FeedListener } from './feedFollower.js';

/** How long a poll of configuration or registry is held, in ms: a lost answer is noticed within the users' 2 s. */
const WATCH_WAIT_MS = 2000;
/** How long a poll of the boxes is held, in ms: boxes also hear of each other directly. */
const BOXES_WAIT_MS = 15_000;
/** Pause after a change of the boxes, in ms: at a start all of them enter themselves at once, and each would wake all others. */
const BOXES_PAUSE_MS = 500;
/** Pause before this box is entered again after a failed try, in ms. */
const ANNOUNCE_RETRY_MS = 1000;

/** A box as its feeds need it. */
export interface FeedRuntime {
  settings: GatewaySettings;
  store: PlatformStore;
  state: GatewayState;
  clock: Clock;
  logger: Logger;
  emit: (body: EventBody) => void;
}

/** Starts to follow; `stop` ends it. */
export function followPlatform(runtime: FeedRuntime): { stop: () => void } {
  const { store, emit, logger, settings, clock } = runtime;
  let stopped = false;
  const common = (name: string): Omit<FeedListener<never>, 'onPage'> => ({
    onStoreClock: (storeNowMs) => emit({ type: 'storeClock', storeNowMs }),
    onContact(reachable, reason) {
      if (!reachable) logger('feedFault', { feed: name, reason });
    },
  });
  const isNeeded = (): boolean => followsStore(runtime.state, clock.nowMs());
  const configuration = followFeed(
    store.configuration,
    WATCH_WAIT_MS,
    {
      ...common('configuration'),
      isNeeded,
      onContact(reachable, reason) {
        emit({ type: 'storeContact', reachable });
        if (!reachable) logger('feedFault', { feed: 'configuration', reason });
      },
      onPage({ items }) {
        for (const item of items) {
          emit({ type: 'configurationRead', configuration: item, source: 'store' });
        }
      },
    },
    clock,
  );
  const servers = followFeed(
    store.servers,
    WATCH_WAIT_MS,
    {
      ...common('servers'),
      isNeeded,
      onPage({ items, whole, newestRevision }) {
        const revision = newestRevision;
        emit({ type: 'serversRead', whole, changes: items, revision, source: 'store' });
      },
    },
    clock,
  );
  const boxes = followFeed(
    store.boxes,
    BOXES_WAIT_MS,
    {
      ...common('boxes'),
      pauseAfterPageMs: BOXES_PAUSE_MS,
      onPage({ items }) {
        if (items.length > 0) emit({ type: 'peersListed', changes: items });
      },
    },
    clock,
  );
  const { box, listen, seeds } = settings;
  const seedPeers = seeds.map(({ host }) => seedOf(host, listen.peersPort));
  if (seedPeers.length > 0) emit({ type: 'peersListed', changes: seedPeers });
  const address = ownAddress(runtime.state);
  const announce = async (): Promise<void> => {
    while (!stopped && !(await store.announceBox(box.id, address))) {
      logger('announceFailed', { box: box.id });
      await clock.pause(ANNOUNCE_RETRY_MS);
    }
  };
  void announce();
  return {
    stop() {
      stopped = true;
      configuration.stop();
      servers.stop();
      boxes.stop();
    },
  };
}

/** A box of which the settings tell only the address; its real name replaces the address once it is known. */
function seedOf(host: string, port: number): PeerChange {
  return { boxId: host, address: { boxId: host, host, port, zone: undefined, processorCores: 0 } };
}
