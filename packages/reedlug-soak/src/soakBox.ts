/**
 * Program of a box in a soak. Its connections to the servers go through links of its own, so that a
 * run can partition it from them.
 */
import { Socket } from 'node:net';
import { LINK_HOST_VARIABLE, LINK_PORTS_VARIABLE } from './linkVariables.js';

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

await import('reedlug-platform/main');
