/** Error of a connection to a server that did not come up. */
import { CONNECTION_REFUSED_REASON, ConnectOutcome } from '../types/serverLink.js';

/** Reasons for the logs. */
const REASONS = {
  [ConnectOutcome.refused]: CONNECTION_REFUSED_REASON,
  [ConnectOutcome.silent]: 'connectTimeout',
  [ConnectOutcome.unavailable]: 'serverUnreached',
} as const;

/** No connection to the server came up; the code is the reason for the logs. */
export class ServerUnreachedError extends Error {
  readonly code: string;

  constructor(outcome: Exclude<ConnectOutcome, 'opened'>) {
    super(`no connection to the server: ${outcome}`);
    this.code = REASONS[outcome];
  }
}
