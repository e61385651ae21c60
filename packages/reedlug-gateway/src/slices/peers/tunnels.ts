/** Connections to servers that this box opens for peers that can't reach them. */
import type { INTERNAL_FAULT_REASON } from '../../types/request.js';
import { isTooLateToConnect } from '../lifecycle/shutdown.js';
import { isCutOff, isLinkHanging } from '../../policy/connectPlan.js';
import { log, type GatewayState, type Step } from '../../state.js';
import type { EventOf } from '../../types/event.js';
import type { HostPort } from '../../types/server.js';

/** Whether a peer is connected to a server, or why it is not. */
export type TunnelDecision =
  | { kind: 'connect'; address: HostPort }
  | {
      kind: 'refuse';
      reason:
        | 'switchedOff'
        | typeof INTERNAL_FAULT_REASON
        | 'unknownBox'
        | 'otherAddress'
        | 'unknownServer'
        | 'stopping'
        | 'cutOff'
        | 'linkDown'
        | 'full';
    };

/** Decides on a peer's request to connect it to a server, while `connecting` other connections are on their way. */
export function decideTunnel(
  state: GatewayState,
  request: { serverId: string; boxId: string; fromHost: string; connecting: number },
  nowMs: number,
): TunnelDecision {
  const { serverId, boxId, fromHost, connecting } = request;
  const { areUsed, maxTunnels } = state.settings.tunnels;
  const view = state.servers.get(serverId);
  if (!areUsed) return { kind: 'refuse', reason: 'switchedOff' };
  const peer = state.peers.get(boxId);
  if (peer === undefined) return { kind: 'refuse', reason: 'unknownBox' };
  if (peer.address.host !== fromHost) return { kind: 'refuse', reason: 'otherAddress' };
  if (view === undefined) return { kind: 'refuse', reason: 'unknownServer' };
  if (isTooLateToConnect(state, nowMs)) return { kind: 'refuse', reason: 'stopping' };
  if (isCutOff(state.serverLinks)) return { kind: 'refuse', reason: 'cutOff' };
  if (isLinkHanging(view.link, nowMs)) return { kind: 'refuse', reason: 'linkDown' };
  if (state.openTunnels + connecting >= maxTunnels) return { kind: 'refuse', reason: 'full' };
  return { kind: 'connect', address: view.entry.address };
}

/** Records the outcome of a peer's request, and the end of a tunnel. */
export function onTunnel(
  state: GatewayState,
  step: Step,
  event: EventOf<'tunnelRefused' | 'tunnelOpened' | 'tunnelClosed'>,
): void {
  const { serverId: server, boxId: peer, requestId: request } = event;
  const fields = { server, peer, request };
  switch (event.type) {
    case 'tunnelRefused':
      return log(step, 'tunnelRefused', { ...fields, reason: event.reason });
    case 'tunnelOpened':
      state.openTunnels += 1;
      return log(step, 'tunnelOpened', {
        ...fields,
        tookMs: Math.round(event.tookMs),
        open: state.openTunnels,
      });
    case 'tunnelClosed':
      state.openTunnels -= 1;
      return log(step, 'tunnelClosed', {
        ...fields,
        bytes: event.bytes,
        openMs: Math.round(event.openMs),
      });
  }
}
