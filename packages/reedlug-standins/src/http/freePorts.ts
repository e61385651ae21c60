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

/** Finds `count` free ports of a loopback address. This process returns each port only once. */
export async function findFreePorts(count: number, host = '127.0.0.1'): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = nextPort;
    nextPort = port + 1 < FIRST_EPHEMERAL_PORT ? port + 1 : FIRST_PORT;
    if (await isFree(port, host)) ports.push(port);
  }
  return ports;
}

function isFree(port: number, host: string): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}
