/** Reads changes of the registry at once, beside the poll that follows them. */
import { eraOf } from 'reedlug-coordination';
import type { FeedAnswer, PlatformStore } from '../adapter.js';
import type { GatewayState } from '../state.js';
import type { EventBody } from '../types/event.js';
import type { ServerChange } from '../types/server.js';
import type { Clock } from './clock.js';
import { withinLimit } from './withinLimit.js';

/** Time limit of a read, in ms. */
const READ_TIMEOUT_MS = 700;

/** Reader of the registry's changes. */
export interface RegistryReader {
  /**
   * Resolves with true once the box knows the registry as of this call or later, with false once that could not be
   * learned. Calls that come during a read share the next one.
   */
  readNow: () => Promise<boolean>;
  /** Returns whether changes up to a revision were read before others that this reader has applied since the last complete read. */
  isOvertaken: (readTo: number) => boolean;
  /** The registry was read completely, so that nothing counts that was known before. */
  onWholeRead: () => void;
}

/** Creates a reader without a read in progress. */
export function createRegistryReader(context: {
  store: Pick<PlatformStore, 'servers'>;
  state: GatewayState;
  clock: Pick<Clock, 'pause'>;
  emit: (body: EventBody) => void;
  /** Called for a call of the store that throws. */
  onFault: (error: unknown) => void;
}): RegistryReader {
  const { store, state, clock, emit, onFault } = context;
  let running: Promise<boolean> | undefined;
  let next: Promise<boolean> | undefined;
  let appliedTo = 0;

  const read = async (): Promise<boolean> => {
    const timeoutMs = READ_TIMEOUT_MS;
    const position = { afterRevision: state.serversReadTo, waitMs: 0, timeoutMs };
    const call = () => store.servers.follow(position);
    const abandoned = { kind: 'unavailable', reason: 'the call outlived its time limit' } as const;
    const answer = await withinLimit(clock, call, { timeoutMs, abandoned, onFault });
    return apply(answer, position.afterRevision);
  };

  /** Returns whether the box knows the registry as of the answer. */
  const apply = (answer: FeedAnswer<ServerChange>, afterRevision: number): boolean => {
    // Where the changes are gone, or the store was restored, the poll reads the whole registry.
    if (answer.kind !== 'page') return false;
    const { items: changes, revision: readTo, newestRevision: revision } = answer.page;
    if (eraOf(readTo) !== eraOf(state.serversReadTo)) return false;
    // An answer of a time before the box's own knowledge shows nothing of now.
    if (readTo < afterRevision) return false;
    if (changes.length === 0 || readTo < state.serversReadTo) return true;
    appliedTo = readTo;
    emit({ type: 'serversRead', whole: false, changes, revision, readTo, source: 'store' });
    return true;
  };

  const start = (): Promise<boolean> => {
    running = read().finally(() => (running = undefined));
    return running;
  };

  return {
    readNow() {
      if (running === undefined) return start();
      next ??= running.then(() => {
        next = undefined;
        return start();
      });
      return next;
    },
    isOvertaken: (readTo) => readTo < appliedTo,
    onWholeRead() {
      appliedTo = 0;
    },
  };
}
