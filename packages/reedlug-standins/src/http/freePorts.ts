/**
 * Free loopback ports for programs that name their ports before they listen.
 *
 * They lie below the ports that the system hands out by itself: one of those
 * may go to an outgoing connection between the search and the listening.
 */
import { createServer } from 'node:net';

/** First port tried, and the first one that the system may hand out (Linux's default range). */
const FIRST_PORT = 20_000;
const FIRST_EPHEMERAL_PORT = 32_768;

/** Where this process goes on; processes begin at different places. */
let nextPort = FIRST_PORT + ((process.pid * 97) % (FIRST_EPHEMERAL_PORT - FIRST_PORT));

/** Finds so many free ports, each one given out once by this process. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = nextPort;
    nextPort = port + 1 < FIRST_EPHEMERAL_PORT ? port + 1 : FIRST_PORT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
