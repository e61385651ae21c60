import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { createRequestBudget } from '../bufferBudget.js';
import { createCallerServer } from '../callerServer.js';

const ROOM_BYTES = 1000;

test('a request body that finds no room is refused with 503 and not passed on, and room that was used is free again', async () => {
  let passedOn = 0;
  const { server } = createCallerServer({
    onRequest: ({ response }) => {
      passedOn += 1;
      response.end('served');
    },
    onCallerGone: () => undefined,
    onRejected: () => undefined,
    shutdownHeaders: () => [],
    noRoomHeaders: () => ['Retry-After', '1'],
    requestBudget: createRequestBudget(ROOM_BYTES),
    limits: () => undefined,
    isShuttingDown: () => false,
    onConnection: () => undefined,
    onConnectionClosed: () => undefined,
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const post = async (bytes: number): Promise<Response> => {
    const body = 'x'.repeat(bytes);
    return fetch(`http://127.0.0.1:${port}/a`, { method: 'POST', body });
  };
  for (let call = 0; call < 5; call += 1) {
    expect((await post(ROOM_BYTES)).status).to.equal(200);
    const refusal = await post(ROOM_BYTES + 1);
    expect([refusal.status, refusal.headers.get('retry-after')]).to.deep.equal([503, '1']);
  }
  expect(passedOn).to.equal(5);
  server.closeAllConnections();
  server.close();
});
