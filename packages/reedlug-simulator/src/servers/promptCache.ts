/** Prompt parts that an engine keeps, the least recently used giving way first. */
import type { PromptPart } from 'reedlug-gateway';

/** The parts of one engine. */
export interface PromptCache {
  /** Tokens by part, the least recently used first. */
  parts: Map<string, number>;
  tokens: number;
}

/** Returns an empty cache. */
export function createPromptCache(): PromptCache {
  return { parts: new Map(), tokens: 0 };
}

/** Tokens of a prompt that need not be read: parts count only if all before them are kept too. */
export function cachedPrefixTokens(cache: PromptCache, parts: readonly PromptPart[]): number {
  let cached = 0;
  for (const { id, tokens } of parts) {
    if (!cache.parts.has(id)) break;
    cached += tokens;
  }
  return cached;
}

/** Keeps a prompt's parts, and lets the oldest go until the room suffices. */
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

/** Lets the oldest parts go until no more than so many tokens are kept. */
export function evictParts(cache: PromptCache, capacityTokens: number): void {
  for (const [id, tokens] of cache.parts) {
    if (cache.tokens <= capacityTokens) return;
    cache.parts.delete(id);
    cache.tokens -= tokens;
  }
}
