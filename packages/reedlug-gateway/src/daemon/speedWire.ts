/** Rows of the sums behind the speeds of servers, as datagrams between peers hold them. */
import type { PeerMessage } from '../types/peer.js';
import type { SpeedGossip } from '../types/serverSpeed.js';
import { MAX_SPEED_ROWS } from '../slices/serverSpeeds/speedGossip.js';

/** Server id, start of its incarnation, and expected and observed ms of even and of odd blocks. */
type SpeedRow = readonly [string, number, number, number, number, number];

const ROW_LENGTH = 6;
/** Encodes a start time that a server did not state. */
const ABSENT = -1;
/** Maximum length of a server id in a row. */
const MAX_ID_LENGTH = 256;
/**
 * Maximum sum in a row, in ms: 10,000 sends of 10 s each, more than any server gets before the sums
 * decay.
 */
const MAX_SUM_MS = 1e8;

/** Returns the row of a server; whole milliseconds are exact enough for sums of many sends. */
export function speedRowOf({ serverId, bornAtMs = ABSENT, sums }: SpeedGossip): SpeedRow {
  const { evenExpectedMs, evenObservedMs, oddExpectedMs, oddObservedMs } = sums;
  return [
    serverId,
    bornAtMs,
    Math.round(evenExpectedMs),
    Math.round(evenObservedMs),
    Math.round(oddExpectedMs),
    Math.round(oddObservedMs),
  ];
}

/**
 * Adds a datagram's valid rows to its message; drops malformed ones and those beyond the maximum.
 */
export function withSpeedRows(message: PeerMessage, rows: unknown): PeerMessage {
  // A `speeds` field outside of rows was not checked, and no box sends it.
  const { speeds: unchecked, ...others } = message;
  if (!Array.isArray(rows)) return unchecked === undefined ? message : others;
  return { ...others, speeds: rows.slice(0, MAX_SPEED_ROWS).filter(isSpeedRow).map(speedOfRow) };
}

function isSpeedRow(row: unknown): row is SpeedRow {
  if (!Array.isArray(row) || row.length !== ROW_LENGTH) return false;
  const [id, bornAtMs, ...sums] = row as unknown[];
  if (typeof id !== 'string' || id === '' || id.length > MAX_ID_LENGTH) return false;
  if (!Number.isFinite(bornAtMs)) return false;
  return sums.every((value) => Number.isFinite(value) && isWithinBounds(Number(value)));
}

function isWithinBounds(value: number): boolean {
  return value >= 0 && value <= MAX_SUM_MS;
}

function speedOfRow([serverId, born, ...sums]: SpeedRow): SpeedGossip {
  const [evenExpectedMs, evenObservedMs, oddExpectedMs, oddObservedMs] = sums;
  return {
    serverId,
    bornAtMs: born === ABSENT ? undefined : born,
    sums: { evenExpectedMs, evenObservedMs, oddExpectedMs, oddObservedMs },
  };
}
