/** Encodes the whole configuration in steps, so that a slow box serves requests in between. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Configuration } from '../../types/configuration.js';
import { encoder } from '../peerWire.js';

/**
 * Number of list items encoded in one step: few enough that a request waits only some ms for it.
 */
const ITEMS_PER_STEP = 100;

/** CBOR major types of maps and lists, with a length of four bytes. */
const MAP_HEAD = 0xba;
const LIST_HEAD = 0x9a;

/**
 * Returns `{ configuration }` as CBOR. Configurations whose items are equal, with equally ordered
 * fields, have equal bytes, whatever the order of the configuration's own fields.
 */
export async function encodeWhole(configuration: Configuration): Promise<Buffer> {
  const parts: Buffer[] = [head(MAP_HEAD, 1), encoder.encode('configuration')];
  const fields: [string, unknown][] = Object.entries(configuration);
  fields.sort(([a], [b]) => (a < b ? -1 : 1));
  parts.push(head(MAP_HEAD, fields.length));
  for (const [name, value] of fields) {
    parts.push(encoder.encode(name));
    if (!Array.isArray(value)) {
      parts.push(encoder.encode(value));
      continue;
    }
    parts.push(head(LIST_HEAD, value.length));
    for (let start = 0; start < value.length; start += ITEMS_PER_STEP) {
      for (const item of value.slice(start, start + ITEMS_PER_STEP)) {
        parts.push(encoder.encode(item));
      }
      await nextTurn();
    }
  }
  return Buffer.concat(parts);
}

function head(type: number, length: number): Buffer {
  const bytes = Buffer.alloc(5);
  bytes.writeUInt8(type, 0);
  bytes.writeUInt32BE(length, 1);
  return bytes;
}
