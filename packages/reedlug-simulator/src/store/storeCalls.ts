/** Purposes by which calls to the store are counted. */
import type { StoreListener } from 'reedlug-gateway';
import { CHECKPOINT_KEY, LEASE_KEY } from 'reedlug-gateway';

/** Purpose of a call. */
export const StoreCall = {
  operators: 'operators',
  servers: 'servers',
  boxes: 'boxes',
  announce: 'announce',
  lease: 'lease',
  checkpoint: 'checkpoint',
  otherRows: 'otherRows',
} as const;
export type StoreCall = (typeof StoreCall)[keyof typeof StoreCall];

/** Returns the purpose of a call by the key of its first row. */
export function purposeOf(key: string | undefined): StoreCall {
  if (key === LEASE_KEY) return StoreCall.lease;
  return key === CHECKPOINT_KEY ? StoreCall.checkpoint : StoreCall.otherRows;
}

/** The box's process that makes a call. */
export interface StoreCaller extends Pick<StoreListener, 'onEra'> {
  zone: string;
  isAlive: () => boolean;
  /** Answers with changes of the registry that it loses from now on. */
  registryAnswersToLose: number;
}
