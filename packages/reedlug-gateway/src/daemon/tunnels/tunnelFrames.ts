/**
 * Frames of a tunnel: what a server sends travels in pieces, each after its length, and its clean end is a piece
 * of length 0. The kernel ends the connection of a process that is killed as it ends any other one, so the end of the
 * tunnel's own connection says nothing of the server's.
 */
import { Duplex, Transform, type TransformCallback } from 'node:stream';
import type { Socket } from 'node:net';
import { createByteBuffer } from '../byteBuffer.js';

/** Length of a piece, in bytes, as an unsigned integer of so many bytes. */
const LENGTH_BYTES = 4;
const END_FRAME = Buffer.alloc(LENGTH_BYTES);

/** Puts bytes into frames; its end is the end frame. */
export class FrameEncoder extends Transform {
  override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    const length = Buffer.allocUnsafe(LENGTH_BYTES);
    length.writeUInt32BE(chunk.length);
    this.push(length);
    done(null, chunk);
  }

  override _flush(done: TransformCallback): void {
    done(null, END_FRAME);
  }
}

/** The server's side of a tunnel, as a socket: it ends with the end frame, and fails if the tunnel ends before. */
export class TunnelSocket extends Duplex {
  readonly #raw: Socket;
  /** Bytes of a length that has not arrived completely. */
  readonly #length = createByteBuffer();
  #pieceLeft = 0;
  #hasEnded = false;

  constructor(raw: Socket) {
    super();
    this.#raw = raw;
    raw.on('data', (chunk: Buffer) => this.#read(chunk));
    raw.on('error', (error) => this.destroy(error));
    raw.on('close', () => this.#onRawClosed());
    raw.on('end', () => this.#onRawClosed());
    raw.pause();
  }

  /** Bytes received from the other box, with those of the frames. */
  get bytesRead(): number {
    return this.#raw.bytesRead;
  }

  ref(): this {
    this.#raw.ref();
    return this;
  }

  unref(): this {
    this.#raw.unref();
    return this;
  }

  override _read(): void {
    this.#raw.resume();
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.#raw.write(chunk, done);
  }

  override _final(done: () => void): void {
    this.#raw.end(done);
  }

  override _destroy(error: Error | null, done: (error: Error | null) => void): void {
    this.#raw.destroy();
    done(error);
  }

  #read(chunk: Buffer): void {
    let from = 0;
    while (from < chunk.length && !this.#hasEnded) from = this.#readFrom(chunk, from);
  }

  /** Reads a part of a length or of a piece, and returns where the next one begins. */
  #readFrom(chunk: Buffer, from: number): number {
    if (this.#pieceLeft > 0) {
      const to = Math.min(chunk.length, from + this.#pieceLeft);
      this.#pieceLeft -= to - from;
      if (!this.push(chunk.subarray(from, to))) this.#raw.pause();
      return to;
    }
    const to = Math.min(chunk.length, from + LENGTH_BYTES - this.#length.length());
    this.#length.append(chunk.subarray(from, to));
    if (this.#length.length() < LENGTH_BYTES) return to;
    this.#pieceLeft = this.#length.take().readUInt32BE();
    if (this.#pieceLeft === 0) this.#end();
    return to;
  }

  #end(): void {
    this.#hasEnded = true;
    this.push(null);
  }

  #onRawClosed(): void {
    if (this.#hasEnded || this.destroyed) return;
    const error: NodeJS.ErrnoException = new Error(
      'the tunnel ended before the connection of the server',
    );
    error.code = 'ECONNRESET';
    this.destroy(error);
  }
}
