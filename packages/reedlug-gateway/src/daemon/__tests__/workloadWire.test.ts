import { expect } from 'chai';
import { peerMessage } from '../../__tests__/__fixtures__/box.js';
import type { PeerMessage } from '../../types/peer.js';
import { decodeDatagram, encodeDatagram, encoder } from '../peerWire.js';

function received(message: PeerMessage): PeerMessage {
  const decoded = decodeDatagram(encodeDatagram(message));
  if (decoded?.kind !== 'news') throw new Error('no gossip');
  return decoded;
}

const ROW = { service: 'engines', workspace: 'tiger', requested: 700, admitted: 500 };

test('the work of workspaces arrives as it was sent', () => {
  expect(received(peerMessage({ workloads: [ROW] })).workloads).to.deep.equal([ROW]);
});

test('gossip of an older box has no work', () => {
  expect(received(peerMessage()).workloads).to.equal(undefined);
});

test('malformed rows are dropped, and nothing is admitted beyond what was requested', () => {
  const rows = [
    ['engines', 'tiger', 700, 900],
    ['engines', 'lion', -1, 0],
    ['engines', 'lynx', Number.POSITIVE_INFINITY, 0],
    ['engines', 'x'.repeat(300), 1, 1],
    ['engines', 7, 1, 1],
    ['engines', 'short'],
    'text',
  ];
  const bytes = encoder.encode({ ...peerMessage(), workloadRows: rows });
  const decoded = decodeDatagram(bytes);
  if (decoded?.kind !== 'news') throw new Error('no gossip');
  expect(decoded.workloads).to.deep.equal([{ ...ROW, admitted: 700 }]);
});

test('work that is not encoded as rows is dropped', () => {
  const bytes = encoder.encode({ ...peerMessage(), workloads: [ROW] });
  const decoded = decodeDatagram(bytes);
  expect(decoded?.kind === 'news' && decoded.workloads).to.equal(undefined);
});

test('64 rows take less than 4 KB, and further ones are ignored', () => {
  const workloads = Array.from({ length: 80 }, (_, index) => {
    return { service: 'engines', workspace: `workspace-${index}`, requested: 1e7, admitted: 9e6 };
  });
  const size = (rows: typeof workloads): number =>
    encodeDatagram(peerMessage({ workloads: rows })).length;
  expect(size(workloads.slice(0, 64)) - size([])).to.be.lessThan(4096);
  expect(received(peerMessage({ workloads })).workloads).to.have.length(64);
});
