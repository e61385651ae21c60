/**
 * The difference between two versions of the configuration, and its application.
 *
 * A delta names each list's removed items, and holds its new, changed and moved ones with their
 * positions in the newer version. The other items keep their order, so that the positions determine
 * the whole list.
 */
import { isDeepStrictEqual } from 'node:util';
import type {
  CallerLimits,
  Configuration,
  RouteSpec,
  ServiceSpec,
  WorkspaceSpec,
} from '../../types/configuration.js';

/** Difference between two versions of a list whose items have unique names. */
export interface ListDelta<T> {
  /** New, changed and moved items with their positions in the newer list, in ascending order. */
  placed: readonly (readonly [number, T])[];
  /** Names of the items that the newer list lacks. */
  removed: readonly string[];
}

/** Difference between two versions of the configuration. */
export interface ConfigurationDelta {
  baseVersion: number;
  version: number;
  routes: ListDelta<RouteSpec>;
  services: ListDelta<ServiceSpec>;
  workspaces: ListDelta<WorkspaceSpec>;
  limits: CallerLimits;
}

interface Named {
  name: string;
}

/** Returns the difference between two versions; undefined if a list has two items of one name. */
export function configurationDelta(
  base: Configuration,
  next: Configuration,
): ConfigurationDelta | undefined {
  const routes = listDelta(base.routes, next.routes);
  const services = listDelta(base.services, next.services);
  const workspaces = listDelta(base.workspaces, next.workspaces);
  if (routes === undefined || services === undefined || workspaces === undefined) return undefined;
  const { version, limits } = next;
  return { baseVersion: base.version, version, routes, services, workspaces, limits };
}

function listDelta<T extends Named>(
  base: readonly T[],
  next: readonly T[],
): ListDelta<T> | undefined {
  const baseIndexByName = new Map(base.map(({ name }, index) => [name, index]));
  const nextNames = new Set(next.map(({ name }) => name));
  if (baseIndexByName.size < base.length || nextNames.size < next.length) return undefined;
  const unchangedAt = next.map((item) => {
    const index = baseIndexByName.get(item.name);
    return index !== undefined && isDeepStrictEqual(item, base[index]) ? index : undefined;
  });
  const kept = longestAscending(unchangedAt);
  const placed = next.flatMap((item, index) => (kept.has(index) ? [] : [[index, item] as const]));
  const removed = base.filter(({ name }) => !nextNames.has(name)).map(({ name }) => name);
  return { placed, removed };
}

/**
 * Returns the positions of a longest ascending subsequence; positions without a value are skipped.
 */
function longestAscending(values: readonly (number | undefined)[]): Set<number> {
  /** For each length, the position at which the subsequence with the smallest last value ends. */
  const ends: number[] = [];
  /** Predecessor of each position in its subsequence. */
  const predecessors = new Map<number, number | undefined>();
  for (const [position, value] of values.entries()) {
    if (value === undefined) continue;
    let low = 0;
    let high = ends.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((values[ends[middle] ?? 0] ?? 0) < value) low = middle + 1;
      else high = middle;
    }
    predecessors.set(position, ends[low - 1]);
    ends[low] = position;
  }
  const found = new Set<number>();
  for (let at = ends.at(-1); at !== undefined; at = predecessors.get(at)) found.add(at);
  return found;
}

/** Returns the newer version; undefined if the delta does not belong to this base. */
export function applyConfigurationDelta(
  base: Configuration,
  delta: ConfigurationDelta,
): Configuration | undefined {
  if (delta.baseVersion !== base.version) return undefined;
  const routes = applyListDelta(base.routes, delta.routes);
  const services = applyListDelta(base.services, delta.services);
  const workspaces = applyListDelta(base.workspaces, delta.workspaces);
  if (routes === undefined || services === undefined || workspaces === undefined) return undefined;
  return { version: delta.version, routes, services, workspaces, limits: delta.limits };
}

function applyListDelta<T extends Named>(
  base: readonly T[],
  { placed, removed }: ListDelta<T>,
): T[] | undefined {
  const baseNames = new Set(base.map(({ name }) => name));
  if (!removed.every((name) => baseNames.has(name))) return undefined;
  const dropped = new Set([...removed, ...placed.map(([, { name }]) => name)]);
  const kept = base.filter(({ name }) => !dropped.has(name));
  const list: T[] = [];
  let keptCount = 0;
  for (const [position, item] of placed) {
    const missing = position - list.length;
    if (missing < 0 || keptCount + missing > kept.length) return undefined;
    list.push(...kept.slice(keptCount, keptCount + missing), item);
    keptCount += missing;
  }
  return [...list, ...kept.slice(keptCount)];
}
