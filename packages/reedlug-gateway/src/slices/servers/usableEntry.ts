/**
 * Which entries of servers can be used, and which of their values, whoever wrote them. Boxes of an older version pass
 * entries on as they read them, so this is checked for entries of the store and of other boxes alike.
 */
import { validateHeaderValue } from 'node:http';
import type { ServerEntry } from '../../types/server.js';

/** Latest plausible start time of a server, in Unix ms (the year 2100): one in another unit is later. */
const MAX_START_TIME_MS = 4_102_444_800_000;

/** Returns what is wrong with the id of a server; undefined if requests can name it in a header. */
export function faultOfServerId(id: string): string | undefined {
  try {
    validateHeaderValue('id', id);
    return undefined;
  } catch (error) {
    // Node states a value that no header can hold by an error.
    return (error as Error).message;
  }
}

/**
 * Returns an entry whose slot count is a positive integer, since decisions divide by it, and whose start time is
 * plausible: one that is too late would make all later entries of the server look like those of an earlier incarnation.
 */
export function withUsableValues(entry: ServerEntry): ServerEntry {
  return withPlausibleStart(withValidSlots(entry));
}

function withValidSlots(entry: ServerEntry): ServerEntry {
  return Number.isInteger(entry.slots) && entry.slots >= 1 ? entry : { ...entry, slots: 1 };
}

function withPlausibleStart(entry: ServerEntry): ServerEntry {
  const { bornAtMs, ...others } = entry;
  if (bornAtMs === undefined) return entry;
  const isPlausible = Number.isInteger(bornAtMs) && bornAtMs >= 0 && bornAtMs <= MAX_START_TIME_MS;
  return isPlausible ? entry : others;
}
