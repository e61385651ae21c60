/**
 * Encoding of datagrams between peers.
 *
 * A hub (a box that exchanges gossip on behalf of its members) sends the loads of all servers and
 * the latest changes of the registry to each member five times a second over a link of some Mbit/s,
 * and a saturated link loses datagrams. Both are therefore encoded as rows of values without names.
 * Older boxes find no loads and no changes in such a datagram, and request the whole registry.
 */
import { Decoder, Encoder } from 'cbor-x';
import { faultOfAddress } from '../policy/serverAddress.js';
import type { NumberedChange, PeerDatagram, ServerLoad } from '../types/peer.js';
import type { ServerState } from '../types/server.js';
import { dropMalformedFields, isAddress } from './gossipFields.js';
import { reservationFields, reservationsOfRows, withValidClaim } from './reservationWire.js';
import { speedRowOf, withSpeedRows } from './speedWire.js';
import { withWorkloads, workloadRowOf } from './workloadWire.js';
import { statementRows, STATEMENTS_WIRE_KIND, statementsOfRows } from './statementWire.js';

/** CBOR encoder of the peer link, without record definitions: each datagram must be decodable on its own. */
export const encoder = new Encoder({ useRecords: false });
export const decoder = new Decoder({ useRecords: false });

/** Kinds of datagrams on the wire. Server statements are sent as rows of another kind, see `STATEMENTS_WIRE_KIND`. */
type WireKind = Exclude<PeerDatagram['kind'], 'serverStatements'>;

/** Fields that must hold an object for a datagram of each kind to be accepted. */
const REQUIRED_OBJECTS: Readonly<Partial<Record<WireKind, readonly string[]>>> = {
  news: ['loads', 'sendSums', 'admitted', 'usage'],
  usage: ['usage'],
  versionsListed: ['services'],
};

/** Fields that must hold an array. */
const REQUIRED_ARRAYS: Readonly<Partial<Record<WireKind, readonly string[]>>> = {
  crashSuspects: ['suspects', 'recent'],
  streamStarts: ['starts'],
  streamStartAnswered: ['versions'],
};

/** Server id, requests in progress, tokens waiting for prefill, prompts waiting for prefill, and the waiting tokens by urgency. */
type LoadRow = readonly [string, number, number, number, ...number[]];

/** Encodes a datagram. */
export function encodeDatagram(message: PeerDatagram): Buffer {
  if (message.kind === 'serverStatements') return encoder.encode(statementRows(message));
  if (message.kind !== 'news') return encoder.encode(message);
  const { speeds, workloads, ...others } = message;
  const { loads, registry, reservations } = others;
  return encoder.encode({
    ...others,
    ...reservationFields(reservations),
    ...(speeds === undefined ? {} : { speedRows: speeds.map(speedRowOf) }),
    loads: {},
    loadRows: Object.entries(loads).map(loadRowOf),
    registry: registry === undefined ? undefined : { ...registry, changes: [] },
    changeRows: registry?.changes.map(changeRowOf),
    ...(workloads === undefined ? {} : { workloadRows: workloads.map(workloadRowOf) }),
  });
}

function loadRowOf([id, load]: [string, ServerLoad]): LoadRow {
  const { running, prefillTokens, unread = 0, unreadByUrgency = [] } = load;
  return [id, running, prefillTokens, unread, ...unreadByUrgency];
}

/** Decodes a datagram; returns undefined if it is malformed or of a version that lacks a required field. */
export function decodeDatagram(bytes: Buffer): PeerDatagram | undefined {
  let value: unknown;
  try {
    value = decoder.decode(bytes);
  } catch {
    // Not CBOR; the calling function logs it.
    return undefined;
  }
  if (isStatementRows(value)) return statementsOfRows(value);
  if (!isDatagram(value)) return undefined;
  const { loadRows, changeRows, speedRows, workloadRows, reservations, ...datagram } =
    value as PeerDatagram & GossipRows;
  if (datagram.kind === 'unitsAsked') return withValidClaim(datagram);
  if (datagram.kind !== 'news') return datagram;
  dropMalformedFields(datagram);
  const withSpeeds = withSpeedRows(datagram, speedRows);
  const message = {
    ...withWorkloads(withSpeeds, workloadRows),
    ...reservationsOfRows(reservations),
  };
  if (!Array.isArray(loadRows)) return message;
  const loads = Object.fromEntries(loadRows.filter(isLoadRow).map(loadOf));
  const { registry } = message;
  if (registry === undefined || !Array.isArray(changeRows)) return { ...message, loads };
  const changes = changeRows.filter(isChangeRow).map(changeOf);
  return { ...message, loads, registry: { ...registry, changes } };
}

/**
 * Rows in gossip in place of loads, changes, speeds, work and reservations; older boxes send none.
 */
interface GossipRows {
  reservations?: unknown;
  loadRows?: unknown;
  changeRows?: unknown;
  workloadRows?: unknown;
  speedRows?: unknown;
}

/** Fields that must hold a finite number for a datagram of each kind to be accepted. */
const REQUIRED_NUMBERS: Readonly<Record<WireKind, readonly string[]>> = {
  news: [
    'incarnation',
    'sequence',
    'boxes',
    'processorCores',
    'configurationVersion',
    'serversRevision',
    'workTokens',
  ],
  usage: ['incarnation'],
  unitsAsked: ['incarnation', 'askId', 'units', 'hops', 'port'],
  unitsLent: ['incarnation', 'askId', 'units', 'port'],
  unitsReturned: ['incarnation', 'askId', 'units'],
  crashSuspects: [],
  streamStarts: [],
  streamStartAsked: ['port'],
  streamStartAnswered: [],
  versionsListed: ['revision', 'knownForMs'],
};

function isStatementRows(value: unknown): value is Readonly<Record<string, unknown>> {
  if (typeof value !== 'object' || value === null) return false;
  return (value as { kind?: unknown }).kind === STATEMENTS_WIRE_KIND;
}

/** Kinds of datagrams that are answered, or that tell where their box is. */
const KINDS_WITH_ADDRESS: ReadonlySet<string> = new Set<WireKind>([
  'news',
  'unitsAsked',
  'unitsLent',
  'streamStartAsked',
]);

/** Whether a value is a datagram of a known kind with that kind's required fields. */
function isDatagram(value: unknown): value is PeerDatagram {
  if (typeof value !== 'object' || value === null) return false;
  const fields = value as Record<string, unknown>;
  const kind = String(fields['kind']);
  if (!Object.hasOwn(REQUIRED_NUMBERS, kind) || typeof fields['boxId'] !== 'string') return false;
  if (KINDS_WITH_ADDRESS.has(kind) && !isAddress(fields)) return false;
  const objects = REQUIRED_OBJECTS[kind as WireKind] ?? [];
  const arrays = REQUIRED_ARRAYS[kind as WireKind] ?? [];
  const numbers = REQUIRED_NUMBERS[kind as WireKind];
  if (!numbers.every((name) => Number.isFinite(fields[name]))) return false;
  if (!arrays.every((name) => Array.isArray(fields[name]))) return false;
  return objects.every((name) => typeof fields[name] === 'object' && fields[name] !== null);
}

function isLoadRow(row: unknown): row is LoadRow {
  if (!Array.isArray(row) || row.length < 4 || typeof row[0] !== 'string') return false;
  return row.slice(1).every(Number.isFinite);
}

function loadOf([id, running, prefillTokens, unread, ...byUrgency]: LoadRow): [string, ServerLoad] {
  const load = { running, prefillTokens, unread };
  return [id, byUrgency.length === 0 ? load : { ...load, unreadByUrgency: byUrgency }];
}

/** Number of a change and server id, followed by the entry's other fields in order unless the entry was removed. */
type ChangeRow =
  | readonly [number, string]
  | readonly [
      number,
      string,
      string,
      string,
      number,
      string,
      number,
      ServerState,
      boolean,
      number,
      string,
      number?,
    ];

/** Possible lengths of a row with an entry; older boxes omit the last value, the server's start time. */
const CHANGE_ROW_LENGTHS: readonly number[] = [11, 12];
/** Encodes a value that a server did not state. */
const ABSENT = -1;

function changeRowOf({ number, id, entry }: NumberedChange): ChangeRow {
  if (entry === undefined) return [number, id];
  const { service, address, zone, slots, state, reclaimable } = entry;
  const { leavesInMs = ABSENT, version = '', bornAtMs = ABSENT } = entry;
  const { host, port } = address;
  const entryValues = [slots, state, reclaimable, leavesInMs, version, bornAtMs] as const;
  return [number, id, service, host, port, zone, ...entryValues];
}

/** Whether a row is valid. A malformed row is dropped and leaves a gap in the numbers, so that the box requests the whole registry. */
function isChangeRow(row: unknown): row is ChangeRow {
  if (!Array.isArray(row) || !Number.isInteger(row[0]) || typeof row[1] !== 'string') return false;
  if (row.length === 2) return true;
  const [, , , host, port] = row as unknown[];
  const isAddress = typeof host === 'string' && typeof port === 'number';
  if (!isAddress || faultOfAddress({ host, port }) !== undefined) return false;
  return CHANGE_ROW_LENGTHS.includes(row.length);
}

function changeOf(row: ChangeRow): NumberedChange {
  const [number, id] = row;
  if (row.length === 2) return { number, id, entry: undefined };
  const [, , service, host, port, zone, slots, state, reclaimable, leavesValue, versionText] = row;
  const [, , , , , , , , , , , bornValue = ABSENT] = row;
  const address = { host, port };
  const leavesInMs = leavesValue === ABSENT ? undefined : leavesValue;
  const version = versionText === '' ? undefined : versionText;
  const startTime = bornValue === ABSENT ? {} : { bornAtMs: bornValue };
  return {
    number,
    id,
    entry: {
      id,
      service,
      address,
      zone,
      slots,
      state,
      reclaimable,
      leavesInMs,
      version,
      ...startTime,
    },
  };
}
