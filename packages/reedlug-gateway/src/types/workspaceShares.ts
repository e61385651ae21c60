/** State of a box for dividing the capacity of services among workspaces. */
import type { ServiceStandings, WorkSums } from '../policy/fairShare.js';
import type { AssignedTimes } from '../policy/retrySchedule.js';

/** Work of one workspace at one service, as boxes tell each other. */
export interface WorkloadRow extends WorkSums {
  service: string;
  workspace: string;
}

/** Typical request of one urgency at a service. */
export interface TypicalRequest {
  targetMs: number;
  /** Mean of the recent prompt tokens to process. */
  prefillTokens: number;
  seenAtMs: number;
}

/** What a box knows of the requests for one service. */
export interface ServiceWork {
  /** Work requested from this box, decayed, by workspace. */
  own: Map<string, WorkSums>;
  decayedAtMs: number;
  /** Standings over all boxes, and when they were computed. */
  standings: ServiceStandings | undefined;
  standingsAtMs: number;
  /** Typical requests by urgency. */
  typical: Map<number, TypicalRequest>;
  /** Last refusal by urgency, with the standing of its workspace as a rank. */
  refusals: Map<number, { atMs: number; rank: number }>;
  /**
   * Latest retry time given by urgency: for each workspace over its share, and under an empty name
   * for all others.
   */
  retryTimes: Map<string, AssignedTimes>;
  /** Retry times given, by workspace and digest. */
  toldTimes: Map<string, number>;
}

/** What a box knows by service. */
export type WorkspaceShares = Map<string, ServiceWork>;
