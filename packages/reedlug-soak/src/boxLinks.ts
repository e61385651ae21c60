/** Links of one box to all servers, and the partitions of the box from them. */
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import { findFreePorts } from 'reedlug-standins';
import { LinkFault, Partition } from './fault.js';
import { openFaultProxy, type FaultProxy } from './faultProxy.js';
import type { HangingListenerData } from './hangingListener.js';

/** Connections that fill the queue of an address at which nothing is accepted. */
const FILLING_CONNECTIONS = 3;
/** Time in which they are queued, in ms. */
const FILLING_MS = 50;

/** Links of a box; the proxies listen at the box's own address, each on a port of its own. */
export interface BoxLinks {
  /** Ports of the links by port of their server. */
  portsByServer: ReadonlyMap<number, number>;
  /** Partitions the box from the servers with these ports; resolves once it is. */
  partition: (how: Partition, serverPorts: readonly number[]) => Promise<void>;
  heal: () => Promise<void>;
  close: () => void;
}

/** Opens the links of the box at `host` to the servers at `ports` on 127.0.0.1. */
export async function openBoxLinks(
  host: string,
  serverPorts: readonly number[],
): Promise<BoxLinks> {
  const proxies = new Map<number, FaultProxy>();
  for (const serverPort of serverPorts) {
    const target = { host: '127.0.0.1', port: serverPort };
    const [port = 0] = await findFreePorts(1, host);
    proxies.set(serverPort, await openFaultProxy({ host, port, target: () => target }));
  }
  let cut: FaultProxy[] = [];
  let releaseHanging: (() => Promise<void>) | undefined;
  return {
    portsByServer: new Map([...proxies].map(([serverPort, { port }]) => [serverPort, port])),
    async partition(how, cutServerPorts) {
      cut = cutServerPorts.flatMap((serverPort) => proxies.get(serverPort) ?? []);
      const cutPorts = cut.map(({ port }) => port);
      for (const proxy of cut) proxy.stopListening();
      if (how === Partition.hang) releaseHanging = await hangConnections(host, cutPorts);
      for (const proxy of cut) proxy.setFault(OPEN_CONNECTIONS[how]);
    },
    async heal() {
      await releaseHanging?.();
      releaseHanging = undefined;
      for (const proxy of cut) {
        proxy.setFault(undefined);
        await proxy.listenAgain();
      }
      cut = [];
    },
    close() {
      void releaseHanging?.();
      for (const proxy of proxies.values()) proxy.close();
    },
  };
}

/** What happens to the connections that are open when a partition begins. */
const OPEN_CONNECTIONS: Readonly<Record<Partition, LinkFault | undefined>> = {
  [Partition.hang]: LinkFault.silent,
  [Partition.reset]: LinkFault.reset,
  [Partition.refuseNew]: undefined,
};

/** Makes new connections hang; the returned function ends that. */
async function hangConnections(
  host: string,
  ports: readonly number[],
): Promise<() => Promise<void>> {
  const release = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
  const workerData: HangingListenerData = { host, ports, release };
  const worker = new Worker(new URL('./hangingListener.js', import.meta.url), { workerData });
  await new Promise((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });
  const filling = ports.flatMap((port) =>
    Array.from({ length: FILLING_CONNECTIONS }, () => openIgnored(host, port)),
  );
  await delay(FILLING_MS);
  return async () => {
    const ended = new Promise((resolve) => worker.once('exit', resolve));
    Atomics.notify(new Int32Array(release), 0);
    await ended;
    for (const socket of filling) socket.destroy();
  };
}

function openIgnored(host: string, port: number): Socket {
  return connect({ host, port }).on('error', () => undefined);
}
