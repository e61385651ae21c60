/** Settings of a gateway box. */
import type { HostPort } from './server.js';

/** Bounds that the users set, and the figures that follow from them. */
export interface BoundSettings {
  /** A change of configuration is in force everywhere within this time. */
  configurationMs: number;
  /** A leaving server gets nothing more after this time. */
  drainMs: number;
  /** From SIGTERM to the forced end. */
  graceMs: number;
  /** Repeated sends over first ones that a service may get, and a fixed number on top. */
  retryRatio: number;
  retrySlack: number;
  /**
   * A workspace's units in any window of this length: its rate times the window and
   * its burst, this share more, and these units on top.
   */
  limitWindowMs: number;
  limitOverShare: number;
  limitSlackUnits: number;
  /** Share of a service's requests that a version under roll-out may get before it is known to be sound. */
  exposeShare: number;
  /** Validity of a lease. */
  leaseMs: number;
  /** Length of a usage window and when its report is due after its end; 0 for no reports. */
  usageWindowMs: number;
  usageDueMs: number;
}

/** Everything a box reads from its settings file. */
export interface GatewaySettings {
  /** `processorCores`: processor time that the box may use, in cores. */
  box: { id: string; ip: string; zone: string; processorCores: number };
  zones: readonly string[];
  listen: { callers: HostPort; readiness: HostPort; peersPort: number; metricsPort: number };
  /** Peers that are likely to be there; they may be gone. */
  seeds: readonly HostPort[];
  store: { address: HostPort };
  cloud?: { address: HostPort; reportsUsage: boolean; ordersEngines: boolean } | undefined;
  bounds: BoundSettings;
}
