/** Backend servers as the platform's registry lists them. */

/** An IP number and a port. */
export interface HostPort {
  host: string;
  port: number;
}

/** Whether a server takes new work. */
export const ServerState = { ready: 'ready', leaving: 'leaving' } as const;
export type ServerState = (typeof ServerState)[keyof typeof ServerState];

/** An entry of the registry. */
export interface ServerEntry {
  /** Names a server; one that starts again may have the same, and then a later `bornAtMs`. */
  id: string;
  service: string;
  address: HostPort;
  zone: string;
  /** Requests worked on at a time. */
  slots: number;
  state: ServerState;
  /** Version of its software; undefined where it is not told. */
  version: string | undefined;
  /** True for a server that may be taken back at short notice. */
  reclaimable: boolean;
  /** Time until it is gone, in ms, where it told. */
  leavesInMs: number | undefined;
  /** Start of its life by the wall clock, in Unix ms; undefined where it does not tell. */
  bornAtMs?: number | undefined;
}

/** A life of a server; one that does not tell when it was born has one life for all that is known. */
export interface ServerIncarnation {
  serverId: string;
  /** Start of the life by the wall clock, in Unix ms. */
  bornAtMs: number | undefined;
}

/** The life of a registry entry. */
export function incarnationOf({ id, bornAtMs }: ServerEntry): ServerIncarnation {
  return { serverId: id, bornAtMs };
}

/** Whether a life began after another one of the same server. */
export function isLaterIncarnation(
  startedAtMs: number | undefined,
  thanMs: number | undefined,
): boolean {
  return startedAtMs !== undefined && thanMs !== undefined && startedAtMs > thanMs;
}

/** A change of an entry of the registry; without a value the entry is gone. */
export interface ServerChange {
  id: string;
  entry: ServerEntry | undefined;
  /** Set where the registry holds an entry that can't be used. */
  fault?: EntryFault;
}

/** Why an entry can't be used. */
export interface EntryFault {
  field: string;
  reason: string;
  /** The store's revision of the entry. */
  revision: number;
}
