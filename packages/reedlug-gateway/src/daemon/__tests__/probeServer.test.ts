import { createServer, type Server } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { probeServer } from '../probeServer.js';

async function listen(server: Server): Promise<{ host: string; port: number }> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
}

test('a port that accepts connections is distinguished from one that refuses them', async () => {
  const server = createServer((socket) => socket.on('error', () => undefined));
  const address = await listen(server);
  expect(await probeServer(address)).to.equal('accepted');
  await new Promise((resolve) => server.close(resolve));
  expect(await probeServer(address)).to.equal('refused');
});

test('a forwarder that closes the connection immediately counts as refused', async () => {
  const server = createServer((socket) => socket.resetAndDestroy());
  expect(await probeServer(await listen(server))).to.equal('refused');
  server.close();
});
