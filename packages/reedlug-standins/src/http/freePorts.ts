/**
 * Finds free loopback ports for programs that are given their ports before they listen.
 *
 * The ports lie below the ephemeral range: the system could assign an ephemeral port to an
 * outgoing connection after the search and before the program listens.
 */
import { createServer } from 'node:net';

/** First port that is tried, and first port of the ephemeral range (Linux's default). */
const FIRST_PORT = 20_000;
const FIRST_EPHEMERAL_PORT = 32_768;

/** Next port to try. Processes start at different ports so that they seldom try the same one. */
let nextPort = FIRST_PORT + ((process.pid * 97) % (FIRST_EPHEMERAL_PORT - FIRST_PORT));

/** Finds `count` free ports. This process returns each port only once. */
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
