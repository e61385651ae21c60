/** Entries of the platform's registry of backend servers. */

/** An IP address and a port. */
export interface HostPort {
  host: string;
  port: number;
}

/** States of a server: it accepts new requests, or it is draining. */
export const ServerState = { ready: 'ready', leaving: 'leaving' } as const;
export type ServerState = (typeof ServerState)[keyof typeof ServerState];

/** An entry of the registry. */
export interface ServerEntry {
  /** Id of the server; after a restart it may have the same id, with a later `bornAtMs`. */
  id: string;
  service: string;
  address: HostPort;
  zone: string;
  /** Number of requests that the server runs concurrently. */
  slots: number;
  state: ServerState;
  /** Version of its software; undefined if unknown. */
  version: string | undefined;
  /** True for a server that may be reclaimed at short notice. */
  reclaimable: boolean;
  /** Time until the server is gone, in ms, if it is announced. */
  leavesInMs: number | undefined;
  /** Start of its incarnation by the wall clock, in Unix ms; undefined if it is not stated. */
  bornAtMs?: number | undefined;
}

/**
 * An incarnation of a server. All incarnations of a server that does not state its start time count
 * as one.
 */
export interface ServerIncarnation {
  serverId: string;
  /** Start of the incarnation by the wall clock, in Unix ms; undefined if it is not stated. */
  bornAtMs: number | undefined;
}

/** Returns the incarnation of a registry entry. */
export function incarnationOf({ id, bornAtMs }: ServerEntry): ServerIncarnation {
  return { serverId: id, bornAtMs };
}

/** Returns whether an incarnation started after another one of the same server. */
export function isLaterIncarnation(
  startedAtMs: number | undefined,
  thanMs: number | undefined,
): boolean {
  return startedAtMs !== undefined && thanMs !== undefined && startedAtMs > thanMs;
}

/** A change of a registry entry; `entry` is undefined if the entry is gone. */
export interface ServerChange {
  id: string;
  entry: ServerEntry | undefined;
  /** Set if the registry holds an invalid entry. */
  fault?: EntryFault;
}

/** Reason why an entry is invalid. */
export interface EntryFault {
  field: string;
  reason: string;
  /** The store's revision of the entry. */
  revision: number;
}
