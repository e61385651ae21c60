/**
 * Maintains this box's entry in the store's list of boxes. An entry outlives the
 * process, so a restarted box writes it only if it is missing or differs: each
 * write wakes every box that follows the list.
 */
import type { PlatformStore } from '../adapter.js';
import type { Logger } from '../observe/logger.js';
import type { PeerChange } from '../types/event.js';
import type { PeerAddress } from '../types/peer.js';
import type { Clock } from './clock.js';
import { ANNOUNCE_TIMEOUT_MS } from './daemonTimes.js';
import { withinLimit } from './withinLimit.js';

/** Pause before the entry is written again after a failed write, in ms. */
const RETRY_PAUSE_MS = 1000;

/** Maintainer of this box's entry. */
export interface BoxEntry {
  /** Processes a page of the list: either the whole list or changes. */
  onListed: (page: { items: readonly PeerChange[]; whole: boolean }) => void;
  stop: () => void;
}

/** Returns a maintainer, which writes nothing before it has seen the list. */
export function maintainBoxEntry(params: {
  store: Pick<PlatformStore, 'announceBox'>;
  clock: Clock;
  logger: Logger;
  address: PeerAddress;
  /** Whether the box holds its share of the limits, which a lost entry has to state again. */
  holdsPart: () => boolean;
}): BoxEntry {
  const { store, clock, logger, address, holdsPart } = params;
  const { boxId } = address;
  let stopped = false;
  let isWriting = false;

  const onFault = (error: unknown): void => logger('announceFault', { error: String(error) });
  const announce = (): Promise<boolean> => {
    const call = () => store.announceBox(boxId, address, holdsPart());
    const limit = { timeoutMs: ANNOUNCE_TIMEOUT_MS, abandoned: false, onFault };
    return withinLimit(clock, call, limit);
  };
  const write = async (): Promise<void> => {
    if (isWriting) return;
    isWriting = true;
    while (!stopped && !(await announce())) {
      logger('announceFailed', { box: boxId });
      await clock.pause(RETRY_PAUSE_MS);
    }
    isWriting = false;
  };
  return {
    onListed({ items, whole }) {
      const own = items.find((item) => item.boxId === boxId);
      if (own === undefined && !whole) return;
      if (!isSameAddress(own?.address, address)) void write();
    },
    stop() {
      stopped = true;
    },
  };
}

function isSameAddress(listed: PeerAddress | undefined, own: PeerAddress): boolean {
  if (listed === undefined) return false;
  const keys = Object.keys(own) as (keyof PeerAddress)[];
  return keys.every((key) => listed[key] === own[key]);
}
