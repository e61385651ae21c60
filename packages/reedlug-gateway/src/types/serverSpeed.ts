/** Sums and estimates of the speeds of servers. */

/**
 * Decayed sums of the expected and observed times to the first event of sends to a server, in ms.
 * Time is divided into blocks of some seconds; sends of even and of odd blocks are summed apart,
 * so that the difference of the two halves shows how much chance there is in the sums.
 */
export interface SpeedSums {
  evenExpectedMs: number;
  evenObservedMs: number;
  oddExpectedMs: number;
  oddObservedMs: number;
}

/** Sums of one incarnation of a server, decayed to a time. */
export interface DatedSpeedSums {
  /** Start of the incarnation by the wall clock, in Unix ms; undefined if it is not stated. */
  bornAtMs: number | undefined;
  sums: SpeedSums;
  atMs: number;
}

/** Sums of a server as sent to other boxes, decayed to the time of sending. */
export interface SpeedGossip {
  serverId: string;
  bornAtMs: number | undefined;
  sums: SpeedSums;
}

/** Sums received from a peer, by server id. */
export interface ReceivedSpeeds {
  scope: string;
  incarnation: number;
  receivedAtMs: number;
  byServer: Map<string, DatedSpeedSums>;
}

/** Which rows were sent to a set of recipients, and which are due. */
export interface SpeedSchedule {
  /** Rows as last sent. */
  sent: Map<string, DatedSpeedSums>;
  /** Ids of the servers whose rows are due, in the order in which they are sent. */
  due: string[];
  checkedAtMs: number;
  /** Recipients of the last message; all rows are sent when others are among them. */
  recipients: ReadonlySet<string>;
}

/** Speeds of the servers of a service. */
export interface ServiceSpeeds {
  /** False while the servers do not differ beyond noise; all speeds are then 1. */
  inUse: boolean;
  /** Speed by server id, of the incarnation whose sums were used. */
  byServer: ReadonlyMap<string, { bornAtMs: number | undefined; speed: number }>;
  /** Total expected time of the sends that the speeds are based on, in ms. */
  evidenceMs: number;
  computedAtMs: number;
}

/** State of a box with regard to the speeds of servers. */
export interface ServerSpeedsState {
  /** Sums of this box's own sends, by server id. */
  own: Map<string, DatedSpeedSums>;
  /** Sums received, by peer. */
  received: Map<string, ReceivedSpeeds>;
  /** Sums of all other boxes when they were last complete, kept while a hub is replaced. */
  held: { byServer: Map<string, DatedSpeedSums>; evidenceMs: number; atMs: number } | undefined;
  /** Estimates by service. */
  services: Map<string, ServiceSpeeds>;
  computedAtMs: number;
  /** Schedules of the rows of this box, of its group, and of the sums of all others. */
  schedules: { box: SpeedSchedule; group: SpeedSchedule; others: SpeedSchedule };
}

/** Returns the state of a box that knows no speeds. */
export function createServerSpeeds(): ServerSpeedsState {
  return {
    own: new Map(),
    received: new Map(),
    held: undefined,
    services: new Map(),
    computedAtMs: Number.NEGATIVE_INFINITY,
    schedules: { box: createSchedule(), group: createSchedule(), others: createSchedule() },
  };
}

function createSchedule(): SpeedSchedule {
  return {
    sent: new Map(),
    due: [],
    checkedAtMs: Number.NEGATIVE_INFINITY,
    recipients: new Set(),
  };
}
