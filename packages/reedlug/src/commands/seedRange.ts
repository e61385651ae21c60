/** Ranges of seeds on the command line. */

/** Seeds from `first` to `last`, both included. */
export interface SeedRange {
  first: number;
  last: number;
}

/** Parses a seed such as `7` or a range such as `1-500`. Returns undefined for other text. */
export function parseSeedRange(text: string): SeedRange | undefined {
  const match = /^(\d{1,9})(?:-(\d{1,9}))?$/.exec(text);
  if (match === null) return undefined;
  const first = Number(match[1]);
  const last = Number(match[2] ?? match[1]);
  return last >= first ? { first, last } : undefined;
}
