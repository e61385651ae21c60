import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import { configuration } from '../../__tests__/__fixtures__/box.js';
import type { GatewayDaemon } from '../gatewayDaemon.js';
import { startDaemonFleet, type DaemonFleet } from './__fixtures__/daemonFleet.js';
import { largeConfiguration } from './__fixtures__/largeConfiguration.js';
import { openSlowLink, type SlowLink } from './__fixtures__/slowLink.js';

const MEMBERS = 24;
const LINK_MEGABIT_PER_SECOND = 10;
/** The users' bound on the time until a version is in force at all boxes, in ms. */
const CONFIGURATION_MS = 3000;
/** Silence of a hub after which its members choose another one, in ms. */
const HUB_SILENT_AFTER_MS = 700;
/** Time in which all boxes have found their hub and received its gossip, in ms. */
const SETTLE_MS = 4000;

const versionOf = ({ state }: GatewayDaemon): number => state.active?.configuration.version ?? 0;

/** Waits until all members have a version, and returns the time that it took; undefined after `limitMs`. */
async function timeUntilInForce(
  { members }: DaemonFleet,
  version: number,
  limitMs: number,
  onStep: () => void = () => undefined,
): Promise<number | undefined> {
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < limitMs) {
    onStep();
    if (members.every((member) => versionOf(member) >= version)) {
      return performance.now() - startedAtMs;
    }
    await delay(20);
  }
  return undefined;
}

/** Writes the figures of a run and a summary of the boxes' log lines. */
function printFigures(fleet: DaemonFleet, figures: object): void {
  const ofKind = (kind: string) => fleet.lines.filter(({ event }) => event === kind);
  const received = ofKind('configurationReceived').map(({ fields }) => fields);
  const sources = ofKind('configurationInForce').map(({ fields }) => fields['source']);
  const perSource = { store: 0, peer: 0 };
  for (const source of sources) perSource[source as 'store' | 'peer'] += 1;
  const tries = received.map((fields) => Number(fields['tries']));
  const receivedMs = received.map((fields) => Number(fields['tookMs'])).sort((a, b) => a - b);
  const encoded = ofKind('configurationEncoded').map(({ fields }) => fields);
  const failed = ofKind('configurationTransferFailed').map(({ fields }) => fields);
  const all = { ...figures, perSource, tries, receivedMs, encoded, failed };
  process.stdout.write(`${JSON.stringify(all)}\n`);
}

/** Runs a test with 24 members of a hub behind a slow link. */
async function withSlowHub(
  use: (fleet: DaemonFleet, link: SlowLink) => Promise<void>,
): Promise<void> {
  const link = openSlowLink('127.0.1.1', LINK_MEGABIT_PER_SECOND);
  const fleet = await startDaemonFleet({ members: MEMBERS, configuration: configuration() });
  try {
    await delay(SETTLE_MS);
    for (const { state } of fleet.members) expect(state.hubId).to.equal('box-0');
    await use(fleet, link);
  } finally {
    await fleet.close();
    link.close();
  }
}

test('2,000 routes are in force at 24 members of a hub behind 10 Mbit/s in time, with gossip arriving and the hub unchanged', () =>
  withSlowHub(async (fleet, link) => {
    const firstLine = fleet.lines.length;
    const sentBefore = link.sentBytes();
    let longestSilenceMs = 0;
    const observeSilence = (): void => {
      for (const { state } of fleet.members) {
        const hub = state.peers.get('box-0');
        longestSilenceMs = Math.max(
          longestSilenceMs,
          performance.now() - (hub?.lastReceivedAtMs ?? 0),
        );
      }
    };
    fleet.putConfiguration(largeConfiguration(2, 2000));
    fleet.drainServer('records-7');
    const tookMs = await timeUntilInForce(fleet, 2, CONFIGURATION_MS, observeSilence);
    const hubs = fleet.lines.slice(firstLine).filter(({ event }) => event === 'hubTaken');
    if (process.env['TRANSFER_FIGURES'] !== undefined) {
      const sentBytes = link.sentBytes() - sentBefore;
      const silenceMs = Math.round(longestSilenceMs);
      printFigures(fleet, { tookMs, sentBytes, silenceMs, hubs: hubs.length });
    }
    expect(tookMs, 'time until in force').to.be.a('number');
    for (const { state } of fleet.members) {
      expect(state.active?.configuration).to.deep.equal(fleet.hub.state.active?.configuration);
      expect(state.servers.get('records-7')?.entry.state).to.equal('leaving');
    }
    expect(hubs).to.deep.equal([]);
    expect(longestSilenceMs).to.be.below(HUB_SILENT_AFTER_MS);
  }));
