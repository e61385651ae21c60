/**
 * Precedence over the units of a limit of streams that have begun.
 *
 * Answers a loss of all boxes: callers take up the streams that were under way while new requests arrive, and
 * the boxes have few units, as they count the bursts of their predecessors as sent. A caller loses what it has
 * received of a stream that is refused, so such a stream goes before a new request where the units do not
 * suffice for both. Precedence only withholds units from new requests and never adds any, so the limit is kept.
 */

/** What a request needs of its workspace's limit. */
export interface NeededUnits {
  workspace: string;
  units: number;
  /** Whether its caller has events of the stream already. */
  hasBegun: boolean;
}

/** Returns the units of a workspace that waiting requests need whose streams have begun. */
export function unitsForBegun(waiting: readonly NeededUnits[], workspace: string): number {
  let sum = 0;
  for (const needed of waiting) {
    if (needed.hasBegun && needed.workspace === workspace) sum += needed.units;
  }
  return sum;
}

/** Returns the units of this box that a request leaves to streams that have begun. */
export function unitsWithheldFrom(
  { workspace, hasBegun }: Pick<NeededUnits, 'workspace' | 'hasBegun'>,
  params: {
    waiting: readonly NeededUnits[];
    /** Units kept for begun streams that are expected to arrive. */
    keptUnits: number;
  },
): number {
  if (hasBegun) return 0;
  return Math.max(unitsForBegun(params.waiting, workspace), params.keptUnits);
}

/** Returns requests in the order in which they get units: those whose streams have begun first, else as they came. */
export function begunFirst<Item>(
  items: readonly Item[],
  hasBegun: (item: Item) => boolean,
): readonly Item[] {
  return [...items.filter(hasBegun), ...items.filter((item) => !hasBegun(item))];
}
