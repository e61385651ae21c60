import { expect } from 'chai';
import { createServingBox, peerMessage, server } from '../../../__tests__/__fixtures__/box.js';
import { encodeDatagram } from '../../../daemon/peerWire.js';
import type { RegistryGossip } from '../../../types/peer.js';
import type { ServerEntry } from '../../../types/server.js';
import { registryGossip } from '../registryGossip.js';

/** Size of changes in a datagram, in bytes: half of the largest, as loads and sums fill the rest. */
const MAX_BYTES = 32_000;

/** Returns what a hub announces after changes of the registry. */
function gossipAfter(entries: readonly ServerEntry[]): RegistryGossip {
  const box = createServingBox();
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: false, changes, revision: 9, source: 'store' });
  return registryGossip(box.state, box.nowMs);
}

test('changes of entries with long texts do not make a datagram too large to be sent', () => {
  const many = (changes: Partial<ServerEntry>): ServerEntry[] =>
    Array.from({ length: 90 }, (_, index) => server(`records-${index}x`, changes));
  const cases = [
    [server('long', { zone: 'z'.repeat(66_000) })],
    many({ zone: 'z'.repeat(1000) }),
    many({ version: '\u6f22'.repeat(400) }),
    many({ service: 's'.repeat(200), zone: 'z'.repeat(200), version: 'v'.repeat(200) }),
  ];
  for (const entries of cases) {
    const registry = gossipAfter(entries);
    expect(encodeDatagram(peerMessage({ registry })).length).to.be.below(MAX_BYTES);
  }
});

test('the changes that a hub announces are the latest ones, without a gap', () => {
  const entries = Array.from({ length: 90 }, (_, index) => {
    const zone = 'z'.repeat(index === 30 ? 66_000 : 10);
    return server(`records-${index}x`, { zone });
  });
  const { changes, lastNumber } = gossipAfter(entries);
  const numbers = changes.map(({ number }) => number);
  expect(numbers).to.deep.equal(Array.from({ length: 59 }, (_, index) => lastNumber - 58 + index));
});
