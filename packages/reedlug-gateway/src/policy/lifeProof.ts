/**
 * Decides whether a server still runs the life that its registry entry describes, without a read of the registry after its
 * answer began.
 *
 * A server writes its entry before it accepts connections. So a connection that was opened before the registry was last
 * known leads to the life of the entry, for as long as it lasts. What was known before the answer shows nothing else: a
 * server may come back under its id in the time of one round trip. It counts only while the store is away for all boxes,
 * as no server can then write the entry of a next life. A caller is served by another box a moment later, whereas events of
 * two versions can't be taken back.
 */

/** Longest time for which an answer of the registry is on its way, in ms: that after which a read is given up. */
export const MAX_ANSWER_DELAY_MS = 700;

/** What shows the life of a server. */
export const LifeProof = {
  /** The registry is known, by a poll or from another box, as of a time after the answer began. */
  registry: 'registry',
  /** The answer came on a connection that was open when the registry was last known. */
  connection: 'connection',
  /** Another attempt that was open then has delivered something since the answer began. */
  otherAttempt: 'otherAttempt',
  /** The entry was believed, and no server can have written one since. */
  storeAway: 'storeAway',
} as const;
export type LifeProof = (typeof LifeProof)[keyof typeof LifeProof];

/** What a box knows of the life of a server; times on the box's clock, in ms. */
export interface LifeEvidence {
  answerBegunAtMs: number;
  /** Time up to which the box knows the registry. */
  registryKnownAtMs: number;
  /** Since when the connection of the answer is open; undefined if that is not known. */
  connectedAtMs: number | undefined;
  /** Other attempts that are open at the server: when each first and last delivered something. */
  otherAttempts: readonly { firstOutputAtMs: number; lastOutputAtMs: number }[];
  /** Whether the entry was believed when the store last answered. */
  wasBelieved: boolean;
  isStoreAway: boolean;
}

/** Returns what shows that the server runs the life of its entry, or undefined if nothing does. */
export function lifeProof(evidence: LifeEvidence): LifeProof | undefined {
  const { answerBegunAtMs, registryKnownAtMs, connectedAtMs, otherAttempts } = evidence;
  const shownAtMs = registryKnownAtMs - MAX_ANSWER_DELAY_MS;
  if (shownAtMs >= answerBegunAtMs) return LifeProof.registry;
  if (connectedAtMs !== undefined && connectedAtMs <= shownAtMs) return LifeProof.connection;
  const isBesideOther = otherAttempts.some(
    ({ firstOutputAtMs, lastOutputAtMs }) =>
      firstOutputAtMs <= shownAtMs && lastOutputAtMs >= answerBegunAtMs,
  );
  if (isBesideOther) return LifeProof.otherAttempt;
  return evidence.wasBelieved && evidence.isStoreAway ? LifeProof.storeAway : undefined;
}
