/**
 * Probes whether a process is listening at a server's address. A refusal counts only if peers do not
 * reach the server either, or nobody can tell and this box's own links are up.
 */
import type { ProbeOutcome } from '../types/event.js';
import { ConnectOutcome, LinkState } from '../types/serverLink.js';
import type { HostPort } from '../types/server.js';
import { CONNECT_TIMEOUT_MS } from './daemonTimes.js';
import { openSocket, type OpenedSocket, type ServerSocket } from './openSocket.js';
import { startTimeLimit } from './timeLimit.js';

/** Time for which a connection has to stay open, in ms: a port forwarder whose target is gone accepts a connection and closes it immediately. */
const MIN_OPEN_MS = 30;

/** Opens a connection through a peer and reports how that ended. */
export type PeerProbe = (report: (result: OpenedSocket) => void) => void;

/** Others that can tell, and whether this box can. */
export interface ProbeParams {
  peerProbes: readonly PeerProbe[];
  checkLinks: () => Promise<LinkState>;
}

/** Opens connections and closes them shortly afterwards; the promise never rejects. */
export async function probeServer(
  address: HostPort,
  { peerProbes, checkLinks }: ProbeParams,
): Promise<ProbeOutcome> {
  const own = await outcomeOf((report) => openSocket(address, CONNECT_TIMEOUT_MS, report));
  if (own !== 'refused') return own === 'accepted' ? 'accepted' : 'silent';
  const told: Outcome[] = [];
  for (const probe of peerProbes) {
    const outcome = await outcomeOf(probe);
    if (outcome === 'accepted') return outcome;
    if (outcome !== ConnectOutcome.unavailable) told.push(outcome);
  }
  if (told.length === 0 && (await checkLinks()) === LinkState.down) return 'silent';
  const isOnlySilent = told.length > 0 && told.every((outcome) => outcome === 'silent');
  return isOnlySilent ? 'silent' : own;
}

type Outcome = ProbeOutcome | typeof ConnectOutcome.unavailable;

async function outcomeOf(open: PeerProbe): Promise<Outcome> {
  const result = await new Promise<OpenedSocket>(open);
  if (result.outcome !== ConnectOutcome.opened) return result.outcome;
  return (await staysOpen(result.socket)) ? 'accepted' : 'refused';
}

function staysOpen(socket: ServerSocket): Promise<boolean> {
  return new Promise((resolve) => {
    const end = (isOpen: boolean): void => {
      limit.cancel();
      socket.destroy();
      resolve(isOpen);
    };
    const limit = startTimeLimit(MIN_OPEN_MS, () => end(true));
    socket.once('end', () => end(false));
    socket.once('error', () => end(false));
    socket.resume();
  });
}
