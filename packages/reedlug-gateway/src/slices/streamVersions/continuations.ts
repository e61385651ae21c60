/**
 * Answers that go on with a stream. The server that answers may have begun its next life, with another version, after
 * this box last read its entry. It writes its new entry before it accepts requests, so the registry, read after the
 * answer has begun, tells.
 */
import type { GatewayState } from '../../state.js';

/** Returns whether the registry has to be read before the first event of an attempt's answer is relayed. */
export function mustConfirmServer(state: GatewayState, exchangeId: number): boolean {
  return state.requests.get(exchangeId)?.beganAtVersion !== undefined;
}
