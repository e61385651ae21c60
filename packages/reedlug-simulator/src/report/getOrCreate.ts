/** Entries of maps that are created when they are first used. */

/** Returns the value of a key, and creates it if it is missing. */
export function getOrCreate<K, V>(map: Map<K, V>, key: K, make: () => V): V {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = make();
  map.set(key, created);
  return created;
}

/** Adds one to the count of a key. */
export function countIn(map: Map<string, number>, key: string): void {
  map.set(key, (map.get(key) ?? 0) + 1);
}
