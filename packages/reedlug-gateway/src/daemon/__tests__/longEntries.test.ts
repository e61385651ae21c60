import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import { configuration, server } from '../../__tests__/__fixtures__/box.js';
import { startDaemonFleet } from './__fixtures__/daemonFleet.js';

/** Smallest number of members with which a fleet has hubs. */
const MEMBERS = 12;
/** Longest time in which members choose their hub, and in which they learn of an entry, in ms. */
const SETTLE_MS = 10_000;
const LEARN_MS = 3000;
const CHECK_INTERVAL_MS = 20;

async function waitUntil(condition: () => boolean, limitMs: number): Promise<boolean> {
  const endMs = performance.now() + limitMs;
  while (!condition() && performance.now() < endMs) await delay(CHECK_INTERVAL_MS);
  return condition();
}

test('an entry with a long text does not silence the hub that passes it on', async () => {
  const fleet = await startDaemonFleet({ members: MEMBERS, configuration: configuration() });
  const { members, lines } = fleet;
  const hasHub = (): boolean => members.every(({ state }) => state.hubId === 'box-0');
  expect(await waitUntil(hasHub, SETTLE_MS)).to.equal(true);
  const settled = lines.length;
  fleet.enterServers([server('long', { zone: 'z'.repeat(66_000) })]);
  const isKnown = (): boolean => members.every(({ state }) => state.servers.has('long'));
  expect(await waitUntil(isKnown, LEARN_MS)).to.equal(true);
  const faults = lines.slice(settled).filter(({ event }) => event === 'peerLinkFault');
  expect(faults).to.deep.equal([]);
  await fleet.close();
}).timeout(20_000);
