/** The platform's store in virtual time, as the other parts of the simulator use it. */
import type {
  Configuration,
  PlatformStore,
  RolloutOrder,
  RolloutRecord,
  ServerEntry,
} from 'reedlug-gateway';
import type { StoreCall, StoreCaller } from './storeCalls.js';
import type { StoreChange } from './storeHistory.js';

/** How the store fails: it answers nothing, or refuses each call, including those that wait. */
export const StoreOutage = { silent: 'silent', refusing: 'refusing' } as const;
export type StoreOutage = (typeof StoreOutage)[keyof typeof StoreOutage];

/** The store of a world. */
export interface VirtualStore {
  outage: StoreOutage | undefined;
  /** Starts an outage, or ends it with undefined. */
  setOutage: (outage: StoreOutage | undefined) => void;
  /** World time at which an outage last started or ended; negative infinity if there was none. */
  lastOutageChangeAtMs: number;
  /** Number of restores from a backup. */
  copies: number;
  /** Restores the state of a time; later versions are assigned again. Returns the lost changes, newest first. */
  restoreTo: (atMs: number) => StoreChange[];
  /** Advances the version counter, as writes of others do; nothing else changes. */
  skipVersions: (count: number) => void;
  calls: Map<StoreCall, number>;
  putConfiguration: (configuration: Configuration) => void;
  orderRollout: (order: Omit<RolloutOrder, 'revision'>) => void;
  /** Returns the record of a service's roll-out; undefined while there is none. */
  rolloutRecord: (service: string) => RolloutRecord | undefined;
  putServer: (entry: ServerEntry) => void;
  /** Makes boxes that are picked lose their next answers with changes of the registry. */
  loseRegistryAnswers: (isPicked: () => boolean, answers: number) => void;
  removeServer: (id: string) => void;
  /**
   * Returns the store's client for a box in a zone. Calls end when `isAlive` returns false; `onEra`
   * receives the era of each answer.
   */
  openFor: (
    zone: string,
    caller: Omit<StoreCaller, 'zone' | 'registryAnswersToLose'>,
  ) => PlatformStore;
}
