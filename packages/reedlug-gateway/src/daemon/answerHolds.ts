/** Holds the events of streams' servers until they may be relayed. */
import type { GatewayState } from '../state.js';
import type { EventBody } from '../types/event.js';
import {
  confirmationNeed,
  ConfirmationNeed,
} from '../slices/streamVersions/attemptConfirmations.js';
import { isProofAwaited, type AnswerTimes } from '../slices/streamVersions/answerProofs.js';
import { mustAwaitListing } from '../slices/streamVersions/listingWaits.js';
import type { Clock } from './clock.js';
import type { RegistryReader } from './registryReader.js';
import type { AttemptIds } from '../types/request.js';

/** Longest time for which the first event of a new stream waits for a read of the registry, in ms: a slow store answers in 250. */
const MAX_BEGIN_WAIT_MS = 300;
/** Time from the first read for an answer that goes on within which a failed one is repeated, in ms: two that time out. */
const REPEAT_READS_WITHIN_MS = 1400;
/** Maximum number of these reads: a store that is away refuses each of them at once. */
const MAX_READS = 4;
/** Time between looks for another proof of the server's life after these reads, in ms, and their number: three messages of a peer. */
const PROOF_CHECK_MS = 50;
const MAX_PROOF_CHECKS = 12;

/** Decides when the events of attempts may be relayed. */
export interface AnswerHolds {
  /** Whether the events of an attempt whose answer has begun have to wait. */
  mustHold: (ids: AttemptIds) => boolean;
  /**
   * Resolves once the events of an attempt may be relayed, unless it was cancelled meanwhile. `connectedAtMs` is the time
   * since which its connection is open.
   */
  untilRelayable: (ids: AttemptIds, connectedAtMs?: number) => Promise<void>;
  /** The version of an attempt is listed, or need not be any longer. */
  endListingWait: (attemptId: number) => void;
  /** The attempt is over. */
  forget: (attemptId: number) => void;
}

/** Creates holds for the attempts of one box. */
export function createAnswerHolds(context: {
  state: GatewayState;
  registry: Pick<RegistryReader, 'readNow'>;
  clock: Pick<Clock, 'nowMs' | 'pause'>;
  emit: (body: EventBody) => void;
}): AnswerHolds {
  const { state, registry, clock, emit } = context;
  const listingWaits = new Map<number, () => void>();

  /** Reads again if the store does not answer: its connections may be replaced during each read. */
  const readAgain = async (): Promise<boolean> => {
    const untilMs = clock.nowMs() + REPEAT_READS_WITHIN_MS;
    for (let reads = 0; reads < MAX_READS; reads += 1) {
      if (await registry.readNow()) return true;
      if (clock.nowMs() >= untilMs) return false;
    }
    return false;
  };

  const readInTime = async (): Promise<boolean> => {
    const limit = new AbortController();
    const late = clock.pause(MAX_BEGIN_WAIT_MS, limit.signal).then(() => false);
    try {
      return await Promise.race([registry.readNow(), late]);
    } finally {
      limit.abort();
    }
  };

  const awaitProof = async (ids: AttemptIds, times: AnswerTimes): Promise<void> => {
    for (let checks = 0; checks < MAX_PROOF_CHECKS; checks += 1) {
      if (!isProofAwaited(state, ids, times, clock.nowMs())) return;
      await clock.pause(PROOF_CHECK_MS);
    }
  };

  const confirm = async (
    need: ConfirmationNeed,
    ids: AttemptIds,
    connectedAtMs: number | undefined,
  ): Promise<void> => {
    const times = { begunAtMs: clock.nowMs(), connectedAtMs };
    const goesOn = need === ConfirmationNeed.goesOn;
    const isRegistryRead = goesOn ? await readAgain() : await readInTime();
    if (goesOn && !isRegistryRead) await awaitProof(ids, times);
    emit({ type: 'attemptConfirmed', ...ids, isRegistryRead, ...times });
  };

  const awaitListing = (ids: AttemptIds): Promise<void> =>
    new Promise((resolve) => {
      listingWaits.set(ids.attemptId, resolve);
      emit({ type: 'listingAwaited', ...ids });
    });

  return {
    mustHold(ids) {
      return (
        confirmationNeed(state, ids) !== undefined || mustAwaitListing(state, ids, clock.nowMs())
      );
    },
    async untilRelayable(ids, connectedAtMs) {
      const need = confirmationNeed(state, ids);
      if (need !== undefined) await confirm(need, ids, connectedAtMs);
      if (mustAwaitListing(state, ids, clock.nowMs())) await awaitListing(ids);
    },
    endListingWait(attemptId) {
      // Reading on delivers what has arrived at once, which must not be written before the events of this step are
      // handled: it goes on in a microtask.
      listingWaits.get(attemptId)?.();
      listingWaits.delete(attemptId);
    },
    forget: (attemptId) => void listingWaits.delete(attemptId),
  };
}
