/** Test fixtures: both ends of state transfers on loopback, without a daemon. */
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { Registry } from 'prom-client';
import { createServingBox } from '../../../__tests__/__fixtures__/box.js';
import type { LogValue } from '../../../observe/logger.js';
import { createTransferMetrics } from '../../../observe/transferMetrics.js';
import { sharedStateOf } from '../../../slices/peers/sharedState.js';
import type { Configuration } from '../../../types/configuration.js';
import type { HostPort } from '../../../types/server.js';
import {
  createEncodedConfigurations,
  type EncodedConfigurations,
} from '../../stateTransfer/encodedConfigurations.js';
import {
  createStateFetcher,
  type StateFetcher,
  type TransferFailure,
} from '../../stateTransfer/stateFetcher.js';
import { createStateHandler } from '../../stateTransfer/stateServer.js';
import { createTransferPacer } from '../../stateTransfer/transferPacer.js';

/** Time without bytes after which the requesting box abandons an attempt, in ms; shorter than in the daemon. With 150 ms, a test failed on a busy machine, which took longer to encode. */
export const IDLE_TIMEOUT_MS = 400;

/** A log line. */
export type Line = readonly [string, Readonly<Record<string, LogValue>>];

/** A box that answers. */
export interface AnsweringBox {
  address: HostPort;
  configurations: EncodedConfigurations;
  handler: RequestListener;
  lines: Line[];
  /** Headers of the requests so far. */
  requests: { url: string; headers: NodeJS.Dict<string | string[]> }[];
  /** Replaces the handler, or restores it if undefined. */
  answerWith: (handler: RequestListener | undefined) => void;
  holders: HostPort[];
  close: () => void;
}

/** Starts a box that has some versions, the latest last. */
export async function startAnsweringBox(
  versions: readonly Configuration[],
  bytesPerMs?: number,
): Promise<AnsweringBox> {
  const lines: Line[] = [];
  const configurations = createEncodedConfigurations((event, fields) =>
    lines.push([event, fields]),
  );
  for (const version of versions) configurations.record(version);
  const { state } = createServingBox();
  const holders: HostPort[] = [];
  const handler = createStateHandler({
    configurations,
    sharedState: (withServers) => sharedStateOf(state, withServers),
    holders: () => holders,
    logger: (event, fields) => lines.push([event, fields]),
    metrics: createTransferMetrics(new Registry()),
    pacer: createTransferPacer(bytesPerMs),
  });
  let current = handler;
  const requests: AnsweringBox['requests'] = [];
  const sockets = new Set<Socket>();
  const server = createServer((request, response) => {
    requests.push({ url: request.url ?? '', headers: request.headers });
    current(request, response);
  });
  server.on('connection', (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: { host: '127.0.0.1', port },
    configurations,
    handler,
    lines,
    requests,
    answerWith: (other) => void (current = other ?? handler),
    holders,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** A box that requests. */
export interface RequestingBox {
  fetcher: StateFetcher;
  /** Version in force. */
  configuration: () => Configuration | undefined;
  failures: TransferFailure[];
  lines: Line[];
  /** Requests a version and resolves when it is in force or the transfer has failed. */
  get: (peer: HostPort, version: number) => Promise<void>;
}

/** Creates a box with a version, which knows all boxes except those of `unknown`. */
export function createRequestingBox(
  initial?: Configuration,
  unknown: readonly HostPort[] = [],
): RequestingBox {
  let inForce = initial;
  let onEnd = (): void => undefined;
  const failures: TransferFailure[] = [];
  const lines: Line[] = [];
  const fetcher = createStateFetcher({
    configuration: () => inForce,
    isKnownBox: ({ port }) => !unknown.some((other) => other.port === port),
    onConfiguration(received) {
      inForce = received;
      onEnd();
    },
    onFailed(failure) {
      failures.push(failure);
      onEnd();
    },
    logger: (event, fields) => lines.push([event, fields]),
    metrics: createTransferMetrics(new Registry()),
    idleTimeoutMs: IDLE_TIMEOUT_MS,
  });
  return {
    fetcher,
    configuration: () => inForce,
    failures,
    lines,
    async get(peer, version) {
      const ended = new Promise<void>((resolve) => (onEnd = resolve));
      fetcher.requestConfiguration(peer, version);
      await ended;
    },
  };
}
