/** Collects bytes in blocks that are joined once, however small the pieces are in which they come. */

/** Smallest and largest block, in bytes. */
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 65_536;

/** Bytes collected so far. */
export interface ByteBuffer {
  append: (bytes: Buffer) => void;
  length: () => number;
  /** Returns the last byte; undefined while there is none. */
  last: () => number | undefined;
  /** Returns all bytes and begins anew. */
  take: () => Buffer;
}

/** Creates an empty buffer. */
export function createByteBuffer(): ByteBuffer {
  let full: Buffer[] = [];
  let block: Buffer = Buffer.alloc(0);
  let used = 0;
  let length = 0;
  return {
    append(bytes) {
      let from = 0;
      while (from < bytes.length) {
        if (used === block.length) {
          if (used > 0) full.push(block);
          const needed = Math.max(MIN_BLOCK_BYTES, length, bytes.length - from);
          block = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, needed));
          used = 0;
        }
        const copied = bytes.copy(block, used, from);
        from += copied;
        used += copied;
        length += copied;
      }
    },
    length: () => length,
    last: () => (used === 0 ? undefined : block[used - 1]),
    take() {
      const rest = block.subarray(0, used);
      const taken = full.length === 0 ? rest : Buffer.concat([...full, rest], length);
      full = [];
      block = Buffer.alloc(0);
      used = 0;
      length = 0;
      return taken;
    },
  };
}
