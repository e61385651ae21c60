/** Follows the store's collections and maintains this box's entry in the list of boxes. */
import type { OperatorEntry, PlatformStore } from '../adapter.js';
import type { Logger } from '../observe/logger.js';
import type { GatewayState } from '../state.js';
import type { EventBody, PeerChange } from '../types/event.js';
import type { GatewaySettings } from '../types/settings.js';
import { StoreFeed, type SharedFeed } from '../types/storeFeed.js';
import { followsRegistry, followsStore, ownAddress, startDelayMs } from '../slices/peers/fleet.js';
import { isConfigurationOverdue } from '../slices/peers/configurationSources.js';
import { createAnswerMargin } from '../policy/answerMargin.js';
import { pollTrustedMs, pollWaitMs } from '../slices/store/pollSchedule.js';
import { maintainBoxEntry } from './boxEntry.js';
import type { Clock } from './clock.js';
import { followFeed, type FeedListener } from './feedFollower.js';
import type { RegistryReader } from './registryReader.js';

/** Wait of a long poll of the boxes, in ms: the maximum that the users' store allows. Boxes also learn of each other directly by gossip. */
const BOXES_POLL_WAIT_MS = 30_000;
/** Pause after a change of the boxes, in ms: when a fleet starts, all boxes register at the same time, and each entry would wake all others. */
const BOXES_PAUSE_MS = 1000;
/** Maximum pause after failed polls of the boxes, in ms. Boxes can work for a while without this list. A box that is refused for 9 s makes 7 calls; with a maximum of 0.5 s it would make 20. */
const BOXES_MAX_PAUSE_MS = 4000;
/** Pause after a change of the registry, in ms: dozens of engines start and stop within a second, and members receive the changes only every 0.2 s anyway. */
const SERVERS_PAUSE_MS = 200;

/** Parts of a box that its feeds use. */
export interface FeedRuntime {
  settings: GatewaySettings;
  store: PlatformStore;
  state: GatewayState;
  clock: Clock;
  logger: Logger;
  emit: (body: EventBody) => void;
  /** Reads changes beside the poll of the registry; undefined if nothing does. */
  registry?: RegistryReader;
}

/** Feeds of the store's collections. */
export interface PlatformFeeds {
  /** Reads all collections again, because the store was restored from a backup. */
  restart: () => void;
  stop: () => void;
}

/** Starts to follow the store's collections. */
export function followPlatform(runtime: FeedRuntime): PlatformFeeds {
  const { store, emit, logger, settings, clock, registry } = runtime;
  const entry = maintainBoxEntry({
    store,
    clock,
    logger,
    address: ownAddress(runtime.state),
    holdsPart: () => runtime.state.part.opening !== undefined,
  });
  const common = (feed: StoreFeed): Omit<FeedListener<never>, 'onPage'> => ({
    onStoreClock: (storeNowMs) => emit({ type: 'storeClock', storeNowMs }),
    storeEra: () => runtime.state.storeEra,
    onFault: (error) => logger('feedFailed', { feed, error: String(error) }),
    onContact: (contact) => emit({ type: 'storeContact', feed, ...contact }),
  });
  const margin = createAnswerMargin();
  const isNeeded = (): boolean => followsStore(runtime.state, clock.nowMs());
  const pollTimes = (feed: SharedFeed, boundMs: number) => ({
    nextWaitMs: () => pollWaitMs(runtime.state, boundMs, clock.nowMs()),
    trustedMs: () => pollTrustedMs(runtime.state, { feed, boundMs }, clock.nowMs()),
  });
  const operators = followFeed({
    feed: store.operators,
    ...pollTimes(StoreFeed.operators, settings.bounds.configurationMs),
    margin,
    listener: {
      ...common(StoreFeed.operators),
      isNeeded: () => isNeeded() || isConfigurationOverdue(runtime.state, clock.nowMs()),
      onPage({ items, isLate }) {
        for (const item of rolloutsFirst(items)) emitOperatorEntry(runtime, item, isLate);
      },
    },
    clock,
  });
  const servers = followFeed({
    feed: store.servers,
    ...pollTimes(StoreFeed.servers, settings.bounds.drainMs),
    margin,
    listener: {
      ...common(StoreFeed.servers),
      isNeeded: () => followsRegistry(runtime.state, clock.nowMs()),
      pauseAfterPageMs: SERVERS_PAUSE_MS,
      onPage({ items, whole, revision: readTo, newestRevision, isLate }) {
        if (whole) registry?.onWholeRead();
        // Applied late, older changes would take back newer ones; the complete registry tells.
        if (!whole && registry?.isOvertaken(readTo) === true) return servers.restart();
        const read = { whole, changes: items, revision: newestRevision, readTo, isLate };
        emit({ type: 'serversRead', ...read, source: 'store' });
      },
    },
    clock,
  });
  const boxes = followFeed({
    feed: store.boxes,
    nextWaitMs: () => BOXES_POLL_WAIT_MS,
    margin,
    listener: {
      ...common(StoreFeed.boxes),
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
  });
  const { listen, seeds } = settings;
  const seedPeers = seeds.map(({ host }) => seedPeer(host, listen.peersPort));
  if (seedPeers.length > 0) emit({ type: 'peersListed', changes: seedPeers });
  let isStopped = false;
  return {
    restart() {
      operators.restart();
      servers.restart();
      // Every box of a large fleet follows this list and nothing waits for it, so boxes spread their reads over time.
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

/** Moves roll-outs before the configuration: a box must know them when it starts to serve with a configuration. */
function rolloutsFirst(items: readonly OperatorEntry[]): readonly OperatorEntry[] {
  const isFirst = ({ kind }: OperatorEntry): boolean => kind !== 'configuration';
  return [...items.filter(isFirst), ...items.filter((item) => !isFirst(item))];
}

function emitOperatorEntry(
  { emit, logger }: FeedRuntime,
  entry: OperatorEntry,
  isLate: boolean,
): void {
  switch (entry.kind) {
    case 'configuration': {
      const { configuration } = entry;
      return emit({ type: 'configurationRead', configuration, source: 'store', isLate });
    }
    case 'rollout':
      return emit({ type: 'rolloutOrdered', order: entry.order });
    case 'unreadable':
      return logger('operatorEntryUnreadable', { key: entry.key, reason: entry.reason });
  }
}

/** Returns a peer for a seed of the settings. Its address serves as its id until the real id is known. */
function seedPeer(host: string, port: number): PeerChange {
  return { boxId: host, address: { boxId: host, host, port, zone: undefined, processorCores: 0 } };
}
