import { expect } from 'chai';
import {
  createServingBox,
  peerMessage,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import { ConnectOutcome } from '../../../types/serverLink.js';
import { decideTunnel, type TunnelDecision } from '../tunnels.js';

function serverIdOf({ state }: TestBox): string {
  return [...state.servers.keys()][0] ?? '';
}

/** Address of the peer in the tests. */
const PEER_HOST = '127.0.0.2';

function decide(
  box: TestBox,
  { serverId = serverIdOf(box), boxId = 'box-2', fromHost = PEER_HOST } = {},
): TunnelDecision {
  return decideTunnel(box.state, { serverId, boxId, fromHost, connecting: 0 }, 2000);
}

function boxWithPeer(): TestBox {
  const box = createServingBox();
  box.take({ type: 'peerMessage', message: peerMessage() });
  return box;
}

test('a known box is connected to a server of the registry, at the address there', () => {
  const box = boxWithPeer();
  const address = box.state.servers.get(serverIdOf(box))?.entry.address;
  expect(decide(box)).to.deep.equal({ kind: 'connect', address });
});

test('neither a server outside the registry nor an unknown box is connected', () => {
  const box = boxWithPeer();
  expect(decide(box, { serverId: '127.0.0.1:80' })).to.deep.include({ reason: 'unknownServer' });
  expect(decide(box, { boxId: 'box-9' })).to.deep.include({ reason: 'unknownBox' });
});

test('who names a known box from another address is not connected', () => {
  expect(decide(boxWithPeer(), { fromHost: '127.0.0.8' })).to.deep.include({
    reason: 'otherAddress',
  });
});

test('a box with as many tunnels as it may have opens no more', () => {
  const box = boxWithPeer();
  box.state.openTunnels = box.state.settings.tunnels.maxTunnels;
  expect(decide(box)).to.deep.include({ reason: 'full' });
  box.state.openTunnels -= 1;
  expect(decide(box).kind).to.equal('connect');
  const request = { serverId: serverIdOf(box), boxId: 'box-2', fromHost: PEER_HOST, connecting: 1 };
  expect(decideTunnel(box.state, request, 2000)).to.deep.include({ reason: 'full' });
});

test('a box whose own connection to the server hangs says so at once', () => {
  const box = boxWithPeer();
  const serverId = serverIdOf(box);
  const address = box.state.servers.get(serverId)?.entry.address ?? { host: '', port: 0 };
  const path = { kind: 'direct' as const };
  const outcome = ConnectOutcome.silent;
  const attempt = { serverId, address, path, outcome, tookMs: 400, requestId: 'r1' };
  box.take({ type: 'connectionTried', attempt });
  const { triedAtMs = 0 } = box.state.servers.get(serverId)?.link ?? {};
  const request = { serverId, boxId: 'box-2', fromHost: PEER_HOST, connecting: 0 };
  expect(decideTunnel(box.state, request, triedAtMs + 100)).to.deep.include({ reason: 'linkDown' });
  expect(decideTunnel(box.state, request, triedAtMs + 600).kind).to.equal('connect');
});
