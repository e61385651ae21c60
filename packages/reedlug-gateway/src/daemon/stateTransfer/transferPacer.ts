/**
 * Divides transfers into chunks with gaps between them.
 *
 * Bytes written to a connection are queued before the link, and gossip waits behind them. Members
 * whose hub is silent for too long choose another one. All transfers of a box together therefore
 * send less than the users' slowest link (7 Mbit/s) carries, so that the queue stays short.
 */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/** Bytes of one write: they delay gossip by less than 10 ms on the users' slowest link. */
const CHUNK_BYTES = 8 * 1024;
/**
 * Rate of all transfers of a box, in bytes per ms (5 Mbit/s): leaves 2 Mbit/s of the users' slowest
 * link for gossip and callers.
 */
const BYTES_PER_MS = 625;

/** Paces the transfers of a box. */
export interface TransferPacer {
  /** Writes a body and resolves when all of it was written, or when the connection was closed. */
  send: (response: ServerResponse, bytes: Buffer) => Promise<void>;
}

/** Creates a pacer whose transfers take turns. */
export function createTransferPacer(bytesPerMs = BYTES_PER_MS): TransferPacer {
  let freeAtMs = 0;
  const takeTurn = async (bytes: number): Promise<void> => {
    const nowMs = performance.now();
    const waitMs = freeAtMs - nowMs;
    freeAtMs = Math.max(freeAtMs, nowMs) + bytes / bytesPerMs;
    if (waitMs > 0) await delay(waitMs);
  };
  return {
    async send(response, bytes) {
      for (let sent = 0; sent < bytes.length; sent += CHUNK_BYTES) {
        const chunk = bytes.subarray(sent, sent + CHUNK_BYTES);
        await takeTurn(chunk.length);
        if (response.destroyed) return;
        if (!response.write(chunk)) await drained(response);
      }
      response.end();
    },
  };
}

async function drained(response: ServerResponse): Promise<void> {
  const waiting = new AbortController();
  const { signal } = waiting;
  const ended = [once(response, 'drain', { signal }), once(response, 'close', { signal })];
  // The event that is not awaited any more rejects when the wait is aborted.
  for (const event of ended) event.catch(() => undefined);
  await Promise.race(ended);
  waiting.abort();
}
