/** Keys of workspaces and operators. The settings hold only their SHA-256 hashes. */
import { createHash } from 'node:crypto';

/** Returns the SHA-256 of a key in hex. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Finds the owner of a bearer key. */
export interface KeyRing {
  /** Returns the owner of the key in an `Authorization` header; undefined if the key is unknown. */
  ownerOf: (authorization: string | undefined) => string | undefined;
}

const BEARER = 'Bearer ';
/** Maximum number of keys whose owner is cached, so that a request need not hash its key. */
const MAX_CACHED_KEYS = 1000;

/** Returns a key ring over hashed keys. `findAddedOwner` looks up keys that a plan added later. */
export function createKeyRing(
  owners: readonly { id: string; keySha256: string }[],
  findAddedOwner: (keySha256: string) => string | undefined = () => undefined,
): KeyRing {
  const ownerByHash = new Map(owners.map(({ id, keySha256 }) => [keySha256, id]));
  const ownerByAuthorization = new Map<string, string>();
  return {
    ownerOf(authorization) {
      if (authorization === undefined || !authorization.startsWith(BEARER)) return undefined;
      const cachedOwner = ownerByAuthorization.get(authorization);
      if (cachedOwner !== undefined) return cachedOwner;
      const hash = hashKey(authorization.slice(BEARER.length));
      const owner = ownerByHash.get(hash) ?? findAddedOwner(hash);
      if (owner !== undefined && ownerByAuthorization.size < MAX_CACHED_KEYS) {
        ownerByAuthorization.set(authorization, owner);
      }
      return owner;
    },
  };
}
