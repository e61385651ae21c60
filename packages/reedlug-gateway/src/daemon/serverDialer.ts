/** Opens connections to servers and reports how each attempt ended. */
import type { Socket } from 'node:net';
import { ConnectOutcome, type ConnectionTry } from '../types/serverLink.js';
import type { HostPort } from '../types/server.js';
import { CONNECT_TIMEOUT_MS } from './daemonTimes.js';
import { openSocket } from './openSocket.js';

/** A server to connect to, and the request for which it is done. */
export interface DialTarget {
  serverId: string;
  address: HostPort;
  requestId: string;
}

/** Opens connections to servers. */
export interface ServerDialer {
  /** Calls back once, with a socket or the reason why none came up. */
  dial: (target: DialTarget, callback: DialCallback) => void;
}

/** Receives an open connection, or the error. */
export type DialCallback = (...result: [null, Socket] | [ServerUnreachedError, null]) => void;

/** No connection to the server came up. */
export class ServerUnreachedError extends Error {
  readonly code: string;

  constructor(outcome: Exclude<ConnectOutcome, 'opened'>) {
    super(`no connection to the server: ${outcome}`);
    this.code = REASONS[outcome];
  }
}

const REASONS = {
  [ConnectOutcome.refused]: 'connectionRefused',
  [ConnectOutcome.silent]: 'connectTimeout',
  [ConnectOutcome.unavailable]: 'serverUnreached',
} as const;

/** Creates a dialer. */
export function createServerDialer(onTried: (attempt: ConnectionTry) => void): ServerDialer {
  return {
    dial(target, callback) {
      openSocket(target.address, CONNECT_TIMEOUT_MS, (result) => {
        const { outcome, tookMs } = result;
        onTried({ ...target, path: { kind: 'direct' }, outcome, tookMs });
        if (result.outcome === ConnectOutcome.opened) callback(null, result.socket);
        else callback(new ServerUnreachedError(result.outcome), null);
      });
    },
  };
}
