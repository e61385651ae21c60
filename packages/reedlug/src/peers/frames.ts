/** Frames of the peer link: four bytes of length, followed by one value encoded with cbor-x. */
import { Decoder, Encoder } from 'cbor-x';

/** Maximum size of a received frame, in bytes. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;
const LENGTH_BYTES = 4;

const encoder = new Encoder({ useRecords: true, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: true, mapsAsObjects: true });

/** Encodes a value as a frame. */
export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

const frameByMessage = new WeakMap<object, Buffer>();

/** Encodes a message that is sent to several peers. Encodes each message object only once. */
export function encodeFrameCached(message: object): Buffer {
  const cachedFrame = frameByMessage.get(message);
  if (cachedFrame !== undefined) return cachedFrame;
  const frame = encodeFrame(message);
  frameByMessage.set(message, frame);
  return frame;
}

/** Collects received bytes and decodes complete frames. */
export interface FrameReader {
  /** Returns the values of complete frames, or `undefined` if a frame is too long or invalid. */
  push: (chunk: Buffer, maxBytes?: number) => unknown[] | undefined;
}

/** Returns a reader that buffers an incomplete frame until its remaining bytes arrive. */
export function createFrameReader(): FrameReader {
  let buffered: Buffer = Buffer.alloc(0);
  return {
    push(chunk, maxBytes = MAX_FRAME_BYTES) {
      buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
      const values: unknown[] = [];
      while (buffered.length >= LENGTH_BYTES) {
        const length = buffered.readUInt32BE(0);
        if (length > maxBytes) return undefined;
        if (buffered.length < LENGTH_BYTES + length) break;
        const body = buffered.subarray(LENGTH_BYTES, LENGTH_BYTES + length);
        buffered = buffered.subarray(LENGTH_BYTES + length);
        try {
          values.push(decoder.decode(body));
        } catch {
          return undefined;
        }
      }
      return values;
    },
  };
}
