/**
 * A slow link for the sockets of one box on loopback: all that the box sends, datagrams and answers
 * alike, leaves in order of writing at the link's rate. Each connection may have some bytes
 * queued, as in a kernel's send buffer; the queue of datagrams is not bounded.
 */
import { Socket as DatagramSocket } from 'node:dgram';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** Send buffer of a connection, in bytes: Linux grows it to several times this value. */
const SEND_BUFFER_BYTES = 256 * 1024;

/** The link of a box. */
export interface SlowLink {
  /** Bytes that the box has sent. */
  sentBytes: () => number;
  close: () => void;
}

type WriteCallback = (error?: Error | null) => void;
type Write = (chunk: unknown, encoding: BufferEncoding, done: WriteCallback) => void;
type WriteMany = (
  chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
  done: WriteCallback,
) => void;
type SendDatagram = (...args: unknown[]) => void;

/** Slows down everything that the box at an address sends from its servers and datagram sockets. */
export function openSlowLink(
  host: string,
  megabitPerSecond: number,
  /** Share of the datagrams that are lost. */
  lossShare = 0,
): SlowLink {
  const bytesPerMs = (megabitPerSecond * 1_000_000) / 8 / 1000;
  let freeAtMs = 0;
  let sentBytes = 0;
  let lostShare = 0;
  /** Returns the delay after which bytes written now have left the link. */
  const delayOf = (bytes: number): number => {
    sentBytes += bytes;
    const nowMs = performance.now();
    freeAtMs = Math.max(freeAtMs, nowMs) + bytes / bytesPerMs;
    return freeAtMs - nowMs;
  };

  const onConnection = (message: unknown): void => {
    const { socket } = message as { socket: Socket };
    if (socket.localAddress === host) slowDown(socket, delayOf);
  };
  subscribe('net.server.socket', onConnection);

  const prototype = DatagramSocket.prototype as unknown as { send: SendDatagram };
  const sendAtOnce = prototype.send;
  prototype.send = function (this: DatagramSocket, ...args: unknown[]): void {
    if (this.address().address !== host) return sendAtOnce.apply(this, args);
    lostShare += lossShare;
    if (lostShare >= 1) {
      lostShare -= 1;
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
      delayOf((args[0] as Buffer).length),
    );
  };
  return {
    sentBytes: () => sentBytes,
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
