/**
 * Configuration replica: the state of an ordered log of revisions, which never goes back.
 *
 * The log is stored in a table; boxes that read it push its deltas to their peers.
 * Deltas that arrive out of order wait until the gap before them is filled. A
 * snapshot replaces the state only if it has a later revision.
 */

/** A change of one item. */
export interface ConfigChange {
  /** The item's name, such as `workspace/tiger-lab`. */
  name: string;
  /** The new value; `undefined` removes the item. */
  value: unknown;
}

/** One entry of the log. Revisions are 1, 2, 3, … without gaps. */
export interface ConfigDelta {
  revision: number;
  planId: string;
  /** Who confirmed the plan. */
  author: string;
  changes: readonly ConfigChange[];
}

/** An item, with the revision that last changed it. */
export interface ConfigItem {
  value: unknown;
  revision: number;
  /** The plan that last changed the item; `author` is who confirmed that plan. */
  planId: string;
  author: string;
}

/** The complete configuration at one revision. */
export interface ConfigSnapshot {
  revision: number;
  items: readonly { name: string; item: ConfigItem }[];
}

/** State of a replica. */
export interface ConfigReplica {
  /** The highest revision applied; never decreases. */
  revision: number;
  items: Map<string, ConfigItem>;
  /** Recent deltas by revision, for peers that are behind. */
  recent: Map<number, ConfigDelta>;
  /** Deltas by revision that arrived before the ones that they follow. */
  outOfOrder: Map<number, ConfigDelta>;
  /** The highest revision known to exist, from received deltas and snapshots and from peers' reports. */
  highestKnownRevision: number;
}

/** Number of deltas that a replica keeps for peers; a peer that is further behind gets a snapshot. */
export const CONFIG_RECENT_LIMIT = 512;

/** Returns an empty replica at revision 0. */
export function createConfigReplica(): ConfigReplica {
  return {
    revision: 0,
    items: new Map(),
    recent: new Map(),
    outOfOrder: new Map(),
    highestKnownRevision: 0,
  };
}

/** Accepts deltas in any order; returns those that could be applied, in order of revision. */
export function applyDeltas(replica: ConfigReplica, deltas: readonly ConfigDelta[]): ConfigDelta[] {
  for (const delta of deltas) {
    replica.highestKnownRevision = Math.max(replica.highestKnownRevision, delta.revision);
    if (delta.revision > replica.revision) replica.outOfOrder.set(delta.revision, delta);
  }
  const applied: ConfigDelta[] = [];
  for (;;) {
    const next = replica.outOfOrder.get(replica.revision + 1);
    if (next === undefined) return applied;
    replica.outOfOrder.delete(next.revision);
    applyDelta(replica, next);
    applied.push(next);
  }
}

function applyDelta(replica: ConfigReplica, delta: ConfigDelta): void {
  const { revision, planId, author } = delta;
  for (const { name, value } of delta.changes) {
    if (value === undefined) replica.items.delete(name);
    else replica.items.set(name, { value, revision, planId, author });
  }
  replica.revision = delta.revision;
  replica.recent.set(delta.revision, delta);
  replica.recent.delete(delta.revision - CONFIG_RECENT_LIMIT);
}

/** Applies a snapshot if its revision is later than the replica's; returns whether it was applied. */
export function applySnapshot(replica: ConfigReplica, snapshot: ConfigSnapshot): boolean {
  replica.highestKnownRevision = Math.max(replica.highestKnownRevision, snapshot.revision);
  if (snapshot.revision <= replica.revision) return false;
  replica.items = new Map(snapshot.items.map(({ name, item }) => [name, item]));
  replica.revision = snapshot.revision;
  for (const revision of replica.outOfOrder.keys()) {
    if (revision <= snapshot.revision) replica.outOfOrder.delete(revision);
  }
  return true;
}

/** Returns the complete state, for the object store or for a peer that is far behind. */
export function takeSnapshot(replica: ConfigReplica): ConfigSnapshot {
  const items = [...replica.items].map(([name, item]) => ({ name, item }));
  return { revision: replica.revision, items };
}

/** Returns up to `limit` deltas after a revision, or undefined if some are no longer kept. */
export function deltasAfter(
  replica: ConfigReplica,
  revision: number,
  limit: number,
): ConfigDelta[] | undefined {
  const deltas: ConfigDelta[] = [];
  const last = Math.min(replica.revision, revision + limit);
  for (let next = revision + 1; next <= last; next += 1) {
    const delta = replica.recent.get(next);
    if (delta === undefined) return undefined;
    deltas.push(delta);
  }
  return deltas;
}

/** Returns the revision of an item; 0 if it does not exist. */
export function itemRevision(replica: ConfigReplica, name: string): number {
  return replica.items.get(name)?.revision ?? 0;
}
