/**
 * Worker thread that makes connections to some addresses hang: it listens, and then blocks, so that it
 * accepts none. Once the queue of an address is full, the kernel drops further opening packets.
 */
import { createServer } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';

/** What the thread is started with. */
export interface HangingListenerData {
  host: string;
  ports: readonly number[];
  /** A 32-bit integer in shared memory: the thread ends once it is notified. */
  release: SharedArrayBuffer;
}

const { host, ports, release } = workerData as HangingListenerData;
/** Smallest queue of connections that are not accepted yet. */
const BACKLOG = 1;

await Promise.all(
  ports.map(
    (port) =>
      new Promise<void>((resolve) =>
        createServer().listen({ host, port, backlog: BACKLOG }, resolve),
      ),
  ),
);
parentPort?.postMessage('listening');
Atomics.wait(new Int32Array(release), 0, 0);
process.exit();
