import { expect } from 'chai';
import { createServingBox, peerMessage } from '../../../__tests__/__fixtures__/box.js';
import { encodeDatagram } from '../../../daemon/peerWire.js';
import { rolloutGossip } from '../rollouts.js';

/** Size of the orders in a datagram, in bytes: half of the largest one. */
const MAX_BYTES = 32_000;

test('hundreds of orders for unknown services do not make gossip too large, nor hide the one of a service', () => {
  const box = createServingBox();
  const order = { targetVersion: 'v2', durationMs: 60_000 };
  box.take({ type: 'rolloutOrdered', order: { ...order, service: 'engines', revision: 10 } });
  for (let revision = 11; revision < 600; revision += 1) {
    const service = `${'s'.repeat(50)}${revision}`;
    box.take({ type: 'rolloutOrdered', order: { ...order, service, revision } });
  }
  const rollouts = rolloutGossip(box.state, box.nowMs, []);
  expect(encodeDatagram(peerMessage({ rollouts })).length).to.be.below(MAX_BYTES);
  const services = rollouts.map(({ order: { service } }) => service);
  expect(services)
    .to.include('engines')
    .and.to.include(`${'s'.repeat(50)}599`);
});
