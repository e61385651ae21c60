/** Probes whether a process is listening at a server's address. */
import { connect } from 'node:net';
import type { ProbeOutcome } from '../types/event.js';
import type { HostPort } from '../types/server.js';
import { CONNECT_TIMEOUT_MS } from './daemonTimes.js';

/** Time for which a connection has to stay open, in ms: a port forwarder whose target is gone accepts a connection and closes it immediately. */
const MIN_OPEN_MS = 30;

/** Errors that mean that the host is up but nothing is listening; a network partition or a host that is down causes others. */
const REFUSAL_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET', 'EPIPE']);

/** Opens a connection and closes it shortly afterwards; the promise never rejects. */
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
