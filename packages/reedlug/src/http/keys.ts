/** Keys of workspaces and operators, known to the settings by their SHA-256 only. */
import { createHash } from 'node:crypto';

/** SHA-256 of a key in hex. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Finds the owner of a bearer key. */
export interface KeyRing {
  ownerOf: (authorization: string | undefined) => string | undefined;
}

const BEARER = 'Bearer ';
/** Keys whose hash is remembered, so that each request does not hash again. */
const MAX_CACHED_KEYS = 1000;

/** Returns a key ring over hashed keys; `laterOwner` finds those that a plan has added since. */
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
