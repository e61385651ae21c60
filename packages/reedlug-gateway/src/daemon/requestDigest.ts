/** Digest by which boxes recognize a request that is repeated under another id. */
import { createHash } from 'node:crypto';
import type { CallerExchange } from './callerServer.js';

/** Length of a digest in characters: 96 bits, so that collisions among the requests of a day are improbable. */
const DIGEST_CHARACTERS = 16;

/**
 * Returns a truncated SHA-256 of method, host, path and body. Logs, gossip and stored rows contain
 * it in place of the body. Each part of the head is prefixed by its length, so that parts with
 * different boundaries have different digests.
 */
export function digestOf(exchange: Pick<CallerExchange, 'head' | 'body'>, host: string): string {
  const { head, body } = exchange;
  const parts = [head.method, host, head.path].map((part) => `${part.length}:${part}`);
  const hash = createHash('sha256').update(parts.join('')).update(body);
  return hash.digest('base64url').slice(0, DIGEST_CHARACTERS);
}
