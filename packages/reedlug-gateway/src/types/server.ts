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
  /** Names one life of a server; a restart has another id. */
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
}

/** A change of an entry of the registry; without a value the entry is gone. */
export interface ServerChange {
  id: string;
  entry: ServerEntry | undefined;
}
