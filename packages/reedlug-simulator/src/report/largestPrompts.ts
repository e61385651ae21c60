/** Outcomes of the largest prompts, whose targets only fast servers meet. */

/** A request with a prompt, and whether it was served in time. */
export interface PromptRecord {
  className: string;
  tokens: number;
  isInTime: boolean;
}

/** Share of the prompts that count as the largest ones. */
const LARGEST_SHARE = 0.1;

/** Returns the share of the largest tenth of prompts that was served in time; 1 without prompts. */
export function largestInTime(prompts: readonly PromptRecord[]): number {
  const count = Math.ceil(prompts.length * LARGEST_SHARE);
  const largest = [...prompts].sort((a, b) => b.tokens - a.tokens).slice(0, count);
  return count === 0 ? 1 : largest.filter(({ isInTime }) => isInTime).length / count;
}

/** Returns the share of the largest tenth served in time, for the prompts of each class alone. */
export function largestInTimeByClass(prompts: readonly PromptRecord[]): Record<string, number> {
  const names = [...new Set(prompts.map(({ className }) => className))];
  const inTimeOf = (name: string): number =>
    largestInTime(prompts.filter(({ className }) => className === name));
  return Object.fromEntries(names.map((name) => [name, inTimeOf(name)]));
}
