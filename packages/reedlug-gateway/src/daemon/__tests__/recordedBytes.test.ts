import { expect } from 'chai';
import {
  RECORDED_DATAGRAMS,
  RECORDED_SHARED_STATE,
} from '../../__tests__/__fixtures__/recordedBytes.js';
import { createBox } from '../../__tests__/__fixtures__/box.js';
import { eventsOfSharedState, type SharedState } from '../../slices/peers/sharedState.js';
import type { PeerDatagram } from '../../types/peer.js';
import { decodeDatagram, decoder, encodeDatagram } from '../peerWire.js';

const SUMS = {
  sends: 12,
  tokens: 4800,
  running: 30,
  waitMs: 900,
  tokensSquared: 2000000,
  tokensRunning: 14000,
  runningSquared: 90,
  tokensWait: 380000,
  runningWait: 2700,
  ended: 11,
  stayMs: 22000,
};
const ORDER = {
  service: 'engines',
  targetVersion: 'v2',
  durationMs: 60000,
  revision: 17,
};

/** What the recorded datagrams say. */
const MESSAGES: Readonly<Record<keyof typeof RECORDED_DATAGRAMS, PeerDatagram>> = {
  news: {
    kind: 'news',
    boxId: 'box-7',
    incarnation: 3,
    sequence: 41,
    scope: 'group',
    isProbe: false,
    boxes: 2,
    zone: 'zone-b',
    host: '127.0.0.7',
    port: 7100,
    processorCores: 1.5,
    configurationVersion: 4,
    serversRevision: 19,
    registry: {
      lastNumber: 8,
      changes: [
        {
          number: 7,
          id: 'e-1',
          entry: {
            id: 'e-1',
            service: 'engines',
            address: { host: '127.0.0.9', port: 9100 },
            zone: 'zone-a',
            slots: 16,
            state: 'leaving',
            reclaimable: true,
            leavesInMs: 1200,
            version: 'v2',
            bornAtMs: 1700000000000,
          },
        },
        { number: 8, id: 'e-2', entry: undefined },
      ],
    },
    storeEra: 2,
    storeContactAgeMs: 30,
    leaseHolder: { host: '127.0.0.8', port: 7200 },
    leaving: true,
    silentZones: ['zone-c'],
    loads: {
      'e-1': {
        running: 3,
        prefillTokens: 900,
        unread: 2,
        unreadByUrgency: [400, 500],
      },
    },
    sendSums: { engines: SUMS },
    admitted: { tiger: 120 },
    workTokens: 3000,
    usage: { 359260209: { tiger: 11 } },
    decisions: [{ window: 359260208, counts: { tiger: 9, lynx: 2 }, isReported: true }],
    room: { lynx: 3 },
    part: { boxes: 2, listRevision: 21, dividedForMs: 800 },
    rollouts: [
      {
        order: ORDER,
        ageMs: 500,
        phase: 'sampling',
        barred: ['v0'],
        evidence: {
          trial: [
            {
              route: 'draft',
              serverId: 'e-1',
              answers: 40,
              failed: 2,
              slow: 1,
            },
          ],
          usual: [{ route: 'draft', answers: 300, failed: 3, slow: 0 }],
        },
      },
    ],
    clockOffsetMs: -12,
  },
  usage: {
    kind: 'usage',
    boxId: 'box-7',
    incarnation: 3,
    usage: { 359260209: { tiger: 11 } },
  },
  unitsAsked: {
    kind: 'unitsAsked',
    boxId: 'box-7',
    incarnation: 3,
    host: '127.0.0.7',
    port: 7100,
    askId: 5,
    workspace: 'lynx',
    units: 4,
    hops: 1,
  },
  unitsLent: {
    kind: 'unitsLent',
    boxId: 'box-8',
    incarnation: 3,
    host: '127.0.0.8',
    port: 7200,
    askId: 5,
    units: 4,
  },
  unitsReturned: {
    kind: 'unitsReturned',
    boxId: 'box-7',
    incarnation: 3,
    askId: 5,
    units: 2,
  },
  crashSuspects: {
    kind: 'crashSuspects',
    boxId: 'box-7',
    suspects: [
      {
        key: 'tiger 9f',
        crashes: [
          ['e-1', 1700000000000, 900, 700],
          ['e-2', null, 400, 100],
        ],
        goodRunAgeMs: undefined,
        keptOutAgeMs: 50,
        seenAgeMs: 10,
      },
    ],
    recent: [['e-2', null, 400, 100]],
  },
  serverStatements: {
    kind: 'serverStatements',
    boxId: 'box-7',
    statements: [
      {
        serverId: 'e-1',
        bornAtMs: 1700000000000,
        statement: {
          kind: 'limit',
          perSecond: 2.5,
          sentAgeMs: 60,
          receivedAgeMs: 40,
        },
      },
      {
        serverId: 'e-2',
        bornAtMs: undefined,
        statement: {
          kind: 'rest',
          leftMs: 3000,
          askedAgeMs: 20,
          probeAgeMs: 10,
          servedAgeMs: undefined,
        },
      },
      {
        serverId: 'e-3',
        bornAtMs: 1700000000005,
        statement: { kind: 'refusal', ageMs: 70 },
      },
      { serverId: 'e-4', bornAtMs: undefined, statement: { kind: 'leaving' } },
    ],
  },
};

const KINDS = Object.keys(RECORDED_DATAGRAMS) as (keyof typeof RECORDED_DATAGRAMS)[];

for (const kind of KINDS) {
  test(`a recorded datagram of kind ${kind} is read, and the same bytes are written`, () => {
    const bytes = Buffer.from(RECORDED_DATAGRAMS[kind], 'base64');
    expect(decodeDatagram(bytes)).to.deep.equal(MESSAGES[kind]);
    expect(encodeDatagram(MESSAGES[kind]).toString('base64')).to.equal(RECORDED_DATAGRAMS[kind]);
  });
}

test('a recorded shared state provides its configuration and servers to a box', () => {
  const bytes = Buffer.from(RECORDED_SHARED_STATE, 'base64');
  const shared = decoder.decode(bytes) as SharedState;
  const box = createBox();
  for (const event of eventsOfSharedState(shared)) box.take(event);
  const { active, servers } = box.state;
  expect(active?.configuration.version).to.equal(1);
  expect(active?.configuration.routes.map(({ name }) => name)).to.deep.equal([
    'lookup',
    'notice',
    'draft',
    'review',
  ]);
  expect(active?.configuration.workspaces).to.deep.equal([
    {
      name: 'tiger',
      keys: ['key-of-tiger'],
      unit: 'tokens',
      plainTokens: 200,
      priority: undefined,
      ratePerSecond: 10000,
      burst: 10000,
    },
  ]);
  expect(active?.configuration.limits).to.deep.equal({
    maxHeaderBytes: 16384,
    maxBodyBytes: 1000000,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  });
  const engine = active?.configuration.services.find(({ name }) => name === 'engines');
  expect(engine).to.deep.equal({
    name: 'engines',
    maxConnections: 600,
    engine: { slots: 128, kvCapacityTokens: 260000 },
    scaling: {
      minPerZone: 1,
      maxPerZone: 4,
      bootMs: 4000,
      reclaimablePriceShare: 0.2,
      zonePrices: [
        { zone: 'zone-a', price: 0.9 },
        { zone: 'zone-b', price: 1.1 },
      ],
    },
  });
  expect([...servers.keys()]).to.deep.equal(['records-1', 'records-2', 'engine-1', 'engine-2']);
  expect(servers.get('engine-2')?.entry).to.include({
    service: 'engines',
    zone: 'zone-b',
    slots: 6,
    state: 'ready',
    reclaimable: false,
  });
});
