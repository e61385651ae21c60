/**
 * Decides which answers are given up when those that are buffered need more memory than there is.
 *
 * Answers the load of servers that send without end: each answer has a bound, but many at once exceed the memory of a
 * box and end all requests with it. The largest incomplete answer is the least likely to end in time and frees the
 * most, so few callers pay for it, and callers of other services keep their small answers. A complete answer is
 * never given up: its request has run, and only its caller has to read it.
 */

/** Answer that is buffered. */
export interface BufferedAnswer {
  bytes: number;
  isComplete: boolean;
}

/** Returns the answers to give up so that the others fit, the largest first. */
export function answersToGiveUp<A extends BufferedAnswer>(
  answers: Iterable<A>,
  maxBytes: number,
): A[] {
  const all = [...answers];
  let excessBytes = all.reduce((sum, { bytes }) => sum + bytes, 0) - maxBytes;
  const givenUp: A[] = [];
  const incomplete = all.filter(({ isComplete }) => !isComplete).sort((a, b) => b.bytes - a.bytes);
  for (const answer of incomplete) {
    if (excessBytes <= 0) break;
    excessBytes -= answer.bytes;
    givenUp.push(answer);
  }
  return givenUp;
}
