/** Services whose servers state that they are brittle, and this box's use of such servers. */
import type { LimitObservation } from './serverStatement.js';

/**
 * A service whose servers are brittle: one that has to reject more than so many requests in a second
 * for want of room crashes. What one server states holds for all servers of its service, also for those
 * that start later.
 */
export interface BrittleService {
  /** Latest statement; its rate is that of the rejections, undefined once servers state none. */
  stated: LimitObservation;
  /** Times at which requests were last refused for want of places, by urgency. */
  refusedAtMs: Map<number, number>;
}

/** A box's knowledge of a brittle service in gossip; ages are in ms at the time of sending. */
export interface BrittleServiceGossip {
  service: string;
  /** Undefined once its servers are not brittle any more. */
  rejectionsPerSecond: number | undefined;
  /** Ages of the request and of the head of the answer with the statement. */
  sentAgeMs: number;
  receivedAgeMs: number;
}

/** Use of one server of a brittle service by this box. */
export interface PlaceUse {
  /** Rank of this box among those that share the server's places, and the time of the ranking. */
  rank: number;
  rankedAtMs: number;
  /** Times of the server's recent rejections of this box's requests, oldest first. */
  rejectedAtMs: number[];
  /** Sends beyond this box's own places that the server has not answered yet. */
  openSpareSends: number;
}
