/** Collections of the virtual store: items with the versions of their last writes, and pages of items. */
import { storeRevision } from 'reedlug-coordination';
import type { FeedAnswer } from 'reedlug-gateway';
import { nowMs, type World } from '../world.js';

/** An item after its last write. */
export interface StoredItem<T> {
  /** Returns the item as read with a revision. */
  itemOf: (revision: number) => T;
  version: number;
}

/** A collection that boxes follow by long polls. */
export interface Collection<T> {
  /** Items by key, with the version of their last write. */
  items: Map<string, StoredItem<T>>;
  /** Removed items, by key. */
  removed: Map<string, StoredItem<T>>;
  waiting: Set<() => void>;
  newestVersion: number;
}

/** Returns an empty collection. */
export function createCollection<T>(): Collection<T> {
  return { items: new Map(), removed: new Map(), waiting: new Set(), newestVersion: 0 };
}

/** Sets a value; undefined deletes the key. */
export function setOrDelete<K, V>(map: Map<K, V>, key: K, value: V | undefined): void {
  if (value === undefined) map.delete(key);
  else map.set(key, value);
}

/** Makes all waiting calls check whether there are changes for them. */
export function wakeWaiting<T>(collection: Collection<T>): void {
  for (const check of [...collection.waiting]) check();
}

/** The store's version counter and its era, which increases with each restore. */
export interface StorePosition {
  era: number;
  version: number;
}

function pageOf<T>(
  world: World,
  rows: readonly StoredItem<T>[],
  { era, version }: StorePosition,
): FeedAnswer<T> {
  const sorted = [...rows].sort((a, b) => a.version - b.version);
  const revisionOf = (row: StoredItem<T>): number => storeRevision({ era, version: row.version });
  const items = sorted.map((row) => row.itemOf(revisionOf(row)));
  const newest = sorted.at(-1);
  const newestRevision = newest === undefined ? 0 : revisionOf(newest);
  const revision = storeRevision({ era, version });
  return { kind: 'page', page: { items, revision, newestRevision, storeNowMs: nowMs(world) } };
}

/** Returns the whole collection as one page. */
export function fullPageOf<T>(
  world: World,
  collection: Collection<T>,
  position: StorePosition,
): FeedAnswer<T> {
  return pageOf(world, [...collection.items.values()], position);
}

/** Returns the items that were written or removed after a version. */
export function changesOf<T>(
  world: World,
  { items, removed }: Collection<T>,
  afterVersion: number,
  position: StorePosition,
): FeedAnswer<T> {
  const rows = [...items.values(), ...removed.values()];
  return pageOf(
    world,
    rows.filter(({ version }) => version > afterVersion),
    position,
  );
}
