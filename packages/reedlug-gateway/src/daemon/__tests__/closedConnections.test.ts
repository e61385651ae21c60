import { once } from 'node:events';
import { connect, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { createRequestBudget } from '../bufferBudget.js';
import { createCallerServer, setClosesConnections } from '../callerServer.js';

test('an overloaded box closes new connections unread, and goes on with open ones', async () => {
  let closed = 0;
  const { server } = createCallerServer({
    onRequest: ({ response }) => response.end('served'),
    onCallerGone: () => undefined,
    onRejected: () => undefined,
    shutdownHeaders: () => [],
    noRoomHeaders: () => [],
    requestBudget: createRequestBudget(0),
    limits: () => undefined,
    isShuttingDown: () => false,
    onConnection: () => undefined,
    onConnectionClosed: () => (closed += 1),
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const accepted = once(server, 'connection');
  const open = connect(port, '127.0.0.1');
  await accepted;
  setClosesConnections(server, true);
  const late = connect(port, '127.0.0.1');
  late.resume();
  await once(late, 'close');
  expect(closed).to.equal(1);
  open.write('GET /a HTTP/1.1\r\nHost: a\r\n\r\n');
  const [chunk] = (await once(open, 'data')) as [Buffer];
  expect(chunk.toString()).to.include('200 OK');
  setClosesConnections(server, false);
  const next = connect(port, '127.0.0.1');
  next.write('GET /a HTTP/1.1\r\nHost: a\r\n\r\n');
  await once(next, 'data');
  open.destroy();
  next.destroy();
  server.close();
});
