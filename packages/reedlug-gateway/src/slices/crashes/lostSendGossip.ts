/** Queue of the lost sends that other boxes are still to learn of. */
import type { GatewayState } from '../../state.js';
import type { LostSend } from '../../types/crashSuspect.js';

/** Maximum number of lost sends that wait for gossip: some ticks of a large crash. */
const MAX_LOST_SENDS_DUE = 1024;
/** Maximum length of the keys in one message, in characters, so that it stays far below the maximum size of a datagram. */
const MAX_KEY_CHARACTERS_PER_MESSAGE = 16_384;

/** Adds a lost send; the oldest ones are dropped above the maximum number. */
export function addLostSendToGossip({ lostSendsDue }: GatewayState, send: LostSend): void {
  lostSendsDue.push(send);
  if (lostSendsDue.length > MAX_LOST_SENDS_DUE) lostSendsDue.shift();
}

/** Removes and returns the lost sends that fit in the next message, at least one if there is any. */
export function takeLostSends({ lostSendsDue }: GatewayState): LostSend[] {
  let characters = 0;
  let count = 0;
  for (const { keys } of lostSendsDue) {
    characters += keys.reduce((sum, key) => sum + key.length, 0);
    if (count > 0 && characters > MAX_KEY_CHARACTERS_PER_MESSAGE) break;
    count += 1;
  }
  return lostSendsDue.splice(0, count);
}
