/** Validation of the messages that are received over the peer link. */
import type { PeerMessage } from 'reedlug-decisions';

/** Required fields and their types for each kind of message. */
const FIELD_TYPES: { [K in PeerMessage['kind']]: Readonly<Record<string, string>> } = {
  heartbeat: {
    incarnation: 'number',
    zone: 'string',
    revision: 'number',
    poolLoads: 'array',
  },
  serverNews: { news: 'array' },
  cacheNews: { news: 'array' },
  configDeltas: { deltas: 'array', plans: 'array' },
  configAsk: { afterRevision: 'number' },
  configSnapshot: { snapshot: 'object' },
  lookup: { requestId: 'string', workspaceId: 'string', fromOffset: 'number' },
  sight: { sight: 'object' },
  notHere: { requestId: 'string' },
  handover: { spec: 'object', deadlineInMs: 'number', tokens: 'array' },
  handoverTaken: { requestId: 'string' },
};

/** Returns true if a value has the required fields of its kind of message. */
export function isPeerMessage(value: unknown): value is PeerMessage {
  if (typeof value !== 'object' || value === null) return false;
  const message = value as Record<string, unknown>;
  const { kind } = message;
  if (typeof kind !== 'string' || !Object.hasOwn(FIELD_TYPES, kind)) return false;
  const fieldTypes = FIELD_TYPES[kind as PeerMessage['kind']];
  return Object.entries(fieldTypes).every(([field, type]) => typeOf(message[field]) === type);
}

function typeOf(value: unknown): string {
  if (Array.isArray(value)) return 'array';
  return value === null ? 'null' : typeof value;
}
