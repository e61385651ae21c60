/** A TCP proxy on loopback that can inject network faults. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { LinkFault } from './fault.js';

/** Delay of each chunk on a slow link, in ms: fifty times the store's usual response time. */
const SLOW_LINK_DELAY_MS = 200;
/** Interval at which held bytes are checked for the end of a stall, in ms. */
const STALL_POLL_MS = 10;

/** A proxied link and control over its fault. */
export interface FaultProxy {
  port: number;
  /** Sets the fault of the link; `undefined` removes it. */
  setFault: (fault: LinkFault | undefined) => void;
  /** Holds all bytes back until the stall ends. */
  setStalled: (isStalled: boolean) => void;
  /**
   * Loses the answers to open HTTP requests whose first line matches, or to the next one if none is
   * open. Their connections deliver nothing any more, and stay open.
   */
  loseNextAnswer: (matches: (requestLine: string) => boolean) => void;
  /** Makes the open connections silent for good; new ones work. */
  silenceOpenConnections: () => void;
  /** Refuses new connections; open ones go on. */
  stopListening: () => void;
  listenAgain: () => Promise<void>;
  close: () => void;
}

/** The two connections of a proxied one. */
interface SocketPair {
  client: Socket;
  upstream: Socket;
  /** Whether it delivers nothing any more. */
  isSilent: boolean;
  /** First line of an HTTP request without an answer yet. */
  openRequestLine: string | undefined;
}

/**
 * Opens a proxy on `host`. `target` is read for each connection, as a server may restart on another
 * port.
 */
export async function openFaultProxy(params: {
  host: string;
  port: number;
  target: () => { host: string; port: number };
}): Promise<FaultProxy> {
  let fault: LinkFault | undefined;
  let isStalled = false;
  const pairs = new Set<SocketPair>();
  let losesNext: ((requestLine: string) => boolean) | undefined;
  const server = createServer((client) => {
    if (fault === LinkFault.reset) return void client.resetAndDestroy();
    const upstream = connect(params.target());
    const pair: SocketPair = { client, upstream, isSilent: false, openRequestLine: undefined };
    pairs.add(pair);
    upstream.on('data', () => (pair.openRequestLine = undefined));
    forward({
      from: client,
      to: upstream,
      dropsBytes: () => pair.isSilent || fault === LinkFault.silent,
      fault: () => fault,
      isStalled: () => isStalled,
    });
    forward({
      from: upstream,
      to: client,
      dropsBytes: () => pair.isSilent || dropsResponses(fault),
      fault: () => fault,
      isStalled: () => isStalled,
    });
    // Runs after the request was forwarded.
    client.on('data', (chunk: Buffer) => {
      pair.openRequestLine = firstLineOf(chunk);
      if (losesNext?.(pair.openRequestLine) !== true) return;
      losesNext = undefined;
      pair.isSilent = true;
    });
    const destroyPair = (): void => {
      pairs.delete(pair);
      client.destroy();
      upstream.destroy();
    };
    client.on('error', destroyPair);
    upstream.on('error', destroyPair);
    client.on('close', destroyPair);
    // `forward` passes a graceful end on behind the queued chunks, so the pair stays open until
    // then.
  });
  await listen(server, params.host, params.port);
  return {
    port: params.port,
    setFault(next) {
      const previous = fault;
      fault = next;
      const mustReset =
        next === LinkFault.reset || previous === LinkFault.silent || dropsResponses(previous);
      // Bytes dropped during the fault are lost. A connection must not carry bytes from before and
      // after the gap.
      if (!mustReset) return;
      for (const { client, upstream } of pairs) {
        client.resetAndDestroy();
        upstream.resetAndDestroy();
      }
      pairs.clear();
    },
    setStalled(next) {
      isStalled = next;
    },
    loseNextAnswer(matches) {
      const open = [...pairs].filter(
        ({ openRequestLine: line }) => line !== undefined && matches(line),
      );
      if (open.length === 0) losesNext = matches;
      for (const pair of open) pair.isSilent = true;
    },
    silenceOpenConnections() {
      for (const pair of pairs) pair.isSilent = true;
    },
    stopListening: () => void server.close(),
    listenAgain: () => listen(server, params.host, params.port),
    close() {
      for (const { client, upstream } of pairs) {
        client.destroy();
        upstream.destroy();
      }
      server.close();
    },
  };
}

function firstLineOf(chunk: Buffer): string {
  return chunk.toString('latin1').split('\r\n', 1)[0] ?? '';
}

function dropsResponses(fault: LinkFault | undefined): boolean {
  return fault === LinkFault.silent || fault === LinkFault.oneWay;
}

function forward(params: {
  from: Socket;
  to: Socket;
  dropsBytes: () => boolean;
  fault: () => LinkFault | undefined;
  isStalled: () => boolean;
}): void {
  const { from, to, dropsBytes, fault, isStalled } = params;
  const queue: { act: () => void; dueAtMs: number }[] = [];
  // A single timer serves the head of the queue, so no chunk overtakes an earlier one when the
  // fault is removed.
  const runDueActions = (): void => {
    for (let head = queue[0]; head !== undefined; head = queue[0]) {
      const waitMs = isStalled() ? STALL_POLL_MS : head.dueAtMs - performance.now();
      if (waitMs > 0) return void setTimeout(runDueActions, waitMs);
      queue.shift();
      head.act();
    }
  };
  const enqueue = (act: () => void): void => {
    const delayMs = fault() === LinkFault.slow ? SLOW_LINK_DELAY_MS : 0;
    queue.push({ act, dueAtMs: performance.now() + delayMs });
    if (queue.length === 1) runDueActions();
  };
  from.on('data', (chunk: Buffer) => {
    if (dropsBytes()) return;
    enqueue(() => {
      if (!to.destroyed) to.write(chunk);
    });
  });
  from.on('end', () => {
    if (!dropsBytes()) enqueue(() => void (to.destroyed || to.end()));
  });
}

function listen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
