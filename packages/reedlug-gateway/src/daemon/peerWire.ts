/**
 * Datagrams of peers as bytes.
 *
 * A hub sends the loads of all servers and the latest changes of the registry to each
 * of its members five times a second over a link of some Mbit/s, and a full link loses
 * datagrams. So both go as rows of values without names. Boxes of an earlier version
 * find no loads and no changes in it, and ask for the whole registry.
 */
import { Decoder, Encoder } from 'cbor-x';
import { MAX_STORE_ERA } from 'reedlug-coordination';
import type {
  NumberedChange,
  PeerDatagram,
  PeerMessage,
  ServerLoad,
  UsageDecisionGossip,
} from '../types/peer.js';
import type { ServerState } from '../types/server.js';
import { statementRows, STATEMENTS_WIRE_KIND, statementsOfRows } from './statementWire.js';

/** CBOR of the peer link, without record definitions: a datagram must be readable alone. */
export const encoder = new Encoder({ useRecords: false });
export const decoder = new Decoder({ useRecords: false });

/** Kinds that travel as they are but for news; statements of servers go as rows of a kind of their own. */
type WireKind = Exclude<PeerDatagram['kind'], 'serverStatements'>;

/** Kinds of datagrams, with what each must hold to be taken. */
const REQUIRED_OBJECTS: Readonly<Record<WireKind, readonly string[]>> = {
  news: ['loads', 'sendSums', 'admitted', 'usage'],
  usage: ['usage'],
  unitsAsked: [],
  unitsLent: [],
  unitsReturned: [],
  crashSuspects: ['suspects', 'recent'],
};

/** A server's id, requests in progress, tokens to be read, prompts to be read, and the tokens by urgency. */
type LoadRow = readonly [string, number, number, number, ...number[]];

/** The bytes of a datagram. */
export function encodeDatagram(message: PeerDatagram): Buffer {
  if (message.kind === 'serverStatements') return encoder.encode(statementRows(message));
  if (message.kind !== 'news') return encoder.encode(message);
  const { loads, registry } = message;
  return encoder.encode({
    ...message,
    loads: {},
    loadRows: Object.entries(loads).map(loadRowOf),
    registry: registry === undefined ? undefined : { ...registry, changes: [] },
    changeRows: registry?.changes.map(changeRowOf),
  });
}

function loadRowOf([id, load]: [string, ServerLoad]): LoadRow {
  const { running, prefillTokens, unread = 0, unreadByUrgency = [] } = load;
  return [id, running, prefillTokens, unread, ...unreadByUrgency];
}

/** Reads a datagram; undefined when it is none, or of a version that lacks a part. */
export function decodeDatagram(bytes: Buffer): PeerDatagram | undefined {
  let value: unknown;
  try {
    value = decoder.decode(bytes);
  } catch {
    // Not CBOR: the caller says so in the log.
    return undefined;
  }
  if (isStatementRows(value)) return statementsOfRows(value);
  if (!isDatagram(value)) return undefined;
  const { loadRows, changeRows, ...datagram } = value as PeerDatagram & GossipRows;
  if (datagram.kind !== 'news') return datagram;
  const message = withoutInvalidFields(datagram);
  if (!Array.isArray(loadRows)) return message;
  const loads = Object.fromEntries(loadRows.filter(isLoadRow).map(loadOf));
  const { registry } = message;
  if (registry === undefined || !Array.isArray(changeRows)) return { ...message, loads };
  const changes = changeRows.filter(isChangeRow).map(changeOf);
  return { ...message, loads, registry: { ...registry, changes } };
}

/** What news hold in place of loads and changes; a box of an earlier version sends none. */
interface GossipRows {
  loadRows?: unknown;
  changeRows?: unknown;
}

/** Numbers that a kind must hold to be taken. */
const REQUIRED_NUMBERS: Readonly<Record<WireKind, readonly string[]>> = {
  news: ['incarnation', 'sequence'],
  usage: ['incarnation'],
  unitsAsked: ['incarnation', 'askId', 'units', 'hops', 'port'],
  unitsLent: ['incarnation', 'askId', 'units', 'port'],
  unitsReturned: ['incarnation', 'askId', 'units'],
  crashSuspects: [],
};

/** Leaves out what news may hold and is not as it should be, as a box of an earlier version does not tell it. */
function withoutInvalidFields(message: PeerMessage): PeerMessage {
  const { storeEra, decisions, ...others } = message;
  return {
    ...others,
    ...(isEra(storeEra) ? { storeEra } : {}),
    ...(Array.isArray(decisions) ? { decisions: decisions.filter(isDecision) } : {}),
  };
}

function isEra(value: unknown): value is number {
  return Number.isInteger(value) && Number(value) >= 0 && Number(value) <= MAX_STORE_ERA;
}

function isDecision(value: unknown): value is UsageDecisionGossip {
  if (typeof value !== 'object' || value === null) return false;
  const { window, counts, isReported } = value as Partial<Record<string, unknown>>;
  if (!Number.isInteger(window) || typeof isReported !== 'boolean') return false;
  if (typeof counts !== 'object' || counts === null) return false;
  return Object.values(counts).every(Number.isFinite);
}

function isStatementRows(value: unknown): value is Readonly<Record<string, unknown>> {
  if (typeof value !== 'object' || value === null) return false;
  return (value as { kind?: unknown }).kind === STATEMENTS_WIRE_KIND;
}

/** Whether a value is of a known kind and has that kind's parts. */
function isDatagram(value: unknown): value is PeerDatagram {
  if (typeof value !== 'object' || value === null) return false;
  const fields = value as Record<string, unknown>;
  const kind = String(fields['kind']);
  if (!Object.hasOwn(REQUIRED_OBJECTS, kind) || typeof fields['boxId'] !== 'string') return false;
  const required = REQUIRED_OBJECTS[kind as WireKind];
  const numbers = REQUIRED_NUMBERS[kind as WireKind];
  if (!numbers.every((name) => Number.isFinite(fields[name]))) return false;
  return required.every((name) => typeof fields[name] === 'object' && fields[name] !== null);
}

function isLoadRow(row: unknown): row is LoadRow {
  if (!Array.isArray(row) || row.length < 4 || typeof row[0] !== 'string') return false;
  return row.slice(1).every(Number.isFinite);
}

function loadOf([id, running, prefillTokens, unread, ...byUrgency]: LoadRow): [string, ServerLoad] {
  const load = { running, prefillTokens, unread };
  return [id, byUrgency.length === 0 ? load : { ...load, unreadByUrgency: byUrgency }];
}

/** A change's number and its server's id; with an entry its other fields in turn. */
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

/** Values of a change with an entry; boxes of an earlier version do not tell the last, when a server was born. */
const CHANGE_ROW_LENGTHS: readonly number[] = [11, 12];
/** Stands for what a server did not tell. */
const ABSENT = -1;

function changeRowOf({ number, id, entry }: NumberedChange): ChangeRow {
  if (entry === undefined) return [number, id];
  const { service, address, zone, slots, state, reclaimable } = entry;
  const { leavesInMs = ABSENT, version = '', bornAtMs = ABSENT } = entry;
  const { host, port } = address;
  const entryValues = [slots, state, reclaimable, leavesInMs, version, bornAtMs] as const;
  return [number, id, service, host, port, zone, ...entryValues];
}

/** A row that is none leaves a gap in the numbers, so that the whole registry is asked for. */
function isChangeRow(row: unknown): row is ChangeRow {
  if (!Array.isArray(row) || !Number.isInteger(row[0]) || typeof row[1] !== 'string') return false;
  return row.length === 2 || CHANGE_ROW_LENGTHS.includes(row.length);
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
