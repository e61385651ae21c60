/**
 * Program of a box in a soak. Its connections to the servers go through links of its own, so that a
 * run can partition it from them.
 */
import { Socket } from 'node:net';
import { Socket as DatagramSocket } from 'node:dgram';
import { collectMemory } from './collectMemory.js';
import {
  COLLECT_SIGNAL,
  JOIN_SIGNAL,
  LINK_HOST_VARIABLE,
  LINK_PORTS_VARIABLE,
  SEPARATE_SIGNAL,
  SPOILING_VARIABLE,
} from './linkVariables.js';
import { spoilBytes, type Spoiling } from './spoilBytes.js';

const linkHost = process.env[LINK_HOST_VARIABLE];
const linkPorts = new Map(
  (process.env[LINK_PORTS_VARIABLE] ?? '')
    .split(',')
    .map((pair) => pair.split(':').map(Number) as [number, number]),
);
const { connect } = Socket.prototype;

interface ConnectOptions {
  host?: string;
  port?: number | string;
}

Socket.prototype.connect = function redirectToLink(this: Socket, ...args: unknown[]): Socket {
  const [first] = args;
  // `net.connect` passes its arguments as one array.
  const options = (Array.isArray(first) ? first[0] : first) as ConnectOptions;
  const linkPort = linkPorts.get(Number(options.port));
  if (options.host === '127.0.0.1' && linkHost !== undefined && linkPort !== undefined) {
    options.host = linkHost;
    options.port = linkPort;
  }
  return Reflect.apply(connect as (...args: unknown[]) => Socket, this, args);
};

let isSeparated = false;
process.on(SEPARATE_SIGNAL, () => (isSeparated = true));
process.on(JOIN_SIGNAL, () => (isSeparated = false));
process.on(COLLECT_SIGNAL, collectMemory);
const { send } = DatagramSocket.prototype;
DatagramSocket.prototype.send = function sendUnlessSeparated(
  this: DatagramSocket,
  ...args: unknown[]
): void {
  if (!isSeparated) Reflect.apply(send as (...all: unknown[]) => void, this, args);
};
const { emit } = DatagramSocket.prototype;
DatagramSocket.prototype.emit = function emitUnlessSeparated(
  this: DatagramSocket,
  ...args: unknown[]
): boolean {
  if (isSeparated && args[0] === 'message') return true;
  return Reflect.apply(emit as (...all: unknown[]) => boolean, this, args);
};

const spoiling = process.env[SPOILING_VARIABLE];
if (spoiling !== undefined) spoilBytes(JSON.parse(spoiling) as Spoiling);

await import('reedlug-platform/main');
