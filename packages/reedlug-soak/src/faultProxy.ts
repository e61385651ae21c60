/** A TCP proxy on loopback whose link can be made to misbehave from outside. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { LinkFault } from './faultPlan.js';

/** Delay of each chunk on a slow link, in ms: fifty times the usual answer of the store. */
const SLOW_MS = 200;

/** A link and its fault. */
export interface FaultProxy {
  port: number;
  /** Sets the fault, or heals the link. */
  set: (fault: LinkFault | undefined) => void;
  close: () => void;
}

/** Opens a proxy on `host` to a target that may change, as a server that comes back elsewhere. */
export async function openFaultProxy(params: {
  host: string;
  port: number;
  target: () => { host: string; port: number };
}): Promise<FaultProxy> {
  let fault: LinkFault | undefined;
  const pairs = new Set<readonly [Socket, Socket]>();
  const server = createServer((near) => {
    if (fault === LinkFault.reset) return void near.resetAndDestroy();
    const far = connect(params.target());
    const pair = [near, far] as const;
    pairs.add(pair);
    forward({ from: near, to: far, isHeld: () => fault === LinkFault.silent, fault: () => fault });
    forward({ from: far, to: near, isHeld: () => holdsAnswers(fault), fault: () => fault });
    const end = (): void => {
      pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    near.on('error', end);
    far.on('error', end);
    near.on('close', end);
    // An end in good order goes through `forward`, after what still waits; the pair stays for that.
  });
  await listen(server, params.host, params.port);
  return {
    port: params.port,
    set(next) {
      const before = fault;
      fault = next;
      const resets =
        next === LinkFault.reset || before === LinkFault.silent || holdsAnswers(before);
      // What a cut has held up is lost: bytes are never put together from before and after it.
      if (!resets) return;
      for (const [near, far] of pairs) {
        near.resetAndDestroy();
        far.resetAndDestroy();
      }
      pairs.clear();
    },
    close() {
      for (const [near, far] of pairs) {
        near.destroy();
        far.destroy();
      }
      server.close();
    },
  };
}

function holdsAnswers(fault: LinkFault | undefined): boolean {
  return fault === LinkFault.silent || fault === LinkFault.oneWay;
}

function forward(params: {
  from: Socket;
  to: Socket;
  isHeld: () => boolean;
  fault: () => LinkFault | undefined;
}): void {
  const { from, to, isHeld, fault } = params;
  const waiting: { act: () => void; dueMs: number }[] = [];
  // One timer for the first in line: a later chunk never overtakes it, also when the link heals.
  const actInTurn = (): void => {
    for (let first = waiting[0]; first !== undefined; first = waiting[0]) {
      const waitMs = first.dueMs - performance.now();
      if (waitMs > 0) return void setTimeout(actInTurn, waitMs);
      waiting.shift();
      first.act();
    }
  };
  const later = (act: () => void): void => {
    const delayMs = fault() === LinkFault.slow ? SLOW_MS : 0;
    waiting.push({ act, dueMs: performance.now() + delayMs });
    if (waiting.length === 1) actInTurn();
  };
  from.on('data', (chunk: Buffer) => {
    if (isHeld()) return;
    later(() => {
      if (!to.destroyed) to.write(chunk);
    });
  });
  from.on('end', () => {
    if (!isHeld()) later(() => void (to.destroyed || to.end()));
  });
}

function listen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
