/**
 * Datagrams of peers as bytes.
 *
 * A hub sends the loads of all servers to each of its members five times a second
 * over a link of some Mbit/s, and a full link loses datagrams. So a load goes as a
 * row of numbers without names. Boxes of an earlier version find no loads in it.
 */
import { Decoder, Encoder } from 'cbor-x';
import type { PeerDatagram, PeerMessage, ServerLoad } from '../types/peer.js';

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** Kinds of datagrams, with what each must hold to be taken. */
const PARTS_OF_KINDS: Readonly<Record<PeerDatagram['kind'], readonly string[]>> = {
  news: ['loads', 'sendSums', 'admitted', 'usage'],
  usage: ['usage'],
  limits: ['admitted', 'admittedByReceiver', 'admittedByOthers'],
};

/** A server's id, requests in progress, tokens to be read, prompts to be read, and the tokens by urgency. */
type LoadRow = readonly [string, number, number, number, ...number[]];

/** The bytes of a datagram. */
export function encodeDatagram(message: PeerDatagram): Buffer {
  if (message.kind !== 'news') return encoder.encode(message);
  const loadRows = Object.entries(message.loads).map(rowOf);
  return encoder.encode({ ...message, loads: {}, loadRows });
}

function rowOf([id, load]: [string, ServerLoad]): LoadRow {
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
  if (typeof value !== 'object' || value === null) return undefined;
  const parts = value as Record<string, unknown>;
  const kind = String(parts['kind']);
  if (!Object.hasOwn(PARTS_OF_KINDS, kind) || typeof parts['boxId'] !== 'string') return undefined;
  const required = PARTS_OF_KINDS[kind as PeerDatagram['kind']];
  const isWhole = required.every((name) => typeof parts[name] === 'object' && parts[name] !== null);
  if (!isWhole) return undefined;
  const { loadRows, ...message } = parts;
  if (!Array.isArray(loadRows)) return message as unknown as PeerDatagram;
  const loads = Object.fromEntries(loadRows.filter(isRow).map(loadOf));
  return { ...(message as unknown as PeerMessage), loads };
}

function isRow(row: unknown): row is LoadRow {
  if (!Array.isArray(row) || row.length < 4 || typeof row[0] !== 'string') return false;
  return row.slice(1).every(Number.isFinite);
}

function loadOf([id, running, prefillTokens, unread, ...byUrgency]: LoadRow): [string, ServerLoad] {
  const load = { running, prefillTokens, unread };
  return [id, byUrgency.length === 0 ? load : { ...load, unreadByUrgency: byUrgency }];
}
