/**
 * Rendezvous hashing: a stable ranking of servers for a key.
 *
 * Losing a server moves only the keys that it held. Ids are hashed once with
 * xxHash; a ranking then mixes two 32-bit numbers per server, which keeps a
 * ranking over thousands of engines in the tens of microseconds.
 */
import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/** 32-bit xxHash of a string. */
export function hashString(text: string): number {
  return h32(text);
}

/** Ids whose hashes are kept: some fleets' worth; beyond them all are worked out anew. */
const MAX_CACHED_HASHES = 20_000;
const hashById = new Map<string, number>();

/**
 * The hash of an id that is asked for again and again, as those of servers and boxes are.
 * Hashing the ids of 70 boxes for each message and of 42 servers for each request took a
 * tenth of a box's processor time in its first seconds.
 */
export function hashId(id: string): number {
  const cached = hashById.get(id);
  if (cached !== undefined) return cached;
  if (hashById.size >= MAX_CACHED_HASHES) hashById.clear();
  const hash = hashString(id);
  hashById.set(id, hash);
  return hash;
}

/** A string's hash as a number from 0 to below 1. */
export function hashFraction(text: string): number {
  return hashString(text) / 2 ** 32;
}

/** The weight of a server for a key, from their hashes; the highest wins (Murmur3's finalizer). */
export function rendezvousWeight(keyHash: number, serverHash: number): number {
  let mixed = keyHash ^ Math.imul(serverHash, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
