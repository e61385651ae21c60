/** Purposes by which calls to the store are counted. */
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
