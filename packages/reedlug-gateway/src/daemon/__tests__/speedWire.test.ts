import { expect } from 'chai';
import fc from 'fast-check';
import { peerMessage } from '../../__tests__/__fixtures__/box.js';
import type { PeerMessage } from '../../types/peer.js';
import type { SpeedGossip } from '../../types/serverSpeed.js';
import { decodeDatagram, decoder, encodeDatagram, encoder } from '../peerWire.js';

const SPEED: SpeedGossip = {
  serverId: 'engine-1',
  bornAtMs: 1_700_000_000_123,
  sums: { evenExpectedMs: 1200, evenObservedMs: 900, oddExpectedMs: 800, oddObservedMs: 650 },
};

function speedsAfter(speedRows: unknown): PeerMessage['speeds'] {
  const decoded = decodeDatagram(encoder.encode({ ...peerMessage(), speedRows }));
  return decoded?.kind === 'news' ? decoded.speeds : undefined;
}

test('sums of speeds survive the wire as rows', () => {
  const speeds = [SPEED, { ...SPEED, serverId: 'engine-2', bornAtMs: undefined }];
  const decoded = decodeDatagram(encodeDatagram(peerMessage({ speeds })));
  expect(decoded?.kind === 'news' && decoded.speeds).to.deep.equal(speeds);
});

test('a message without sums has neither rows nor an empty field, as before', () => {
  const bytes = encodeDatagram(peerMessage());
  expect(decoder.decode(bytes)).not.to.have.any.keys('speeds', 'speedRows');
  expect(decodeDatagram(bytes)).not.to.have.property('speeds');
});

test('malformed rows are dropped and the others kept', () => {
  const good = ['engine-1', 5, 1, 2, 3, 4];
  const bad = [
    ['engine-1', 5, 1, 2, 3],
    ['engine-1', 5, 1, 2, 3, 4, 5],
    ['', 5, 1, 2, 3, 4],
    ['x'.repeat(300), 5, 1, 2, 3, 4],
    [7, 5, 1, 2, 3, 4],
    ['engine-1', Number.NaN, 1, 2, 3, 4],
    ['engine-1', 5, -1, 2, 3, 4],
    ['engine-1', 5, 1, Number.POSITIVE_INFINITY, 3, 4],
    ['engine-1', 5, 1, 2, 1e12, 4],
    'engine-1',
    null,
  ];
  expect(speedsAfter([...bad, good])).to.have.length(1);
  expect(speedsAfter('rows')).to.equal(undefined);
  expect(speedsAfter(Array<unknown>(5000).fill(good))).to.have.length(256);
});

test('whatever stands for the rows, the message is accepted with valid sums only', () => {
  fc.assert(
    fc.property(fc.anything(), (rows) => {
      for (const { sums } of speedsAfter(rows) ?? []) {
        for (const value of Object.values(sums)) expect(value).to.be.within(0, 1e8);
      }
    }),
    { numRuns: 500 },
  );
});

test('a datagram with the loads of 3,000 servers and the most rows stays below 64 KB', () => {
  const ids = Array.from({ length: 3000 }, (_, index) => `server-${1000 + index}`);
  const loads = Object.fromEntries(
    ids.map((id) => [id, { running: 9, prefillTokens: 0, unread: 0 }]),
  );
  const speeds = ids.slice(0, 256).map((serverId) => ({ ...SPEED, serverId }));
  const withoutRows = encodeDatagram(peerMessage({ loads })).length;
  const withRows = encodeDatagram(peerMessage({ loads, speeds })).length;
  expect(withRows - withoutRows).to.be.below(12_000);
  expect(withRows).to.be.below(65_000);
});
