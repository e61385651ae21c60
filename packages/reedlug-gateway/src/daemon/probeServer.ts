/** Whether anything listens where a server was. */
import { connect } from 'node:net';
import type { ProbeOutcome } from '../types/event.js';
import type { HostPort } from '../types/server.js';
import { CONNECT_TIMEOUT_MS } from './daemonTimes.js';

/** How long a connection has to stay open, in ms: before a process that is gone, a forwarder accepts and closes at once. */
const MIN_OPEN_MS = 30;

/** Errors by which a host says that nothing is there; a cut or a host that is down says others. */
const REFUSAL_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET', 'EPIPE']);

/** Opens a connection and closes it after a moment; resolves in any case. */
export function probeServer({ host, port }: HostPort): Promise<ProbeOutcome> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (outcome: ProbeOutcome): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(outcome);
    };
    let timer = setTimeout(() => end('silent'), CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      clearTimeout(timer);
      timer = setTimeout(() => end('accepted'), MIN_OPEN_MS);
    });
    socket.once('end', () => end('refused'));
    socket.once('error', ({ code }: NodeJS.ErrnoException) => {
      end(REFUSAL_ERROR_CODES.has(code ?? '') ? 'refused' : 'silent');
    });
    socket.resume();
  });
}
