/** Whether anything listens where a server was. */
import { connect } from 'node:net';
import type { ProbeOutcome } from '../types/event.js';
import type { HostPort } from '../types/server.js';
import { CONNECT_TIMEOUT_MS } from './daemonTimes.js';

/** Opens a connection and closes it at once; resolves in any case. */
export function probeServer({ host, port }: HostPort): Promise<ProbeOutcome> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (outcome: ProbeOutcome): void => {
      socket.destroy();
      resolve(outcome);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => end('silent'));
    socket.once('connect', () => end('accepted'));
    socket.once('error', ({ code }: NodeJS.ErrnoException) => {
      end(code === 'ECONNREFUSED' ? 'refused' : 'silent');
    });
  });
}
