/** The digest by which boxes know a request that comes again under another id. */
import { createHash } from 'node:crypto';
import type { CallerExchange } from './callerServer.js';

/** Characters of a digest: 96 bits, so that two of the requests of a day do not meet by chance. */
const DIGEST_CHARACTERS = 16;

/**
 * SHA-256 of method, host, path and body, cut short. Logs, news and stored rows carry it in
 * place of the body. Each part is preceded by its length, so that none runs into the next.
 */
export function digestOf(exchange: Pick<CallerExchange, 'head' | 'body'>, host: string): string {
  const { head, body } = exchange;
  const parts = [head.method, host, head.path].map((part) => `${part.length}:${part}`);
  const hash = createHash('sha256').update(parts.join('')).update(body);
  return hash.digest('base64url').slice(0, DIGEST_CHARACTERS);
}
