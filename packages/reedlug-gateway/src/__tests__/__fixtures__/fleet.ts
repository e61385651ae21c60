/** Test fixtures of a fleet of boxes in virtual time, whose datagrams arrive without delay. */
import {
  configuration,
  createBox,
  facts,
  listBoxes,
  listBoxesAfterRestart,
  ofType,
  only,
  server,
  settings,
  type TestBox,
} from './box.js';
import { eventOfDatagram } from '../../daemon/datagramEvent.js';
import { eventsOfSharedState, sharedStateOf } from '../../slices/peers/sharedState.js';
import type { PeerAddress } from '../../types/peer.js';
import type { Effect } from '../../types/effect.js';
import type { EventBody } from '../../types/event.js';
import type { GatewaySettings } from '../../types/settings.js';

/** Interval between ticks, in ms, as in the daemon. */
const TICK_MS = 50;
const PEERS_PORT = 7000;

/** A fleet whose clock is controlled by the test. */
export interface TestFleet {
  boxes: Map<string, TestBox>;
  /** Decides whether a datagram from one box to another is lost; none is by default. */
  network: { isLost: (from: string, to: string) => boolean };
  /** Number of datagrams received by each box. */
  received: Map<string, number>;
  /** Effects of the last tick, by box. */
  effects: Map<string, Effect[]>;
  /** Effects of the datagrams delivered since the last tick, by box. */
  answered: Map<string, Effect[]>;
  pass: (ms: number) => void;
  /**
   * Feeds an event to a box, delivers its datagrams to its peers, and returns all of its effects.
   */
  take: (boxId: string, event: EventBody) => Effect[];
  /** Restarts a box with only the state that the store provides. */
  restart: (boxId: string) => void;
  /** Removes a box, which receives nothing any more. */
  kill: (boxId: string) => void;
}

/** Creates boxes that know each other from the store's list. */
export function createFleet(params: {
  boxes: number;
  zones: readonly string[];
  load?: Partial<GatewaySettings['load']>;
}): TestFleet {
  const { zones, load = {} } = params;
  const addresses: PeerAddress[] = Array.from({ length: params.boxes }, (_, index) => ({
    boxId: `box-${index}`,
    host: `10.0.${Math.floor(index / 250)}.${index % 250}`,
    port: PEERS_PORT,
    zone: zones[index % zones.length],
    processorCores: 1,
  }));
  const boxes = new Map(
    addresses.map((address) => [address.boxId, createFleetBox(address, { load })]),
  );
  const network: { isLost: TestFleet['network']['isLost'] } = { isLost: () => false };
  const idByHost = new Map(addresses.map(({ boxId, host }) => [host, boxId]));
  const received = new Map<string, number>();
  const effects = new Map<string, Effect[]>();
  const answered = new Map<string, Effect[]>();
  for (const box of boxes.values()) listBoxes(box, othersOf(box, addresses));

  const deliver = (sent: readonly Effect[]): void => {
    for (const { message, to } of ofType(sent, 'sendPeers')) {
      for (const { host } of to) {
        const boxId = idByHost.get(host) ?? '';
        const box = boxes.get(boxId);
        if (box === undefined || network.isLost(message.boxId, boxId)) continue;
        received.set(boxId, (received.get(boxId) ?? 0) + 1);
        const done = box.take(eventOfDatagram(message));
        answered.set(boxId, [...(answered.get(boxId) ?? []), ...done]);
        deliver(done);
      }
    }
  };
  const answerStateRequests = (boxId: string, requests: readonly Effect[]): void => {
    const box = boxes.get(boxId);
    for (const { peer, withServers } of ofType(requests, 'askPeer')) {
      const sender = boxes.get(idByHost.get(peer.host) ?? '');
      if (box === undefined || sender === undefined) continue;
      for (const event of eventsOfSharedState(sharedStateOf(sender.state, withServers)))
        box.take(event);
    }
  };
  return {
    boxes,
    network,
    received,
    take(boxId, event) {
      answered.clear();
      const done = boxes.get(boxId)?.take(event) ?? [];
      deliver(done);
      return [...done, ...(answered.get(boxId) ?? [])];
    },
    effects,
    answered,
    restart(boxId) {
      const before = boxes.get(boxId);
      const address = addresses.find((known) => known.boxId === boxId);
      if (before === undefined || address === undefined) throw new Error(`no ${boxId}`);
      const incarnation = before.state.incarnation + 1;
      const box = createFleetBox(address, { load, incarnation, nowMs: before.nowMs });
      listBoxesAfterRestart(box, othersOf(box, addresses));
      boxes.set(boxId, box);
    },
    kill: (boxId) => void boxes.delete(boxId),
    pass(ms) {
      for (let passed = 0; passed < ms; passed += TICK_MS) {
        const sent = [...boxes].map(([boxId, box]) => {
          const done = box.pass(TICK_MS);
          effects.set(boxId, done);
          return done;
        });
        answered.clear();
        for (const batch of sent) deliver(batch);
        for (const [boxId, done] of answered) answerStateRequests(boxId, done);
      }
    },
  };
}

function othersOf(box: TestBox, addresses: readonly PeerAddress[]): PeerAddress[] {
  return addresses.filter(({ boxId }) => boxId !== box.state.settings.box.id);
}

function createFleetBox(
  address: PeerAddress,
  params: { load: Partial<GatewaySettings['load']>; incarnation?: number; nowMs?: number },
): TestBox {
  const { load, incarnation = 1, nowMs = 0 } = params;
  const base = settings({}, load);
  const { boxId: id, host: ip, zone = '', processorCores, port } = address;
  const box = createBox({
    ...base,
    box: { id, ip, zone, processorCores },
    listen: { ...base.listen, peersPort: port },
  });
  box.state.incarnation = incarnation;
  box.nowMs = nowMs;
  box.take({ type: 'configurationRead', configuration: configuration(), source: 'store' });
  const entries = [
    server('records-1'),
    server('engine-1', { service: 'engines' }),
    server('engine-2', { service: 'engines' }),
  ];
  const changes = entries.map((entry) => ({ id: entry.id, entry }));
  box.take({ type: 'serversRead', whole: true, changes, revision: 1, source: 'store' });
  return box;
}

/** Starts a stream at a box that stays open until the test ends. */
export function openStream(fleet: TestFleet, boxId: string, exchangeId: number): string {
  const box = fleet.boxes.get(boxId);
  const request = facts({
    requestId: `${boxId}-${exchangeId}`,
    path: '/draft/1',
    deadlineMs: 8000,
    promptTokens: 100,
    maxOutputTokens: 20,
  });
  const effects = box?.take({ type: 'requestArrived', exchangeId, facts: request }) ?? [];
  return only(effects, 'send').order.serverId;
}
