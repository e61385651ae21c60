/**
 * Config replica: a copy of an ordered revision log that never steps back.
 *
 * The log lives in a table; readers push deltas to peers. Deltas that arrive
 * early wait until the gap before them is filled. A snapshot replaces the state
 * only when it is ahead.
 */
export interface ConfigChange {
  /** The item's name, such as `workspace/tiger-lab`. */
  name: string;
  /** The new value; `undefined` removes the item. */
  value: unknown;
}

/** One entry of the log; revisions are 1, 2, 3, … without gaps. */
export interface ConfigDelta {
  revision: number;
  planId: string;
  /** Who confirmed it. */
  author: string;
  changes: readonly ConfigChange[];
}

/** An item with the revision that last changed it. */
export interface ConfigItem {
  value: unknown;
  revision: number;
  /** The plan that last changed it, and who confirmed that plan. */
  planId: string;
  author: string;
}

/** The whole configuration at one revision. */
export interface ConfigSnapshot {
  revision: number;
  items: readonly { name: string; item: ConfigItem }[];
}

/** State of a replica. */
export interface ConfigReplica {
  /** The highest revision applied; never falls. */
  revision: number;
  items: Map<string, ConfigItem>;
  /** Recent deltas by revision, to serve peers that are behind. */
  recent: Map<number, ConfigDelta>;
  /** Deltas that arrived before the ones they follow. */
  outOfOrder: Map<number, ConfigDelta>;
  /** The highest revision that any reachable peer has told of. */
  highestKnownRevision: number;
}

/** How many deltas a replica keeps for peers; who is further behind takes a snapshot. */
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

/** Takes deltas in any order; returns those that were applied, in order. */
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

/** Takes a snapshot if it is ahead of the replica; says whether it was taken. */
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

/** The whole state, for the object store or for a peer far behind. */
export function takeSnapshot(replica: ConfigReplica): ConfigSnapshot {
  const items = [...replica.items].map(([name, item]) => ({ name, item }));
  return { revision: replica.revision, items };
}

/** The deltas after a revision, or undefined when the replica no longer keeps all of them. */
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

/** The revision of an item; 0 when it does not exist. */
export function itemRevision(replica: ConfigReplica, name: string): number {
  return replica.items.get(name)?.revision ?? 0;
}
