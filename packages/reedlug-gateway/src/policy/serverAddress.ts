/** Which addresses of servers and boxes connections and datagrams can use. */
import { isIPv4 } from 'node:net';
import type { HostPort } from '../types/server.js';

const MAX_PORT = 65_535;

/** Returns what is wrong with an address; undefined for an IPv4 address and a port. */
export function faultOfAddress({ host, port }: HostPort): string | undefined {
  if (!isIPv4(host)) return 'not an IPv4 address';
  return Number.isInteger(port) && port >= 1 && port <= MAX_PORT ? undefined : 'no port';
}
