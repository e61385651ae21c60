import { createServer, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { createServingBox, server } from '../../__tests__/__fixtures__/box.js';
import { LinkState, type ConnectionTry } from '../../types/serverLink.js';
import { createLinkChecker } from '../linkChecker.js';

const LOOPBACK = '127.0.0.1';
/** Port at which nothing listens. */
const REFUSED_PORT = 1;

/** Returns a checker of a box with a server at each port. */
function checkerFor(ports: readonly number[]) {
  const box = createServingBox();
  const changes = ports.map((port, index) => {
    const entry = server(`s-${index}`, { address: { host: LOOPBACK, port } });
    return { id: entry.id, entry };
  });
  box.take({ type: 'serversRead', whole: true, changes, revision: 2, source: 'store' });
  const tries: ConnectionTry[] = [];
  const checker = createLinkChecker({
    state: box.state,
    onTried: (attempt) => tries.push(attempt),
  });
  return { box, tries, checker };
}

test('links are up if one of two servers accepts a connection, and down if none does', async () => {
  const listener = createServer((socket) => socket.on('error', () => undefined));
  await new Promise<void>((resolve) => listener.listen(0, LOOPBACK, resolve));
  const { port } = listener.address() as AddressInfo;
  const half = checkerFor([REFUSED_PORT, port]);
  expect(await half.checker.check({ sinceMs: 0 })).to.equal(LinkState.up);
  const none = checkerFor([REFUSED_PORT, REFUSED_PORT]);
  expect(await none.checker.check({ sinceMs: 0 })).to.equal(LinkState.down);
  expect(none.tries.map(({ outcome }) => outcome)).to.deep.equal(['refused', 'refused']);
  listener.close();
});

test('a box without another server can not tell whether its links are up', async () => {
  const { checker, tries } = checkerFor([REFUSED_PORT]);
  const state = await checker.check({ sinceMs: 0, exceptServerId: 's-0' });
  expect(state).to.equal(LinkState.unknown);
  expect(tries).to.deep.equal([]);
});

test('a connection that came up since needs no check, and checks at one time are one', async () => {
  const { box, checker, tries } = checkerFor([REFUSED_PORT, REFUSED_PORT]);
  await Promise.all([checker.check({ sinceMs: 0 }), checker.check({ sinceMs: 0 })]);
  expect(tries.length).to.equal(2);
  box.state.serverLinks.openedAtMs = 100;
  expect(await checker.check({ sinceMs: 100 })).to.equal(LinkState.up);
  expect(tries.length).to.equal(2);
});

test('a check that throws does not stand in the way of the next one', async () => {
  const { box, checker } = checkerFor([REFUSED_PORT, REFUSED_PORT]);
  const { servers } = box.state;
  box.state.servers = undefined as never;
  const failed = await checker.check({ sinceMs: 0 }).catch((error: Error) => error);
  expect(failed).to.be.instanceOf(Error);
  box.state.servers = servers;
  expect(await checker.check({ sinceMs: 0 })).to.equal(LinkState.down);
});
