/** Encoding of the work of workspaces in gossip, as rows of values without names. */
import type { PeerMessage } from '../types/peer.js';
import type { WorkloadRow } from '../types/workspaceShares.js';

/** Maximum number of rows accepted from one message, and length of a name in them. */
const MAX_ROWS = 64;
const MAX_NAME_LENGTH = 256;
/**
 * Maximum work in a row, in prompt tokens: above what a fleet of thousands of engines processes in
 * a minute.
 */
const MAX_WORK = 1e11;

/** Service, workspace, requested and admitted work. */
type WireRow = readonly [string, string, number, number];

/** Returns the row of values of one workspace at one service. */
export function workloadRowOf({ service, workspace, requested, admitted }: WorkloadRow): WireRow {
  return [service, workspace, Math.round(requested), Math.round(admitted)];
}

/** Adds the valid rows to a message; without rows, as from an older box, it has no such field. */
export function withWorkloads(received: PeerMessage, rows: unknown): PeerMessage {
  const message = { ...received };
  delete message.workloads;
  if (!Array.isArray(rows)) return message;
  const valid = rows.slice(0, MAX_ROWS).filter(isWireRow);
  const workloads = valid.map(([service, workspace, requested, admitted]) => {
    return { service, workspace, requested, admitted: Math.min(admitted, requested) };
  });
  return { ...message, workloads };
}

function isWireRow(row: unknown): row is WireRow {
  if (!Array.isArray(row) || row.length < 4) return false;
  const [service, workspace, requested, admitted] = row as unknown[];
  return isName(service) && isName(workspace) && isWork(requested) && isWork(admitted);
}

function isName(value: unknown): boolean {
  return typeof value === 'string' && value.length <= MAX_NAME_LENGTH;
}

function isWork(value: unknown): boolean {
  return Number.isFinite(value) && Number(value) >= 0 && Number(value) <= MAX_WORK;
}
