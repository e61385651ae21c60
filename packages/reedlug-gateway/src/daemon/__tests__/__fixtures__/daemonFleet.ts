/** Test fixtures: daemons on loopback that follow one store in memory. */
import { createSocket } from 'node:dgram';
import { settings, server } from '../../../__tests__/__fixtures__/box.js';
import type { Feed, FeedAnswer, OperatorEntry, PlatformAdapter } from '../../../adapter.js';
import type { LogValue } from '../../../observe/logger.js';
import type { Configuration } from '../../../types/configuration.js';
import type { PeerChange } from '../../../types/event.js';
import type { PeerAddress } from '../../../types/peer.js';
import type { ServerChange, ServerEntry } from '../../../types/server.js';
import { startGatewayDaemon, type GatewayDaemon } from '../../gatewayDaemon.js';

/** Number of servers in the registry: an eighth of the fleet that the users describe. */
const SERVERS = 60;
/** Processor time of the box that is to be the hub, in cores; the other boxes have one core. */
const HUB_CORES = 2;

/** A line of a box's log. */
export interface LogLine {
  box: string;
  event: string;
  fields: Readonly<Record<string, LogValue>>;
}

/** Running boxes and their store. */
export interface DaemonFleet {
  hub: GatewayDaemon;
  members: GatewayDaemon[];
  hubHost: string;
  lines: LogLine[];
  putConfiguration: (configuration: Configuration) => void;
  /** Makes the store answer only the hub, or all boxes again. */
  setStoreAway: (isAway: boolean) => void;
  /** Writes entries of servers into the registry, in one change. */
  enterServers: (entries: readonly ServerEntry[]) => void;
  /** Announces in the registry that a server is draining. */
  drainServer: (id: string) => void;
  /** Ends the hub. */
  closeHub: () => Promise<void>;
  close: () => Promise<void>;
}

/** The collections of the store; a change wakes all waiting polls. */
interface MemoryStore {
  revision: number;
  configuration: Configuration;
  servers: Map<string, ServerChange>;
  boxes: readonly PeerChange[];
  waiting: Set<() => void>;
  /** Boxes that the store does not answer. */
  isAwayFor: (boxId: string) => boolean;
}

/** Returns the host of a box by its index. */
export function hostOf(index: number): string {
  return `127.0.1.${index + 1}`;
}

/** Starts boxes of one group; the first is the hub. */
export async function startDaemonFleet(params: {
  members: number;
  configuration: Configuration;
}): Promise<DaemonFleet> {
  const { members, configuration } = params;
  const port = await freePort(hostOf(0));
  const addresses: PeerAddress[] = Array.from({ length: members + 1 }, (_, index) => ({
    boxId: `box-${index}`,
    host: hostOf(index),
    port,
    zone: 'zone-a',
    processorCores: index === 0 ? HUB_CORES : 1,
  }));
  const entries = Array.from({ length: SERVERS }, (_, index) => server(`records-${index}`));
  const store: MemoryStore = {
    revision: 1,
    configuration,
    servers: new Map(entries.map((entry) => [entry.id, { id: entry.id, entry }])),
    boxes: addresses.map((address) => ({
      boxId: address.boxId,
      address,
      holdsPart: true,
      revision: 1,
    })),
    waiting: new Set(),
    isAwayFor: () => false,
  };
  const change = (apply: () => void): void => {
    apply();
    store.revision += 1;
    for (const wake of [...store.waiting]) wake();
  };
  const lines: LogLine[] = [];
  const daemons = await Promise.all(addresses.map((address) => startDaemon(address, store, lines)));
  const [hub, ...others] = daemons as [GatewayDaemon, ...GatewayDaemon[]];
  let hasHub = true;
  const closeHub = async (): Promise<void> => {
    if (hasHub) await hub.close();
    hasHub = false;
  };
  return {
    hub,
    closeHub,
    members: others,
    hubHost: hostOf(0),
    lines,
    putConfiguration: (next) => change(() => (store.configuration = next)),
    setStoreAway(isAway) {
      store.isAwayFor = (boxId) => isAway && boxId !== 'box-0';
      for (const wake of [...store.waiting]) wake();
    },
    enterServers: (added) =>
      change(() => added.forEach((entry) => store.servers.set(entry.id, { id: entry.id, entry }))),
    drainServer: (id) =>
      change(() => store.servers.set(id, { id, entry: server(id, { state: 'leaving' }) })),
    async close() {
      await Promise.all([closeHub(), ...others.map((daemon) => daemon.close())]);
      for (const wake of [...store.waiting]) wake();
    },
  };
}

function startDaemon(
  address: PeerAddress,
  store: MemoryStore,
  lines: LogLine[],
): Promise<GatewayDaemon> {
  const base = settings({ configurationMs: 3000 });
  const { boxId: id, host: ip, zone = '', processorCores, port } = address;
  return startGatewayDaemon({
    settings: {
      ...base,
      box: { id, ip, zone, processorCores },
      listen: { ...base.listen, peersPort: port },
    },
    adapter: adapterOf(store, id),
    incarnation: 1,
    logger: (event, fields) => void lines.push({ box: id, event, fields }),
    onStopped: () => undefined,
  });
}

function adapterOf(store: MemoryStore, boxId: string): PlatformAdapter {
  const isAway = (): boolean => store.isAwayFor(boxId);
  const operators = feedOf<OperatorEntry>(store, isAway, () => [
    { kind: 'configuration', configuration: store.configuration },
  ]);
  return {
    // No test of this fixture sends a request of a caller.
    headers: {} as PlatformAdapter['headers'],
    openStore: () => ({
      operators,
      servers: feedOf(store, isAway, () => [...store.servers.values()]),
      boxes: feedOf(store, isAway, () => store.boxes),
      announceBox: () => Promise.resolve(true),
      table: () =>
        Promise.resolve({ answer: { kind: 'unknown' }, storeNowMs: undefined, era: undefined }),
      close: () => Promise.resolve(),
    }),
    openCloud: () => undefined,
  };
}

function feedOf<T>(
  store: MemoryStore,
  isAway: () => boolean,
  itemsOf: () => readonly T[],
): Feed<T> {
  const unavailable: FeedAnswer<T> = { kind: 'unavailable', reason: 'the store is away' };
  const page = (): FeedAnswer<T> => ({
    kind: 'page',
    page: {
      items: itemsOf(),
      revision: store.revision,
      newestRevision: store.revision,
      storeNowMs: undefined,
    },
  });
  return {
    readAll: () => Promise.resolve(isAway() ? unavailable : page()),
    async follow({ afterRevision, waitMs, signal }) {
      if (isAway()) return unavailable;
      if (store.revision <= afterRevision) await changeOf(store, waitMs, signal);
      if (isAway()) return unavailable;
      if (store.revision > afterRevision) return page();
      const { revision } = store;
      const empty = { items: [], revision, newestRevision: revision, storeNowMs: undefined };
      return { kind: 'page', page: empty };
    },
  };
}

/** Waits for a change of the store. */
function changeOf(
  store: MemoryStore,
  waitMs: number,
  signal: AbortSignal | undefined,
): Promise<void> {
  return new Promise((resolve) => {
    const end = (): void => {
      clearTimeout(timer);
      store.waiting.delete(end);
      resolve();
    };
    const timer = setTimeout(end, waitMs);
    store.waiting.add(end);
    signal?.addEventListener('abort', end);
  });
}

/** Returns a port that is free at an address; all boxes use the same one. */
function freePort(host: string): Promise<number> {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.bind(0, host, () => {
      const { port } = socket.address();
      socket.close(() => resolve(port));
    });
  });
}
