/** Settings of a gateway box. */
import type { HostPort } from './server.js';

/** Bounds set by the users, and values derived from them. */
export interface BoundSettings {
  /** Time within which a configuration change is active at all boxes. */
  configurationMs: number;
  /** Time after which a draining server gets no more requests. */
  drainMs: number;
  /** Time from SIGTERM until the process is killed. */
  graceMs: number;
  /**
   * Maximum ratio of repeated sends to first sends of a service, and a fixed number of repeated
   * sends on top.
   */
  retryRatio: number;
  retrySlack: number;
  /**
   * Bound on a workspace's units in any window of this length: its rate times the window plus
   * its burst, increased by this share, plus these units.
   */
  limitWindowMs: number;
  limitOverShare: number;
  limitSlackUnits: number;
  /** Share of a service's requests that a new version may get before it is known to be good. */
  exposeShare: number;
  /** Validity of the lease. */
  leaseMs: number;
  /**
   * Length of a usage window, and time after its end by which its report is due; 0 for no reports.
   */
  usageWindowMs: number;
  usageDueMs: number;
}

/** Decisions under load that the settings enable; each is off by default. */
export interface LoadSettings {
  /** Learns the speed of each server from its answers and uses it to choose servers. */
  learnServerSpeeds: boolean;
  /** Sends large prompts to servers that can start them in time; needs the servers' speeds. */
  placeBySize: boolean;
  /** Divides the capacity of a service fairly among workspaces while it is short. */
  shareCapacity: boolean;
  /** Spreads the `Retry-After` times of refusals over the time in which capacity becomes free. */
  spreadRetries: boolean;
  /** Reserves units of a limit that is nearly used up for requests that take precedence. */
  reserveLimitUnits: boolean;
  /** Keeps a part of each limit share for the first requests after a restart of the box. */
  restartReserve: boolean;
}

/** Bounds on answers of servers; one beyond them is broken, and its connection is closed. */
export interface AnswerSettings {
  /** Largest event of a stream, in bytes. */
  maxEventBytes: number;
  /** Largest body of an answer that is no stream, in bytes. */
  maxPlainBytes: number;
  /** Largest part of a stream that its caller has not read, in bytes; beyond it the server is not read. */
  maxUnreadBytes: number;
  /** Memory for all that is buffered for callers, in bytes; a quarter of the box's memory, within a bound, if omitted. */
  maxBufferedBytes?: number | undefined;
}

/** Connections to servers through other boxes. */
export interface TunnelSettings {
  /** Whether boxes connect each other to servers that one of them can't reach. */
  areUsed: boolean;
  /** Largest number of connections that this box keeps open for others. */
  maxTunnels: number;
}

/** Contents of the settings file of a box. */
export interface GatewaySettings {
  /** `processorCores` is the processor time available to the box, in cores. */
  box: { id: string; ip: string; zone: string; processorCores: number };
  zones: readonly string[];
  listen: { callers: HostPort; readiness: HostPort; peersPort: number; metricsPort: number };
  /** Addresses of peers to contact first; they may be gone. */
  seeds: readonly HostPort[];
  store: { address: HostPort };
  cloud?: { address: HostPort; reportsUsage: boolean; ordersEngines: boolean } | undefined;
  bounds: BoundSettings;
  load: LoadSettings;
  tunnels: TunnelSettings;
  /** The defaults if omitted. */
  answers?: AnswerSettings | undefined;
}
