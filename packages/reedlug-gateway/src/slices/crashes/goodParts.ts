/**
 * The parts of prompts that ran well at this box lately: a crash then leaves those as suspects that
 * nobody has seen run well.
 */
import type { GatewayState } from '../../state.js';
import type { RequestRecord } from '../../types/request.js';
import { partKey } from './suspectKeys.js';

/** Maximum number of parts that are remembered, the latest ones. */
const MAX_GOOD_PARTS = 1024;
/** Maximum number of parts of one prompt that are remembered: the first ones are shared most. */
const MAX_GOOD_PARTS_PER_PROMPT = 8;

/** Returns the keys of a request's parts that are remembered. */
export function goodPartKeys({ service, facts }: RequestRecord): string[] {
  const count = Math.min(facts.promptParts.length - 1, MAX_GOOD_PARTS_PER_PROMPT);
  return facts.promptParts.slice(0, Math.max(0, count)).map(({ id }) => partKey(service, id));
}

/** Remembers that a run of a request whose parts have these keys went well. */
export function rememberGoodParts(
  { goodParts }: GatewayState,
  keys: readonly string[],
  nowMs: number,
): void {
  for (const key of keys) {
    goodParts.delete(key);
    goodParts.set(key, nowMs);
  }
  for (const key of goodParts.keys()) {
    if (goodParts.size <= MAX_GOOD_PARTS) return;
    goodParts.delete(key);
  }
}
