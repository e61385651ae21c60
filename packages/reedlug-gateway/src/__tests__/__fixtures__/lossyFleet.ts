/** Test fixture of a fleet in virtual time whose datagrams are encoded, and may be lost, late, repeated or cut off. */
import {
  configuration,
  createBox,
  listBoxes,
  ofType,
  server,
  settings,
  type TestBox,
} from './box.js';
import { eventOfDatagram } from '../../daemon/datagramEvent.js';
import { decodeDatagram, encodeDatagram } from '../../daemon/peerWire.js';
import type { PeerAddress, PeerDatagram } from '../../types/peer.js';
import type { ServerEntry } from '../../types/server.js';
import type { LoadSettings } from '../../types/settings.js';

/** Interval between ticks, in ms, as in the daemon. */
export const TICK_MS = 50;

/** How a datagram travels: the delays of its copies in ms, none if it is lost. */
export type Link = (from: TestBox, to: TestBox) => readonly number[];

/** A fleet whose clock is controlled by the test. */
export interface LossyFleet {
  boxes: Map<string, TestBox>;
  nowMs: number;
  link: Link;
  /** Number and total bytes of the datagrams that boxes sent, and the largest datagram. */
  sent: { datagrams: number; bytes: number; mostBytes: number };
  /** Called for each box before its tick. */
  beforeTick: (box: TestBox) => void;
  pass: (ms: number) => void;
  /** Starts a box again without its state, with its clock at the fleet's time. */
  restart: (boxId: string) => TestBox;
  /** Announces the servers to all boxes. */
  announce: (entries: readonly ServerEntry[]) => void;
}

/** Creates boxes that know each other and the servers from the store. */
export function createLossyFleet(params: {
  boxes: number;
  zones: readonly string[];
  servers: readonly ServerEntry[];
  load: (boxId: string) => Partial<LoadSettings>;
}): LossyFleet {
  const { zones, load } = params;
  let servers = params.servers;
  let revision = 1;
  const addresses: PeerAddress[] = Array.from({ length: params.boxes }, (_, index) => ({
    boxId: `box-${index}`,
    host: `10.0.${Math.floor(index / 250)}.${index % 250}`,
    port: 7000,
    zone: zones[index % zones.length],
    processorCores: 1,
  }));
  const idByHost = new Map(addresses.map(({ boxId, host }) => [host, boxId]));
  let travelling: { dueMs: number; boxId: string; datagram: PeerDatagram }[] = [];
  const tell = (box: TestBox): void => {
    const changes = servers.map((entry) => ({ id: entry.id, entry }));
    box.take({ type: 'serversRead', whole: true, changes, revision, source: 'store' });
  };
  const createFleetBox = (address: PeerAddress, incarnation: number): TestBox => {
    const { boxId: id, host: ip, zone = '', processorCores, port } = address;
    const base = settings({}, load(id));
    const box = createBox({
      ...base,
      box: { id, ip, zone, processorCores },
      listen: { ...base.listen, peersPort: port },
      cloud: undefined,
    });
    box.nowMs = fleet.nowMs;
    box.state.incarnation = incarnation;
    box.state.startedAtMs = fleet.nowMs;
    listBoxes(
      box,
      addresses.filter(({ boxId }) => boxId !== id),
    );
    box.take({ type: 'configurationRead', configuration: configuration(), source: 'store' });
    tell(box);
    return box;
  };
  const send = (from: TestBox, host: string, bytes: Buffer): void => {
    fleet.sent.datagrams += 1;
    fleet.sent.bytes += bytes.length;
    fleet.sent.mostBytes = Math.max(fleet.sent.mostBytes, bytes.length);
    const boxId = idByHost.get(host) ?? '';
    const to = fleet.boxes.get(boxId);
    const datagram = decodeDatagram(bytes);
    if (to === undefined || datagram === undefined) return;
    for (const delayMs of fleet.link(from, to)) {
      travelling.push({ dueMs: fleet.nowMs + delayMs, boxId, datagram });
    }
  };
  const fleet: LossyFleet = {
    boxes: new Map(),
    nowMs: 0,
    link: () => [0],
    sent: { datagrams: 0, bytes: 0, mostBytes: 0 },
    beforeTick: () => undefined,
    pass(ms) {
      for (let passed = 0; passed < ms; passed += TICK_MS) {
        fleet.nowMs += TICK_MS;
        for (const box of fleet.boxes.values()) {
          box.nowMs = fleet.nowMs - TICK_MS;
          fleet.beforeTick(box);
          for (const { message, to } of ofType(box.pass(TICK_MS), 'sendPeers')) {
            const bytes = encodeDatagram(message);
            for (const { host } of to) send(box, host, bytes);
          }
        }
        const due = travelling.filter(({ dueMs }) => dueMs <= fleet.nowMs);
        travelling = travelling.filter(({ dueMs }) => dueMs > fleet.nowMs);
        for (const { boxId, datagram } of due)
          fleet.boxes.get(boxId)?.take(eventOfDatagram(datagram));
      }
    },
    restart(boxId) {
      const address = addresses.find((known) => known.boxId === boxId);
      if (address === undefined) throw new Error(`no ${boxId}`);
      const box = createFleetBox(address, (fleet.boxes.get(boxId)?.state.incarnation ?? 0) + 1);
      fleet.boxes.set(boxId, box);
      return box;
    },
    announce(entries) {
      servers = entries;
      revision += 1;
      for (const box of fleet.boxes.values()) tell(box);
    },
  };
  for (const address of addresses) fleet.boxes.set(address.boxId, createFleetBox(address, 1));
  return fleet;
}

/** Returns engines that do not state a speed. */
export function enginesOf(count: number, zones: readonly string[]): ServerEntry[] {
  return Array.from({ length: count }, (_, index) =>
    server(`engine-${index}`, {
      service: 'engines',
      zone: zones[index % zones.length] ?? '',
      slots: 12,
      bornAtMs: 1_700_000_000_000 + index,
    }),
  );
}
