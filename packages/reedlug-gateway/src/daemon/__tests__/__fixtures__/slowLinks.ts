/**
 * Slow links for the sockets of boxes on loopback, one for each box: all that a box sends, datagrams and answers
 * alike, leaves in order of writing at the link's rate. Each connection may have some bytes
 * queued, as in a kernel's send buffer; the queue of datagrams is not bounded.
 */
import { Socket as DatagramSocket } from 'node:dgram';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** Send buffer of a connection, in bytes: Linux grows it to several times this value. */
const SEND_BUFFER_BYTES = 256 * 1024;

/** The links of boxes. */
export interface SlowLinks {
  /** Bytes that a box has sent. */
  sentBytes: (host: string) => number;
  close: () => void;
}

/** State of a link. */
interface Link {
  /** Time at which all that was written has left. */
  freeAtMs: number;
  sentBytes: number;
  /** Share of a datagram that is still to be lost. */
  lostShare: number;
}

type WriteCallback = (error?: Error | null) => void;
type Write = (chunk: unknown, encoding: BufferEncoding, done: WriteCallback) => void;
type WriteMany = (
  chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
  done: WriteCallback,
) => void;
type SendDatagram = (...args: unknown[]) => void;

/** Slows down everything that the boxes at some addresses send from their servers and datagram sockets. */
export function openSlowLinks(
  hosts: readonly string[],
  megabitPerSecond: number,
  /** Share of the datagrams that are lost. */
  lossShare = 0,
): SlowLinks {
  const bytesPerMs = (megabitPerSecond * 1_000_000) / 8 / 1000;
  const links = new Map(hosts.map((host) => [host, { freeAtMs: 0, sentBytes: 0, lostShare: 0 }]));
  /** Returns the delay after which bytes written now have left the link. */
  const delayOf = (link: Link, bytes: number): number => {
    link.sentBytes += bytes;
    const nowMs = performance.now();
    link.freeAtMs = Math.max(link.freeAtMs, nowMs) + bytes / bytesPerMs;
    return link.freeAtMs - nowMs;
  };

  const onConnection = (message: unknown): void => {
    const { socket } = message as { socket: Socket };
    const link = links.get(socket.localAddress ?? '');
    if (link !== undefined) slowDown(socket, (bytes) => delayOf(link, bytes));
  };
  subscribe('net.server.socket', onConnection);

  const prototype = DatagramSocket.prototype as unknown as { send: SendDatagram };
  const sendAtOnce = prototype.send;
  prototype.send = function (this: DatagramSocket, ...args: unknown[]): void {
    const link = links.get(this.address().address);
    if (link === undefined) return sendAtOnce.apply(this, args);
    link.lostShare += lossShare;
    if (link.lostShare >= 1) {
      link.lostShare -= 1;
      return;
    }
    setTimeout(
      () => {
        try {
          sendAtOnce.apply(this, args);
        } catch {
          // The socket was closed while the datagram was queued, so the datagram is lost.
        }
      },
      delayOf(link, (args[0] as Buffer).length),
    );
  };
  return {
    sentBytes: (host) => links.get(host)?.sentBytes ?? 0,
    close() {
      prototype.send = sendAtOnce;
      unsubscribe('net.server.socket', onConnection);
    },
  };
}

function slowDown(socket: Socket, delayOf: (bytes: number) => number): void {
  const writable = socket as unknown as { _write: Write; _writev: WriteMany };
  const writeAtOnce = writable._write.bind(socket);
  let queuedBytes = 0;
  const queue = (bytes: Buffer, done: WriteCallback): void => {
    queuedBytes += bytes.length;
    const isBuffered = queuedBytes <= SEND_BUFFER_BYTES;
    setTimeout(() => {
      queuedBytes -= bytes.length;
      if (socket.destroyed) return isBuffered ? undefined : done();
      writeAtOnce(bytes, 'buffer' as BufferEncoding, (error) => {
        if (!isBuffered) done(error);
      });
    }, delayOf(bytes.length));
    if (isBuffered) done();
  };
  writable._write = (chunk, encoding, done) => queue(bytesOf(chunk, encoding), done);
  writable._writev = (chunks, done) =>
    queue(Buffer.concat(chunks.map(({ chunk, encoding }) => bytesOf(chunk, encoding))), done);
}

function bytesOf(chunk: unknown, encoding: BufferEncoding): Buffer {
  return typeof chunk === 'string' ? Buffer.from(chunk, encoding) : (chunk as Buffer);
}
