/** Cache of an engine's prompt parts with least-recently-used eviction. */
import type { PromptPart } from 'reedlug-gateway';

/** The cached parts of one engine. */
export interface PromptCache {
  /** Number of tokens by part, the least recently used part first. */
  parts: Map<string, number>;
  tokens: number;
}

/** Returns an empty cache. */
export function createPromptCache(): PromptCache {
  return { parts: new Map(), tokens: 0 };
}

/** Returns the prompt tokens that need no prefill: a part counts only if all parts before it are cached too. */
export function cachedPrefixTokens(cache: PromptCache, parts: readonly PromptPart[]): number {
  let cached = 0;
  for (const { id, tokens } of parts) {
    if (!cache.parts.has(id)) break;
    cached += tokens;
  }
  return cached;
}

/** Caches a prompt's parts, and evicts the least recently used parts beyond the capacity. */
export function cacheParts(
  cache: PromptCache,
  parts: readonly PromptPart[],
  capacityTokens: number,
): void {
  for (const { id, tokens } of parts) {
    cache.tokens -= cache.parts.get(id) ?? 0;
    cache.parts.delete(id);
    cache.parts.set(id, tokens);
    cache.tokens += tokens;
  }
  evictParts(cache, capacityTokens);
}

/** Evicts the least recently used parts until the cached tokens fit the capacity. */
export function evictParts(cache: PromptCache, capacityTokens: number): void {
  for (const [id, tokens] of cache.parts) {
    if (cache.tokens <= capacityTokens) return;
    cache.parts.delete(id);
    cache.tokens -= tokens;
  }
}
