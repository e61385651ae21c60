/** Follows the store's collections and enters this box among the boxes. */
import type { Runtime } from './gatewayDaemon.js';
import { followFeed, type FeedListener } from './feedFollower.js';

/** How long a poll of configuration or registry is held, in ms: a lost answer is noticed within the users' 2 s. */
const WATCH_WAIT_MS = 2000;
/** How long a poll of the boxes is held, in ms: boxes also hear of each other directly. */
const BOXES_WAIT_MS = 15_000;
/** Pause before this box is entered again after a failed try, in ms. */
const ANNOUNCE_RETRY_MS = 1000;

/** Starts to follow; `stop` ends it. */
export function followPlatform(runtime: Runtime): { stop: () => void } {
  const { store, emit, logger, settings } = runtime;
  let stopped = false;
  const common = (name: string): Omit<FeedListener<never>, 'onPage'> => ({
    onStoreClock: (storeNowMs) => emit({ type: 'storeClock', storeNowMs }),
    onContact(reachable, reason) {
      if (!reachable) logger('feedFault', { feed: name, reason });
    },
  });
  const configuration = followFeed(store.configuration, WATCH_WAIT_MS, {
    ...common('configuration'),
    onContact(reachable, reason) {
      emit({ type: 'storeContact', reachable });
      if (!reachable) logger('feedFault', { feed: 'configuration', reason });
    },
    onPage({ items }) {
      for (const item of items) {
        emit({ type: 'configurationRead', configuration: item, source: 'store' });
      }
    },
  });
  const servers = followFeed(store.servers, WATCH_WAIT_MS, {
    ...common('servers'),
    onPage({ items, whole, revision }) {
      emit({ type: 'serversRead', whole, changes: items, revision, source: 'store' });
    },
  });
  const boxes = followFeed(store.boxes, BOXES_WAIT_MS, {
    ...common('boxes'),
    onPage({ items }) {
      const peers = items.flatMap(({ address }) => (address === undefined ? [] : [address]));
      if (peers.length > 0) emit({ type: 'peersListed', peers });
    },
  });
  const { box, listen, seeds } = settings;
  const seedPeers = seeds.map(({ host }) => ({ boxId: host, host, port: listen.peersPort }));
  if (seedPeers.length > 0) emit({ type: 'peersListed', peers: seedPeers });
  const address = { boxId: box.id, host: box.ip, port: listen.peersPort };
  const announce = async (): Promise<void> => {
    while (!stopped && !(await store.announceBox(box.id, address))) {
      logger('announceFailed', { box: box.id });
      await new Promise((resolve) => setTimeout(resolve, ANNOUNCE_RETRY_MS));
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
