/**
 * Keys under which boxes know what may crash servers: the whole request, and each part of its prompt
 * that other requests may share.
 */
import { createHash } from 'node:crypto';
import { PART_PREFIX } from '../../types/crashSuspect.js';
import type { RequestRecord } from '../../types/request.js';

/** Longest id of a part that a key contains, in characters; a longer one is replaced by its digest. */
const MAX_PART_ID_CHARACTERS = 32;

/** Returns the key that identifies a request when it arrives again. */
export function requestKey(workspace: string | undefined, digest: string): string {
  return `${workspace ?? ''}/${digest}`;
}

/**
 * Returns the key of a part of prompts. It names the service, since another service may serve the part
 * well, but no workspace: the same part crashes the same servers whoever sends it.
 */
export function partKey(service: string, id: string): string {
  return `${PART_PREFIX}${service}/${id.length <= MAX_PART_ID_CHARACTERS ? id : digestOf(id)}`;
}

function digestOf(id: string): string {
  return createHash('sha256').update(id).digest('base64url').slice(0, MAX_PART_ID_CHARACTERS);
}

/** Returns the keys of a request: its own first, then those of its prompt's parts but the last. */
export function suspectKeysOf(record: RequestRecord): readonly string[] {
  record.suspectKeys ??= [...new Set(keysOf(record))];
  return record.suspectKeys;
}

function keysOf({ workspace, facts, service }: RequestRecord): string[] {
  const parts = facts.promptParts.slice(0, -1).map(({ id }) => partKey(service, id));
  return [requestKey(workspace, facts.digest), ...parts];
}
