import { expect } from 'chai';
import {
  createServingBox,
  listBoxes,
  ofType,
  peerMessage,
  server,
} from '../../../__tests__/__fixtures__/box.js';
import { encodeDatagram } from '../../../daemon/peerWire.js';
import type { ServerStatementsMessage } from '../../../types/serverStatement.js';

/** Largest datagram that is sent, in bytes. */
const MAX_DATAGRAM_BYTES = 65_507;

test('statements of hundreds of servers with long ids are sent in datagrams that can be sent', () => {
  const box = createServingBox();
  const zone = 'zone-a';
  listBoxes(box, [{ boxId: 'box-2', host: '127.0.0.2', port: 7000, zone, processorCores: 1 }]);
  box.take({ type: 'peerMessage', message: peerMessage({ zone }) });
  box.pass(50);
  const ids = Array.from({ length: 700 }, (_, index) => `${'x'.repeat(190)}${index}`);
  const changes = ids.map((id) => ({ id, entry: server(id, { state: 'leaving' }) }));
  const read = { whole: false, changes, revision: 9, isLate: true };
  box.take({ type: 'serversRead', ...read, source: 'store' });
  const messages = ofType(box.pass(50), 'sendPeers')
    .map(({ message }) => message)
    .filter((message): message is ServerStatementsMessage => message.kind === 'serverStatements');
  const sizes = messages.map((message) => encodeDatagram(message).length);
  expect(Math.max(...sizes)).to.be.below(MAX_DATAGRAM_BYTES);
  const sent = messages.flatMap(({ statements }) => statements.map(({ serverId }) => serverId));
  expect(sent).to.deep.equal(ids);
});
